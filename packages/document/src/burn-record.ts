/**
 * Counts of service levels as daemons store them: one record for each daemon and window, with one
 * bucket a minute, under `/persimmonhatch/burn/WINDOW/AVAILABILITY-ZONE/INCARNATION`.
 *
 * A window is a fixed block of minutes and is named by its first minute since 1970. A record is
 * written whole about once a minute, so windows are short; its key lives under a lease.
 *
 * @module
 */
import * as neverthrow from 'neverthrow'
import * as z from 'zod'
import * as checkSchema from './check-schema.js'
import * as parseJsonc from './parse-jsonc.js'
import * as problem from './problem.js'

/** Prefix of the keys that hold burn records. */
export const KEY_PREFIX = '/persimmonhatch/burn/'

/** Length of a window, minutes. */
export const WINDOW_MINUTES = 10

/** Longest span of time that reports may cover, minutes. */
export const MAX_REPORT_MINUTES = 360

/** Time to live of the lease that a record is written under, seconds. */
export const RETENTION_S = (MAX_REPORT_MINUTES + 2 * WINDOW_MINUTES) * 60

const MS_PER_MINUTE = 60_000

const count = z.number().int().min(0).default(0)

const counts = z.strictObject({
  /** Requests that ended, refused ones included; requests that the caller gave up are not counted. */
  total: count,
  /** Requests whose first token came later than the objective. */
  firstToken: count,
  /** Requests whose tokens came more slowly than the objective. */
  betweenTokens: count,
  /** Requests that ended without a whole answer, or later than the objective. */
  completion: count,
  /** Requests that were refused or shed. */
  refused: count,
  /** Requests that missed an objective, by main cause: the wait for a target. */
  causeWaited: count,
  /** A target that was slower than the objective allows. */
  causeStraggler: count,
  causeShed: count,
  causeRefused: count,
  /** An answer that was stopped or broke off. */
  causeCut: count
}).readonly()

const series = z.strictObject({
  service: z.string(),
  tier: z.string(),
  organisation: z.string(),
  buckets: z.array(z.strictObject({ ...counts.unwrap().shape, minute: z.number().int().min(0) }).readonly()).max(WINDOW_MINUTES).readonly()
}).readonly()

/** Schema of a burn record. */
export const schema = z.strictObject({
  format: z.literal(1),
  /** First minute of the window, since 1970. */
  window: z.number().int().min(0),
  availabilityZone: z.string(),
  incarnation: z.string(),
  series: z.array(series).readonly()
}).readonly()

/** One daemon's counts in one window. */
export type BurnRecord = z.infer<typeof schema>

/** Counts of one service, tier and organisation. */
export type Series = BurnRecord['series'][number]

/** Counts of one minute. */
export type Bucket = Series['buckets'][number]

/** Counts without a time. */
export type Counts = z.infer<typeof counts>

/** Name of a count. */
export type CountName = keyof Counts

/** What is counted for one request; each named count rises by one. */
export interface Observation {
  readonly service: string
  readonly tier: string
  readonly organisation: string
  readonly counts: readonly CountName[]
}

/** No request at all. */
export const ZERO: Counts = counts.parse({})

const COUNT_NAMES = Object.keys(ZERO) as readonly CountName[]

/**
 * The minute since 1970 of a wall-clock time.
 *
 * @example
 * ```ts
 * minuteOf(120_000) // 2
 * ```
 */
export function minuteOf (nowMs: number): number {
  return Math.floor(nowMs / MS_PER_MINUTE)
}

/**
 * The window that a minute belongs to.
 *
 * @example
 * ```ts
 * windowOf(25) // 20
 * ```
 */
export function windowOf (minute: number): number {
  return minute - minute % WINDOW_MINUTES
}

/**
 * The windows that cover the minutes from one to another, both included.
 *
 * @example
 * ```ts
 * windowsBetween(18, 25) // [10, 20]
 * ```
 */
export function windowsBetween (fromMinute: number, toMinute: number): readonly number[] {
  const length = (windowOf(toMinute) - windowOf(fromMinute)) / WINDOW_MINUTES + 1
  return Array.from({ length }, (_, index) => windowOf(fromMinute) + index * WINDOW_MINUTES)
}

/**
 * Prefix of all records of a window.
 *
 * @example
 * ```ts
 * windowPrefix(20) // '/persimmonhatch/burn/20/'
 * ```
 */
export function windowPrefix (window: number): string {
  return `${KEY_PREFIX}${window}/`
}

/**
 * The key of a record.
 *
 * @example
 * ```ts
 * recordKey(record) // '/persimmonhatch/burn/20/zone-a/k3…'
 * ```
 */
export function recordKey (record: Pick<BurnRecord, 'window' | 'availabilityZone' | 'incarnation'>): string {
  return `${windowPrefix(record.window)}${record.availabilityZone}/${record.incarnation}`
}

/**
 * The sum of two counts.
 *
 * @example
 * ```ts
 * addCounts(ZERO, counts)
 * ```
 */
export function addCounts (left: Counts, right: Counts): Counts {
  return Object.fromEntries(COUNT_NAMES.map((name) => [name, left[name] + right[name]])) as Counts
}

/** A stored value that is no burn record. */
export class UnreadableRecord extends Error {
  readonly kind = 'unreadable-record'

  constructor (readonly key: string, readonly problems: readonly problem.Problem[]) {
    super(`${key} holds no burn record of this version: ${problems.map(problem.describeProblem).join('; ')}. Use the tool and the daemons of one version.`)
    this.name = 'UnreadableRecord'
  }
}

/**
 * Reads a record.
 *
 * @example
 * ```ts
 * readRecord(entry.key, entry.value).map((record) => record.series.length)
 * ```
 */
export function readRecord (key: string, text: string): neverthrow.Result<BurnRecord, UnreadableRecord> {
  return parseJsonc.parseJsonc(text)
    .andThen((value) => checkSchema.checkSchema(schema, value))
    .andThen((record) => recordKey(record) === key
      ? neverthrow.ok(record)
      : neverthrow.err([{ path: 'window', value: problem.showValue(record.window), remedy: 'the record does not belong to its key' }]))
    .mapErr((problems) => new UnreadableRecord(key, problems))
}

/**
 * The text to store for a record; counts of zero are left out.
 *
 * @example
 * ```ts
 * writeRecord(record)
 * ```
 */
export function writeRecord (record: BurnRecord): string {
  return JSON.stringify(record, (key, value: unknown) => value === 0 && key in ZERO ? undefined : value)
}
