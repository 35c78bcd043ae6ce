/**
 * Service level counts as stored by daemons: one record for each daemon and window, with one
 * bucket per minute, under `/persimmonhatch/burn/WINDOW/AVAILABILITY-ZONE/INCARNATION`.
 *
 * A window is a fixed block of minutes, named by its first minute since 1970. The whole record is
 * rewritten about once a minute, so windows are short. Its key is attached to a lease.
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

/** Maximum time that reports may cover, minutes. */
export const MAX_REPORT_MINUTES = 360

/** Time to live of the lease that a record is written under, seconds. */
export const RETENTION_S = (MAX_REPORT_MINUTES + 2 * WINDOW_MINUTES) * 60

const MS_PER_MINUTE = 60_000

const count = z.number().int().min(0).default(0)

const counts = z.strictObject({
  /** Requests that ended, refused ones included; requests cancelled by their callers are not counted. */
  total: count,
  /** Requests whose time to the first token exceeded the objective. */
  firstToken: count,
  /** Requests whose time between tokens exceeded the objective. */
  betweenTokens: count,
  /** Requests that ended without a complete response, or later than the objective. */
  completion: count,
  /** Requests that were refused or shed. */
  refused: count,
  /** Requests that missed an objective mainly because of the wait for a target. */
  causeWaited: count,
  /** Requests that missed an objective mainly because the target was too slow. */
  causeStraggler: count,
  causeShed: count,
  causeRefused: count,
  /** Requests whose response was cancelled or interrupted. */
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

/** What is counted for one request; each named count is incremented. */
export interface Observation {
  readonly service: string
  readonly tier: string
  readonly organisation: string
  readonly counts: readonly CountName[]
}

/** Counts of no requests. */
export const ZERO_COUNTS: Counts = counts.parse({})

const COUNT_NAMES = Object.keys(ZERO_COUNTS) as readonly CountName[]

/**
 * Returns the minute since 1970 of a wall-clock time.
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
 * Returns the window that contains a minute.
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
 * Returns the windows that cover the minutes from `fromMinute` to `toMinute`, both included.
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
 * Returns the key prefix of all records of a window.
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
 * Returns the key of a record.
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
 * Adds two counts.
 *
 * @example
 * ```ts
 * addCounts(ZERO_COUNTS, counts)
 * ```
 */
export function addCounts (left: Counts, right: Counts): Counts {
  return Object.fromEntries(COUNT_NAMES.map((name) => [name, left[name] + right[name]])) as Counts
}

/** A stored value that is not a burn record. */
export class UnreadableRecord extends Error {
  readonly kind = 'unreadable-record'

  constructor (readonly key: string, readonly problems: readonly problem.Problem[]) {
    super(`${key} holds no burn record of this version: ${problems.map(problem.formatProblem).join('; ')}. Use the tool and the daemons of one version.`)
    this.name = 'UnreadableRecord'
  }
}

/**
 * Parses a record.
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
      : neverthrow.err([{ path: 'window', value: problem.formatValue(record.window), remedy: 'the record does not belong to its key' }]))
    .mapErr((problems) => new UnreadableRecord(key, problems))
}

/**
 * Returns the text to store for a record, without counts of zero.
 *
 * @example
 * ```ts
 * writeRecord(record)
 * ```
 */
export function writeRecord (record: BurnRecord): string {
  return JSON.stringify(record, (key, value: unknown) => value === 0 && key in ZERO_COUNTS ? undefined : value)
}
