/**
 * A daemon's own service level counts of the current and the previous window.
 *
 * @module
 */
import * as burnRecord from './burn-record.js'

/** The daemon that counts. */
export interface Options {
  readonly availabilityZone: string
  readonly incarnation: string
}

/** Service level counts; state owned by one task. */
export interface BurnCounter {
  /** Counts one request that ended at a wall-clock time. */
  readonly count: (observation: burnRecord.Observation, nowMs: number) => void
  /** Returns the records to store: of the previous window, so that its last minute is not lost, and of the current one. */
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
  const increments = Object.fromEntries(names.map((name) => [name, 1]))
  return burnRecord.addCounts(counts, { ...burnRecord.ZERO_COUNTS, ...increments })
}

function bucketsSince (buckets: Buckets, minute: number): Buckets {
  return new Map([...buckets].filter(([each]) => each >= minute))
}

function toSeries (series: CountedSeries, window: number): burnRecord.Series {
  const { service, tier, organisation } = series.observation
  const inWindow = [...series.buckets].filter(([minute]) => burnRecord.windowOf(minute) === window)
  return { service, tier, organisation, buckets: inWindow.map(([minute, counts]) => ({ ...counts, minute })) }
}

/**
 * Creates a counter without requests.
 *
 * @example
 * ```ts
 * const counter = createBurnCounter({ availabilityZone: 'zone-a', incarnation })
 * counter.count(classifyRequest(tier, request), nowMs)
 * ```
 */
export function createBurnCounter (options: Options): BurnCounter {
  const seriesByKey = new Map<string, CountedSeries>()

  function count (observation: burnRecord.Observation, nowMs: number): void {
    const minute = burnRecord.minuteOf(nowMs)
    const key = keyOf(observation)
    const buckets = seriesByKey.get(key)?.buckets ?? new Map()
    const counts = increment(buckets.get(minute) ?? burnRecord.ZERO_COUNTS, observation.counts)
    seriesByKey.set(key, { observation, buckets: new Map([...buckets, [minute, counts]]) })
  }

  function removeBefore (minute: number): void {
    for (const [key, series] of seriesByKey) {
      const buckets = bucketsSince(series.buckets, minute)
      if (buckets.size === 0) seriesByKey.delete(key)
      else seriesByKey.set(key, { ...series, buckets })
    }
  }

  function createRecord (window: number): burnRecord.BurnRecord {
    const series = [...seriesByKey.values()].map((counted) => toSeries(counted, window))
    return { format: 1, window, ...options, series: series.filter((each) => each.buckets.length > 0) }
  }

  function records (nowMs: number): readonly burnRecord.BurnRecord[] {
    const current = burnRecord.windowOf(burnRecord.minuteOf(nowMs))
    const earlier = current - burnRecord.WINDOW_MINUTES
    removeBefore(earlier)
    return [earlier, current].map(createRecord).filter((each) => each.series.length > 0)
  }

  return { count, records }
}
