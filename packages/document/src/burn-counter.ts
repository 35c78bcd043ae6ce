/**
 * A daemon's own counts of service levels, kept for the current window and the one before.
 *
 * @module
 */
import * as burnRecord from './burn-record.js'

/** Whose counts they are. */
export interface Options {
  readonly availabilityZone: string
  readonly incarnation: string
}

/** Counts: state owned by one task. */
export interface BurnCounter {
  /** Counts one ended request at a wall-clock time. */
  readonly count: (observation: burnRecord.Observation, nowMs: number) => void
  /** The records to store: of the current window and of the one before, so that its last minute is not lost. */
  readonly records: (nowMs: number) => readonly burnRecord.BurnRecord[]
}

type Buckets = ReadonlyMap<number, burnRecord.Counts>

interface CountedSeries {
  readonly observation: burnRecord.Observation
  readonly buckets: Buckets
}

function keyOf (observation: burnRecord.Observation): string {
  return `${observation.service} ${observation.tier} ${observation.organisation}`
}

function increment (counts: burnRecord.Counts, names: readonly burnRecord.CountName[]): burnRecord.Counts {
  const added = Object.fromEntries(names.map((name) => [name, 1]))
  return burnRecord.addCounts(counts, { ...burnRecord.ZERO, ...added })
}

function dropBefore (buckets: Buckets, minute: number): Buckets {
  return new Map([...buckets].filter(([each]) => each >= minute))
}

function toSeries (counted: CountedSeries, window: number): burnRecord.Series {
  const { service, tier, organisation } = counted.observation
  const inWindow = [...counted.buckets].filter(([minute]) => burnRecord.windowOf(minute) === window)
  return { service, tier, organisation, buckets: inWindow.map(([minute, counts]) => ({ ...counts, minute })) }
}

/**
 * Counts with no request yet.
 *
 * @example
 * ```ts
 * const counter = createBurnCounter({ availabilityZone: 'zone-a', incarnation })
 * counter.count(judgeRequest(tier, request), nowMs)
 * ```
 */
export function createBurnCounter (options: Options): BurnCounter {
  const all = new Map<string, CountedSeries>()

  function count (observation: burnRecord.Observation, nowMs: number): void {
    const minute = burnRecord.minuteOf(nowMs)
    const key = keyOf(observation)
    const buckets = all.get(key)?.buckets ?? new Map()
    const counts = increment(buckets.get(minute) ?? burnRecord.ZERO, observation.counts)
    all.set(key, { observation, buckets: new Map([...buckets, [minute, counts]]) })
  }

  function forgetBefore (minute: number): void {
    for (const [key, counted] of all) {
      const buckets = dropBefore(counted.buckets, minute)
      if (buckets.size === 0) all.delete(key)
      else all.set(key, { ...counted, buckets })
    }
  }

  function record (window: number): burnRecord.BurnRecord {
    const series = [...all.values()].map((counted) => toSeries(counted, window))
    return { format: 1, window, ...options, series: series.filter((each) => each.buckets.length > 0) }
  }

  function records (nowMs: number): readonly burnRecord.BurnRecord[] {
    const current = burnRecord.windowOf(burnRecord.minuteOf(nowMs))
    const earlier = current - burnRecord.WINDOW_MINUTES
    forgetBefore(earlier)
    return [earlier, current].map(record).filter((each) => each.series.length > 0)
  }

  return { count, records }
}
