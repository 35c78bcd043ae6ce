/**
 * Outcomes of the requests that one version served, as totals that can be added over daemons.
 *
 * @module
 */

/** Outcomes of one kind of request: the number of failures, and how many of the others took about as long, by bucket of time. */
export type Tally = readonly [failures: number, times: Readonly<Record<string, number>>]

/** Outcomes by kind: the route, its kind of request, and what the times measure. */
export type Outcomes = Readonly<Record<string, Tally>>

/** One request at a target, or one measure of it. */
export interface Sample {
  readonly kind: string
  /** Time that it took, or has taken so far if its caller has left, ms; undefined for a failure. */
  readonly elapsedMs: number | undefined
}

/** Buckets of time for each doubling. Two tell a time from one that is twice as long, whichever end of a bucket they are at. */
export const BUCKETS_PER_DOUBLING = 2

/** The last bucket, which has all longer times: 2 ** 20 ms are 17 minutes. */
const MAX_BUCKET = 40

/** Maximum number of kinds that are told apart, which bounds the reports; further ones count as one. */
const MAX_KINDS = 12

const OTHER_KINDS = 'other'

/** Returns the bucket of a time. */
export function bucketOf (elapsedMs: number): number {
  return Math.min(MAX_BUCKET, Math.max(0, Math.round(BUCKETS_PER_DOUBLING * Math.log2(Math.max(1, elapsedMs)))))
}

/**
 * Adds a sample to outcomes.
 *
 * @example
 * ```ts
 * addSample({}, { kind: 'chat stream', elapsedMs: 120 }) // { 'chat stream': [0, { 14: 1 }] }
 * ```
 */
export function addSample (outcomes: Outcomes, { kind, elapsedMs }: Sample): Outcomes {
  const name = Object.hasOwn(outcomes, kind) || Object.keys(outcomes).length < MAX_KINDS ? kind : OTHER_KINDS
  const [failures, times] = (Object.hasOwn(outcomes, name) ? outcomes[name] : undefined) ?? [0, {}]
  if (elapsedMs === undefined) return { ...outcomes, [name]: [failures + 1, times] }
  const bucket = bucketOf(elapsedMs)
  return { ...outcomes, [name]: [failures, { ...times, [bucket]: 1 + (times[bucket] ?? 0) }] }
}

/**
 * Returns the sum of outcomes of several daemons.
 *
 * @example
 * ```ts
 * sum([own, ...peers.map((peer) => peer.outcomes)])
 * ```
 */
export function sum (all: readonly Outcomes[]): Outcomes {
  const total = new Map<string, { readonly failures: number, readonly times: ReadonlyMap<string, number> }>()
  for (const [kind, [failures, times]] of all.flatMap((outcomes) => Object.entries(outcomes))) {
    const previous = total.get(kind)
    const added = new Map(previous?.times)
    for (const [bucket, count] of Object.entries(times)) added.set(bucket, count + (added.get(bucket) ?? 0))
    total.set(kind, { failures: failures + (previous?.failures ?? 0), times: added })
  }
  return Object.fromEntries([...total].map(([kind, { failures, times }]) => [kind, [failures, Object.fromEntries(times)]]))
}

/** Returns the number of answers that are not failures. */
export function successesOf ([, times]: Tally): number {
  return Object.values(times).reduce((total, count) => total + count, 0)
}

/** Returns the number of samples of all kinds. */
export function sampleCount (outcomes: Outcomes): number {
  return Object.values(outcomes).reduce((total, tally) => total + tally[0] + successesOf(tally), 0)
}

/** Returns how many answers took as long as a bucket or longer. */
export function countFrom ([, times]: Tally, bucket: number): number {
  return Object.entries(times).reduce((total, [name, count]) => Number(name) >= bucket ? total + count : total, 0)
}
