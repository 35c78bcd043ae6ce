/**
 * Documents, messages and a driver that the authority's tests share.
 *
 * @module
 */
import * as document from '@persimmonhatch/document'
import type * as protocol from '@persimmonhatch/protocol'
import * as authority from '../src/authority.js'
import type * as event from '../src/event.js'

/** Options of a test document. */
export interface DocumentOptions {
  readonly targets?: readonly string[]
  readonly otherPool?: string
  readonly kind?: 'model' | 'plain'
  readonly prefer?: 'wasted-prefill' | 'goodput-by-tier'
  readonly maxWaitMs?: number
}

/** Returns a document with tiers of rank 0, 1 and 2 and three organisations, the second with twice the share. */
export function documentOf (service: string, options: DocumentOptions = {}): document.serviceDocument.ServiceDocument {
  const names = options.targets ?? ['t1', 't2']
  const target = (name: string, pool: string): object => ({ name, address: '10.0.0.1:9000', pool, availabilityZone: 'a' })
  const other = options.otherPool === undefined ? [] : [target('other-1', options.otherPool)]
  return document.serviceDocument.schema.parse({
    service,
    kind: options.kind ?? 'model',
    tiers: [0, 1, 2].map((rank) => ({ name: `tier-${rank}`, rank, maxWaitMs: options.maxWaitMs ?? 30_000 })),
    defaultTier: 'tier-1',
    organisations: [{ name: 'north' }, { name: 'south', share: 2 }, { name: 'west' }],
    targets: [...names.map((name) => target(name, 'east')), ...other],
    weighing: { prefer: options.prefer ?? 'wasted-prefill' }
  })
}

/** Returns a deterministic source of random numbers in [0, 1). */
export function seededRandom (seed: number): protocol.Random {
  let state = seed >>> 0
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0
    return state / 4_294_967_296
  }
}

/** Returns a slot request with default values for the fields that a test does not set. */
export function slotRequestOf (number: number, fields: Partial<protocol.SlotRequest> = {}): protocol.SlotRequest {
  return {
    kind: 'ask',
    ask: number,
    pool: 'east',
    service: 'listings',
    organisation: 'north',
    tier: 1,
    promptTokens: 1_000,
    answerTokens: 200,
    prefixes: [],
    deadlineMs: 60_000,
    nonIdempotent: false,
    fingerprint: `f${number}`,
    waitedMs: 0,
    round: 1,
    ...fields
  }
}

/** Returns the release of a request that finished, unless `fields` say otherwise. */
export function releaseOf (number: number, fields: Partial<protocol.Release> = {}): protocol.Release {
  return { kind: 'release', ask: number, outcome: 'finished', promptTokens: 1_000, cachedTokens: 0, answerTokens: 200, firstTokenMs: 200, totalMs: 2_000, ...fields }
}

/** Incarnation of the authority under test. */
export const AUTHORITY = 'self'

/** Drives one authority and records the messages and updates that it sends. */
export class Driver {
  readonly core: authority.Authority
  readonly sent: protocol.Outbound[] = []
  readonly updates: protocol.Update[] = []
  nowMs = 1_000

  constructor (documents: readonly document.serviceDocument.ServiceDocument[], readonly entries: readonly string[] = ['e1', 'e2'], otherAuthorities: readonly (readonly [string, string])[] = []) {
    this.core = authority.createAuthority({ pool: 'east', incarnation: AUTHORITY, random: seededRandom(7) })
    this.handle({ kind: 'documents', documents })
    this.handle({ kind: 'members', entries, authorities: new Map([['east', AUTHORITY], ...otherAuthorities]) })
  }

  /** Handles one event; returns the messages sent in response. */
  handle (input: event.Event): readonly protocol.Outbound[] {
    const sent: protocol.Outbound[] = []
    for (const output of this.core.handle(input, this.nowMs)) {
      if (output.kind === 'send') sent.push(output.outbound)
      if (output.kind === 'update') this.updates.push(output.update)
    }
    this.sent.push(...sent)
    return sent
  }

  /** Delivers a message; returns the messages sent in response. */
  deliver (from: string, message: event.ReceivedMessage): readonly protocol.Outbound[] {
    return this.handle({ kind: 'message', from, message })
  }

  /** Replies to the collect messages with the holdings of the entries. */
  replyToCollects (holdings: Readonly<Record<string, readonly protocol.Holding[]>> = {}): this {
    for (const entry of this.entries) this.deliver(entry, { kind: 'holdings', pool: 'east', holdings: holdings[entry] ?? [] })
    return this
  }

  /** Advances time in ticks, with fresh rounds of all entries; returns the messages sent meanwhile. */
  advance (ms: number): readonly protocol.Outbound[] {
    const sent: protocol.Outbound[] = []
    for (const end = this.nowMs + ms; this.nowMs < end;) {
      this.nowMs = Math.min(end, this.nowMs + 100)
      for (const entry of this.entries) sent.push(...this.deliver(entry, { kind: 'round', round: this.nowMs }))
      sent.push(...this.handle({ kind: 'tick' }))
    }
    return sent
  }
}

/** Returns the messages of one kind, in order. */
export function messagesOf<Kind extends protocol.PeerMessage['kind']> (sent: readonly protocol.Outbound[], kind: Kind): readonly Extract<protocol.PeerMessage, { readonly kind: Kind }>[] {
  return sent.map((outbound) => outbound.message)
    .filter((message): message is Extract<protocol.PeerMessage, { readonly kind: Kind }> => message.kind === kind)
}
