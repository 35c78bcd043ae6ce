/**
 * Simulates an authority in virtual time, with a pool of targets and with entries that send slot requests.
 *
 * @module
 */
import * as authority from '@persimmonhatch/authority'
import type * as protocol from '@persimmonhatch/protocol'
import * as workload from '../workload.js'

const AUTHORITY_INCARNATION = workload.incarnationOf(999)
const STEP_MS = 0.05
const REQUESTS_PER_TICK = 2_000
const REQUESTS_PER_REPORT = 20_000

/** Number of targets and entries. */
export interface Options {
  readonly targets: number
  readonly entries: number
}

/** Drives one authority. */
export class AuthorityPool {
  readonly core: authority.authority.Authority
  nowMs = 1_000.123
  /** Messages that the authority sent while it handled the latest event. */
  sent: readonly protocol.Outbound[] = []
  private readonly granted: Array<{ readonly entry: protocol.Incarnation, readonly ask: number }> = []
  private lastSlotRequest = 0

  constructor (private readonly options: Options) {
    this.core = authority.authority.createAuthority({ pool: workload.POOL, incarnation: AUTHORITY_INCARNATION, random: workload.seededRandom(11) })
    this.handle({ kind: 'documents', documents: [workload.createDocument({ targets: options.targets, organisations: 300 })] })
    const entries = Array.from({ length: options.entries }, (_, index) => workload.incarnationOf(index))
    this.handle({ kind: 'members', entries, authorities: new Map([[workload.POOL, AUTHORITY_INCARNATION]]) })
  }

  handle (input: authority.event.Event): void {
    const sent: protocol.Outbound[] = []
    for (const output of this.core.handle(input, this.nowMs)) if (output.kind === 'send') sent.push(output.outbound)
    this.sent = sent
    for (const { to, message } of sent) if (message.kind === 'grant') this.granted.push({ entry: to, ask: message.ask })
  }

  /** Reports for every entry that it holds `running` slots. */
  reportHoldings (slotsPerEntry = 0): void {
    for (let entry = 0; entry < this.options.entries; entry++) {
      const holdings = Array.from({ length: slotsPerEntry }, (_, index) => this.createHolding(entry * slotsPerEntry + index))
      this.handle({ kind: 'message', from: workload.incarnationOf(entry), message: { kind: 'holdings', pool: workload.POOL, holdings } })
    }
  }

  createHolding (index: number): protocol.Holding {
    return {
      ask: 1_000_000 + index,
      target: `replica-${String(index % this.options.targets).padStart(3, '0')}`,
      service: workload.SERVICE,
      organisation: workload.organisationOf(index % 300),
      tier: 2,
      promptTokens: 900,
      answerTokens: 300,
      nonIdempotent: false,
      fingerprint: workload.fingerprintOf(index),
      runningMs: 4_217
    }
  }

  createSlotRequest (prefixes: number): protocol.SlotRequest {
    this.lastSlotRequest += 1
    const { organisation, promptTokens, fingerprint, prefixes: hashes } = workload.createArrival(this.lastSlotRequest, prefixes, 1)
    return {
      kind: 'ask',
      ask: this.lastSlotRequest,
      pool: workload.POOL,
      service: workload.SERVICE,
      organisation: organisation ?? '',
      tier: 2,
      promptTokens,
      answerTokens: 300,
      prefixes: hashes,
      deadlineMs: 1_000_000_000,
      nonIdempotent: false,
      fingerprint,
      waitedMs: 0,
      round: 1 + Math.floor(this.nowMs / 500)
    }
  }

  /** Sends a slot request from the next entry in round-robin order. */
  requestSlot (prefixes = 4): void {
    this.nowMs += STEP_MS
    const message = this.createSlotRequest(prefixes)
    this.handle({ kind: 'message', from: workload.incarnationOf(message.ask % this.options.entries), message })
  }

  /** Releases the oldest granted slot. Returns false if there is none. */
  releaseOldest (): boolean {
    const oldest = this.granted.shift()
    if (oldest === undefined) return false
    const message: protocol.Release = { kind: 'release', ask: oldest.ask, outcome: 'finished', promptTokens: 900, cachedTokens: 256, answerTokens: 300, firstTokenMs: 413, totalMs: 15_217 }
    this.handle({ kind: 'message', from: oldest.entry, message })
    return true
  }

  /** Runs one request of the steady state: a slot request, and the release of an older slot. */
  serveRequest (index: number): void {
    this.requestSlot()
    this.releaseOldest()
    if (index % REQUESTS_PER_TICK === 0) this.handle({ kind: 'tick' })
    if (index % REQUESTS_PER_REPORT === 0) this.deliverReports()
  }

  /** Delivers load and cache reports of all targets. */
  deliverReports (): void {
    for (let target = 0; target < this.options.targets; target++) {
      const name = `replica-${String(target).padStart(3, '0')}`
      this.handle({ kind: 'load', report: { target: name, ageMs: 800, runningRequests: 8, queuedRequests: 0, tokensInProgress: 4_000 } })
      this.handle({ kind: 'cache', report: { target: name, sequence: Math.floor(this.nowMs), stored: workload.prefixesOf(Math.floor(this.nowMs), 8), evicted: [] } })
    }
  }

  /** Sends slot requests until `count` are waiting. */
  fillQueue (count: number): void {
    while (this.core.status().waiting < count) {
      const missing = count - this.core.status().waiting
      for (let index = 0; index < missing; index++) this.requestSlot()
    }
  }
}
