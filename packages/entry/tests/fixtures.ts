/**
 * Documents, arrivals and a driver for tests of the entry.
 *
 * @module
 */
import * as document from '@persimmonhatch/document'
import type * as protocol from '@persimmonhatch/protocol'
import * as index from '../src/index.js'

export const ENTRY = 'entry00000001'
export const AUTHORITY = 'authority0001'
export const OTHER_AUTHORITY = 'authority0002'

export const STOCK = document.serviceDocument.schema.parse({
  service: 'stock',
  kind: 'plain',
  tiers: [{ name: 'counter', rank: 0 }, { name: 'batch', rank: 3 }],
  defaultTier: 'batch',
  requests: [{ path: '/reserve', nonIdempotent: true, tier: 'counter' }],
  organisations: [{ name: 'fez' }, { name: 'rabat' }],
  targets: [
    { name: 'stock-1', address: '10.0.1.1:9000', pool: 'north', availabilityZone: 'a' },
    { name: 'stock-2', address: '10.0.1.2:9000', pool: 'north', availabilityZone: 'b' },
    { name: 'stock-3', address: '10.0.1.3:9000', pool: 'south', availabilityZone: 'c' }
  ]
})

export const ARRIVAL: index.event.Arrival = {
  request: 1,
  identity: `${ENTRY}.10.a`,
  service: 'stock',
  organisation: 'fez',
  tier: undefined,
  method: 'POST',
  path: '/tag',
  fingerprint: 'f1',
  promptTokens: 100,
  answerTokens: undefined,
  prefixes: [],
  deadlineMs: undefined
}

export const END: index.event.DispatchEnd = {
  outcome: 'finished', detail: '', promptTokens: 100, cachedTokens: 0, answerTokens: 10, firstTokenMs: 5, totalMs: 20
}

export type Output = index.event.Output

/** Creates a linear congruential generator of numbers in [0, 1), the same in every run. */
export function createRandom (): protocol.Random {
  let number = 0
  return () => {
    number = (number * 16_807 + 12_345) % 2_147_483_647
    return number / 2_147_483_647
  }
}

/** An entry with a clock that is set by the tests. */
export class Driver {
  nowMs = 0
  readonly entry: index.entry.Entry

  constructor (options: Partial<index.entry.Options> = {}) {
    this.entry = index.entry.createEntry({
      incarnation: ENTRY,
      random: createRandom(),
      findMember: () => undefined,
      requestLimit: 100,
      orderPools: (pools) => [...pools].sort(),
      ...options
    })
  }

  handle (input: index.event.Event): readonly Output[] {
    return [...this.entry.handle(input, this.nowMs)]
  }

  initialise (): this {
    this.handle({ kind: 'heartbeat', heartbeat: 10 })
    this.handle({ kind: 'documents', documents: [STOCK] })
    this.assign(AUTHORITY)
    return this
  }

  assign (authority: protocol.Incarnation, reconnected: readonly protocol.Incarnation[] = []): readonly Output[] {
    return this.handle({ kind: 'authorities', authorities: new Map([['north', authority], ['south', authority]]), reconnected })
  }

  arrive (change: Partial<index.event.Arrival> = {}): readonly Output[] {
    return this.handle({ kind: 'arrival', arrival: { ...ARRIVAL, ...change } })
  }

  receive (message: index.event.ReceivedMessage, from: protocol.Incarnation = AUTHORITY): readonly Output[] {
    return this.handle({ kind: 'message', from, message })
  }

  /** Grants a slot request in the round that it carried. */
  grant (slotRequest: protocol.SlotRequest, target = 'stock-1', from: protocol.Incarnation = AUTHORITY): readonly Output[] {
    return this.receive({ kind: 'grant', ask: slotRequest.ask, target, round: slotRequest.round, figures: {} }, from)
  }

  refuse (slotRequest: protocol.SlotRequest, reason: protocol.Reason): readonly Output[] {
    return this.receive({ kind: 'refusal', ask: slotRequest.ask, reason, retryAfterMs: 700, figures: {} })
  }

  end (outcome: index.event.DispatchEnd['outcome'], request = 1): readonly Output[] {
    return this.handle({ kind: 'ended', request, end: { ...END, outcome } })
  }

  wait (durationMs: number): readonly Output[] {
    this.nowMs += durationMs
    return this.handle({ kind: 'tick' })
  }
}

/** Returns the messages of one kind among outputs, with their receivers. */
export function messages (outputs: readonly Output[], kind: protocol.PeerMessage['kind']): readonly protocol.Outbound[] {
  return outputs.flatMap((output) => output.kind === 'send' && output.outbound.message.kind === kind ? [output.outbound] : [])
}

/** Returns the kinds and receivers of the messages among outputs. */
export function sentKinds (outputs: readonly Output[]): readonly string[] {
  return outputs.flatMap((output) => output.kind === 'send' ? [`${output.outbound.message.kind} ${output.outbound.to}`] : [])
}

/** Returns the only slot request among outputs; throws if there is none or more than one. */
export function slotRequestOf (outputs: readonly Output[]): protocol.SlotRequest {
  const found = messages(outputs, 'ask').map((each) => each.message)
  const [slotRequest] = found
  if (found.length !== 1 || slotRequest?.kind !== 'ask') throw new Error(`expected one slot request, found ${found.length}`)
  return slotRequest
}

/** Summarises the outputs that concern requests; leaves out messages and counters. */
export function summarise (outputs: readonly Output[]): readonly string[] {
  return outputs.flatMap((output) => {
    switch (output.kind) {
      case 'send':
      case 'count': return []
      case 'dispatch': return [`dispatch ${output.request} ${output.placement.target}`]
      case 'refuse': return [`refuse ${output.request} ${output.receipt.reason} ${output.receipt.execution}`]
      case 'join': return [`join ${output.request} ${output.original}`]
      case 'redirect': return [`redirect ${output.request} ${output.address}`]
      case 'settled': return [`settled ${output.receipt.reason} ${output.receipt.execution}`]
      case 'cancel':
      case 'forget': return [`${output.kind} ${output.request}`]
      default: return [output.kind]
    }
  })
}

/** Summarises the releases among outputs by slot request id, outcome and receiver. */
export function releases (outputs: readonly Output[]): readonly string[] {
  return messages(outputs, 'release').map(({ to, message }) => message.kind === 'release' ? `${message.ask} ${message.outcome} ${to}` : '')
}
