/**
 * The targets of a pool: their models, which of them take new work, and how slow each is against its peers.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as poolView from './pool-view.js'
import * as rateEstimator from './rate-estimator.js'
import * as targetModel from './target-model.js'

/** Whether a target takes new work. `probing`: one request at a time until one finishes. */
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
  /** Takes news of a target; true when it changed. */
  readonly takeNews: (news: protocol.TargetNews) => boolean
  /** A slot granted at `grantedAtMs` failed; true when this is a failure not yet counted. */
  readonly fail: (target: string, cause: Outage['cause'], grantedAtMs: number, nowMs: number) => boolean
  /** A slot granted at `grantedAtMs` finished. */
  readonly succeed: (target: string, grantedAtMs: number) => void
  readonly slowdown: (target: string) => number
  /** Compares the paces of the targets. */
  readonly compare: (nowMs: number) => void
}

const MIN_BACKOFF_MS = 1_000
const MAX_BACKOFF_MS = 30_000
/** News of targets that no document names are kept up to this number. */
const MAX_NEWS = 2_000

class Member {
  readonly model: targetModel.TargetModel
  isListed = true
  slowdown = 1

  constructor (readonly kind: 'model' | 'plain', readonly hardware: string, prior: rateEstimator.Rates | undefined) {
    this.model = targetModel.createTargetModel(kind, prior)
  }
}

function median (values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[(sorted.length - 1) >> 1] ?? 1
}

/**
 * Creates an empty fleet.
 *
 * @example
 * ```ts
 * const targets = createFleet()
 * targets.update(readPool('east', documents))
 * targets.readiness('replica-1', nowMs) // 'serving'
 * ```
 */
export function createFleet (): Fleet {
  const members = new Map<string, Member>()
  const news = new Map<string, protocol.TargetNews>()
  const outages = new Map<string, Outage>()

  function priorFor (target: poolView.PoolTarget): rateEstimator.Rates | undefined {
    const peers = [...members.values()].filter((member) => member.kind === target.kind && member.hardware === target.hardware)
    return rateEstimator.pickPrior(peers.map((member) => member.model.rates()))
  }

  function isLeaving (target: string): boolean {
    return news.get(target)?.state === 'leaving' || members.get(target)?.isListed !== true
  }

  function add (target: poolView.PoolTarget): void {
    const known = members.get(target.name)
    if (known === undefined) members.set(target.name, new Member(target.kind, target.hardware, priorFor(target)))
    else if (!known.isListed) known.model.restart()
    const member = members.get(target.name)
    if (member !== undefined) member.isListed = true
  }

  function compareKind (kind: 'model' | 'plain', nowMs: number): void {
    const peers = [...members.values()].filter((member) => member.kind === kind)
    const usual = Math.max(1, median(peers.map((member) => member.model.pace(nowMs))))
    for (const member of peers) member.slowdown = Math.max(1, member.model.pace(nowMs) / usual)
  }

  return {
    update (view) {
      for (const [name, member] of members) {
        if (view.targets.has(name)) continue
        member.isListed = false
        if (member.model.requests() === 0) members.delete(name)
      }
      for (const target of view.targets.values()) add(target)
    },
    names: () => members.keys(),
    model: (target) => members.get(target)?.model,
    kind: (target) => members.get(target)?.kind ?? 'model',
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
    takeNews (update) {
      const known = news.get(update.target)
      if (known !== undefined && known.version >= update.version) return false
      if (known === undefined && news.size >= MAX_NEWS) return false
      news.set(update.target, update)
      if (update.state === 'serving') members.get(update.target)?.model.restart()
      return known?.state !== update.state
    },
    fail (target, cause, grantedAtMs, nowMs) {
      const outage = outages.get(target)
      if (outage !== undefined && grantedAtMs <= outage.sinceMs) return false
      const backoffMs = outage === undefined ? MIN_BACKOFF_MS : Math.min(MAX_BACKOFF_MS, outage.backoffMs * 2)
      outages.set(target, { cause, sinceMs: nowMs, nextProbeAtMs: nowMs + backoffMs, backoffMs })
      return true
    },
    succeed (target, grantedAtMs) {
      const outage = outages.get(target)
      if (outage === undefined) return
      if (outage.cause === 'crashed' && grantedAtMs <= outage.sinceMs) return
      outages.delete(target)
      members.get(target)?.model.restart()
    },
    slowdown: (target) => members.get(target)?.slowdown ?? 1,
    compare (nowMs) {
      compareKind('model', nowMs)
      compareKind('plain', nowMs)
    }
  }
}
