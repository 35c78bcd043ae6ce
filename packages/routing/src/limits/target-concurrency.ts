/**
 * Connects the targets of a pool with their learned limits: takes samples, exchanges them with peers and starts new targets.
 *
 * @module
 */
import * as membership from '@persimmonhatch/membership'
import type * as cell from '../cell.js'
import type * as poolEvent from '../placement/pool-event.js'
import type * as targetRecord from '../placement/target-record.js'
import type * as limitRows from './limit-rows.js'
import * as slotLimits from './slot-limits.js'

type Records = ReadonlyMap<string, targetRecord.TargetRecord>

/** Returns a daemon's rank among the members of its cell that may join the samples of a target; the ranks of different targets differ. */
function rankOf (target: string, { index, members }: slotLimits.Conditions['cellPosition']): number {
  const first = membership.hash.hash(target) % members
  return (index - first + members) % members
}

/** Updates the limits whose samples this daemon joins, and returns what to report to peers. */
export function report (records: Records, conditions: slotLimits.Conditions, nowMs: number): Readonly<Record<string, limitRows.LimitRow>> {
  return Object.fromEntries([...records].flatMap(([id, { concurrency, isRemoved, part, share, target }]) => {
    if (isRemoved) return []
    concurrency.update({ bound: slotLimits.declaredBound({ target }, conditions), part, share, rank: rankOf(id, conditions.cellPosition) }, nowMs)
    const row = concurrency.report(nowMs)
    return row === undefined ? [] : [[id, row] as const]
  }))
}

/** Applies the rows of a peer's report, after its load. */
export function applyPeer (records: Records, peer: string, rows: Readonly<Record<string, limitRows.LimitRow>>, nowMs: number): void {
  for (const record of records.values()) record.stateAt(nowMs)
  for (const [id, row] of Object.entries(rows)) records.get(id)?.concurrency.applyPeer(peer, row, nowMs)
}

/** Takes a sample of an event of a stream. */
export function sampleEvent (record: targetRecord.TargetRecord, event: Extract<poolEvent.PoolEvent, { readonly kind: 'first-event' | 'next-event' }>, nowMs: number): void {
  if (event.kind === 'first-event') record.sampleTime(event.id, nowMs)
  else record.sampleInterval(event.intervalMs, nowMs)
}

/** Returns the limit that a new target starts with: the median share of their slots that the other targets of the service take well; undefined if none is known. */
export function initialLimit (records: Records, { target }: cell.TargetShare, nowMs: number): number | undefined {
  const shares = [...records.values()].flatMap((record) => {
    const limit = record.concurrency.current(nowMs)
    return limit === undefined ? [] : [Math.min(1, limit.total / record.target.slots)]
  }).sort((a, b) => a - b)
  const median = shares[Math.floor(shares.length / 2)]
  return median === undefined ? undefined : Math.max(1, median * target.slots)
}

/** Numbers of targets: whose samples this daemon joins, and of these, whose limits are below the declared bound. */
export interface LimitCounts {
  readonly joined: number
  readonly limited: number
}

/** Counts the limits for metrics. */
export function countLimits (records: Records, conditions: slotLimits.Conditions, nowMs: number): LimitCounts {
  const joined = [...records.values()].filter(({ concurrency }) => concurrency.isJoined)
  const limited = joined.filter((record) => (record.concurrency.current(nowMs)?.total ?? Infinity) < slotLimits.declaredBound(record, conditions))
  return { joined: joined.length, limited: limited.length }
}
