/**
 * An authority in virtual time, with a pool of targets and entries that ask.
 *
 * @module
 */
import * as authority from '@persimmonhatch/authority'
import type * as protocol from '@persimmonhatch/protocol'
import * as workload from '../workload.js'

const SELF = workload.incarnationOf(999)
const STEP_MS = 0.05
const TICK_STEPS = 2_000
const REPORT_STEPS = 20_000

/** Sizes of the pool. */
export interface Options {
  readonly targets: number
  readonly entries: number
}

/** Drives one authority. */
export class AuthorityPool {
  readonly core: authority.authority.Authority
  nowMs = 1_000.123
  /** Messages that the authority sent in the latest step. */
  sent: readonly protocol.Outbound[] = []
  private readonly granted: Array<{ readonly entry: protocol.Incarnation, readonly ask: number }> = []
  private lastAsk = 0

  constructor (private readonly options: Options) {
    this.core = authority.authority.createAuthority({ pool: workload.POOL, incarnation: SELF, random: workload.createRandom(11) })
    this.handle({ kind: 'documents', documents: [workload.documentOf({ targets: options.targets, organisations: 300 })] })
    const entries = Array.from({ length: options.entries }, (_, index) => workload.incarnationOf(index))
    this.handle({ kind: 'members', entries, authorities: new Map([[workload.POOL, SELF]]) })
  }

  handle (input: authority.event.Event): void {
    const sent: protocol.Outbound[] = []
    for (const output of this.core.handle(input, this.nowMs)) if (output.kind === 'send') sent.push(output.outbound)
    this.sent = sent
    for (const { to, message } of sent) if (message.kind === 'grant') this.granted.push({ entry: to, ask: message.ask })
  }

  /** Every entry says that it holds `running` slots. */
  settle (running = 0): void {
    for (let entry = 0; entry < this.options.entries; entry++) {
      const holdings = Array.from({ length: running }, (_, index) => this.holdingOf(entry * running + index))
      this.handle({ kind: 'message', from: workload.incarnationOf(entry), message: { kind: 'holdings', pool: workload.POOL, holdings } })
    }
  }

  holdingOf (index: number): protocol.Holding {
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

  askOf (prefixes: number): protocol.SlotRequest {
    this.lastAsk += 1
    const { organisation, promptTokens, fingerprint, prefixes: hashes } = workload.arrivalOf(this.lastAsk, prefixes, 1)
    return {
      kind: 'ask',
      ask: this.lastAsk,
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

  /** An ask of the next entry in turn. */
  ask (prefixes = 4): void {
    this.nowMs += STEP_MS
    const message = this.askOf(prefixes)
    this.handle({ kind: 'message', from: workload.incarnationOf(message.ask % this.options.entries), message })
  }

  /** Gives the oldest granted slot back; false when there is none. */
  release (): boolean {
    const oldest = this.granted.shift()
    if (oldest === undefined) return false
    const message: protocol.Release = { kind: 'release', ask: oldest.ask, outcome: 'finished', promptTokens: 900, cachedTokens: 256, answerTokens: 300, firstTokenMs: 413, totalMs: 15_217 }
    this.handle({ kind: 'message', from: oldest.entry, message })
    return true
  }

  /** One request of the steady state: an ask, and the end of an older request. */
  cycle (index: number): void {
    this.ask()
    this.release()
    if (index % TICK_STEPS === 0) this.handle({ kind: 'tick' })
    if (index % REPORT_STEPS === 0) this.report()
  }

  /** Load and cache reports of all targets. */
  report (): void {
    for (let target = 0; target < this.options.targets; target++) {
      const name = `replica-${String(target).padStart(3, '0')}`
      this.handle({ kind: 'load', report: { target: name, ageMs: 800, runningRequests: 8, queuedRequests: 0, tokensInProgress: 4_000 } })
      this.handle({ kind: 'cache', report: { target: name, sequence: Math.floor(this.nowMs), stored: workload.prefixesOf(Math.floor(this.nowMs), 8), evicted: [] } })
    }
  }

  /** Asks until `count` wait. */
  fill (count: number): void {
    while (this.core.status().waiting < count) {
      const missing = count - this.core.status().waiting
      for (let index = 0; index < missing; index++) this.ask()
    }
  }
}
