/**
 * Indexes runs by time.
 *
 * @module
 */
import type * as runs from './runs.js'

const BUCKET_MS = 1_000

/** Returns all runs that were in progress at some moment of an interval, and possibly others of the same buckets. */
export type RunIndex = (fromMs: number, untilMs: number) => readonly runs.Run[]

function bucketOf (atMs: number): number {
  return Math.floor(atMs / BUCKET_MS)
}

/**
 * Creates an index with buckets of `BUCKET_MS`. Runs without an end are always found.
 *
 * @example
 * ```ts
 * createRunIndex(runs(history))(4_000, 5_000) // the runs in progress during these seconds
 * ```
 */
export function createRunIndex (allRuns: readonly runs.Run[]): RunIndex {
  const buckets = new Map<number, runs.Run[]>()
  const unfinished = allRuns.filter((run) => run.ended === undefined)
  for (const run of allRuns) {
    if (run.ended === undefined) continue
    for (let bucket = bucketOf(run.started.atMs); bucket <= bucketOf(run.ended.atMs); bucket++) {
      const bucketRuns = buckets.get(bucket)
      if (bucketRuns === undefined) buckets.set(bucket, [run])
      else bucketRuns.push(run)
    }
  }
  return (fromMs, untilMs) => {
    const found = new Set(unfinished)
    for (let bucket = bucketOf(fromMs); bucket <= bucketOf(untilMs); bucket++) {
      for (const run of buckets.get(bucket) ?? []) found.add(run)
    }
    return [...found]
  }
}
