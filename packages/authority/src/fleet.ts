/**
 * The targets of a pool: their models, which of them accept new requests, and how slow each is compared with the others.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as poolView from './pool-view.js'
import * as rateEstimator from './rate-estimator.js'
import * as targetModel from './target-model.js'

/** Whether a target accepts new requests. `probing`: one request at a time until one finishes. */
export type Readiness = 'serving' | 'probing' | 'closed'

/** A period in which a target failed. */
export interface Outage {
  readonly cause: 'crashed' | 'unreachable'
  readonly sinceMs: number
  readonly nextProbeAtMs: number
  readonly backoffMs: number
}

/** Targets by name. */
export interface Fleet {
  readonly update: (view: poolView.PoolView) => void
  readonly names: () => Iterable<string>
  readonly model: (target: string) => targetModel.TargetModel | undefined
  readonly kind: (target: string) => 'model' | 'plain'
  readonly state: (target: string) => 'serving' | 'leaving' | 'down'
  readonly readiness: (target: string, nowMs: number) => Readiness
  readonly isLeaving: (target: string) => boolean
  readonly outage: (target: string) => Outage | undefined
  /** Applies an update of a target; returns true when the target's state changed. */
  readonly applyUpdate: (update: protocol.TargetUpdate) => boolean
  /** Records that a slot granted at `grantedAtMs` failed; returns false when the outage already covers that failure. */
  readonly recordFailure: (target: string, cause: Outage['cause'], grantedAtMs: number, nowMs: number) => boolean
  /** Records that a slot granted at `grantedAtMs` finished. */
  readonly recordSuccess: (target: string, grantedAtMs: number) => void
  readonly slowdown: (target: string) => number
  /** Compares the latency factors of the targets. */
  readonly updateSlowdowns: (nowMs: number) => void
}

const MIN_BACKOFF_MS = 1_000
const MAX_BACKOFF_MS = 30_000
/** Targets for which updates are kept; updates of further targets are ignored. */
const MAX_TARGET_UPDATES = 2_000

class TargetRecord {
  readonly model: targetModel.TargetModel
  isListed = true
  slowdown = 1

  constructor (readonly kind: 'model' | 'plain', readonly hardware: string, prior: rateEstimator.Rates | undefined) {
    this.model = targetModel.createTargetModel(kind, prior)
  }
}

function median (values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[(sorted.length - 1) >> 1] ?? 1
}

/**
 * Creates an empty fleet.
 *
 * @example
 * ```ts
 * const targets = createFleet()
 * targets.update(readPool('east', documents))
 * targets.readiness('engine-1', nowMs) // 'serving'
 * ```
 */
export function createFleet (): Fleet {
  const records = new Map<string, TargetRecord>()
  const updates = new Map<string, protocol.TargetUpdate>()
  const outages = new Map<string, Outage>()

  function priorFor (target: poolView.PoolTarget): rateEstimator.Rates | undefined {
    const peers = [...records.values()].filter((record) => record.kind === target.kind && record.hardware === target.hardware)
    return rateEstimator.pickPrior(peers.map((record) => record.model.rates()))
  }

  function isLeaving (target: string): boolean {
    return updates.get(target)?.state === 'leaving' || records.get(target)?.isListed !== true
  }

  function add (target: poolView.PoolTarget): void {
    const previous = records.get(target.name)
    if (previous === undefined) records.set(target.name, new TargetRecord(target.kind, target.hardware, priorFor(target)))
    else if (!previous.isListed) previous.model.restart()
    const record = records.get(target.name)
    if (record !== undefined) record.isListed = true
  }

  function updateSlowdownsOf (kind: 'model' | 'plain', nowMs: number): void {
    const peers = [...records.values()].filter((record) => record.kind === kind)
    const medianFactor = Math.max(1, median(peers.map((record) => record.model.latencyFactor(nowMs))))
    for (const record of peers) record.slowdown = Math.max(1, record.model.latencyFactor(nowMs) / medianFactor)
  }

  return {
    update (view) {
      for (const [name, record] of records) {
        if (view.targets.has(name)) continue
        record.isListed = false
        if (record.model.requests() === 0) records.delete(name)
      }
      for (const target of view.targets.values()) add(target)
    },
    names: () => records.keys(),
    model: (target) => records.get(target)?.model,
    kind: (target) => records.get(target)?.kind ?? 'model',
    state (target) {
      if (isLeaving(target)) return 'leaving'
      return outages.has(target) ? 'down' : 'serving'
    },
    readiness (target, nowMs) {
      if (isLeaving(target)) return 'closed'
      const outage = outages.get(target)
      if (outage === undefined) return 'serving'
      return nowMs >= outage.nextProbeAtMs ? 'probing' : 'closed'
    },
    isLeaving,
    outage: (target) => outages.get(target),
    applyUpdate (update) {
      const previous = updates.get(update.target)
      if (previous !== undefined && previous.version >= update.version) return false
      if (previous === undefined && updates.size >= MAX_TARGET_UPDATES) return false
      updates.set(update.target, update)
      if (update.state === 'serving') records.get(update.target)?.model.restart()
      return previous?.state !== update.state
    },
    recordFailure (target, cause, grantedAtMs, nowMs) {
      const outage = outages.get(target)
      if (outage !== undefined && grantedAtMs <= outage.sinceMs) return false
      const backoffMs = outage === undefined ? MIN_BACKOFF_MS : Math.min(MAX_BACKOFF_MS, outage.backoffMs * 2)
      outages.set(target, { cause, sinceMs: nowMs, nextProbeAtMs: nowMs + backoffMs, backoffMs })
      return true
    },
    recordSuccess (target, grantedAtMs) {
      const outage = outages.get(target)
      if (outage === undefined) return
      if (outage.cause === 'crashed' && grantedAtMs <= outage.sinceMs) return
      outages.delete(target)
      records.get(target)?.model.restart()
    },
    slowdown: (target) => records.get(target)?.slowdown ?? 1,
    updateSlowdowns (nowMs) {
      updateSlowdownsOf('model', nowMs)
      updateSlowdownsOf('plain', nowMs)
    }
  }
}
