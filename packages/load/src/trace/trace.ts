/**
 * Format of recorded traces: JSON lines that hold a header, then arrivals and target events ordered by time.
 *
 * @module
 */
import * as zod from 'zod'

/** Version of the trace format. */
export const FORMAT_VERSION = 1

const NON_NEGATIVE_INTEGER = zod.number().int().min(0)
const POSITIVE_NUMBER = zod.number().positive()
const SHARE = zod.number().min(0).max(1)

const KIND = zod.strictObject({
  name: zod.string().min(1),
  service: zod.string().min(1),
  target: zod.enum(['model', 'plain']),
  method: zod.string().min(1),
  path: zod.string().startsWith('/'),
  tier: zod.string().min(1),
  rank: NON_NEGATIVE_INTEGER,
  nonIdempotent: zod.boolean(),
  stream: zod.boolean(),
  /** Length of the prompt prefix that requests of one organisation share. */
  sharedTokens: NON_NEGATIVE_INTEGER,
  /** Maximum length of a response to requests of this kind. */
  answerLimitTokens: NON_NEGATIVE_INTEGER,
  /** Time from arrival until the caller closes its connection. */
  deadlineMs: POSITIVE_NUMBER
})

const TARGET = zod.strictObject({
  name: zod.string().min(1),
  kind: zod.enum(['model', 'plain']),
  prefillTokensPerS: POSITIVE_NUMBER,
  decodeTokensPerS: POSITIVE_NUMBER,
  maxDecodeTokensPerSequencePerS: POSITIVE_NUMBER,
  maxBatch: zod.number().int().positive(),
  cacheTokens: NON_NEGATIVE_INTEGER,
  /** Time that a plain service takes for one request. */
  serviceTimeMs: NON_NEGATIVE_INTEGER,
  loadLagMs: NON_NEGATIVE_INTEGER,
  cacheEventLagMs: NON_NEGATIVE_INTEGER,
  cacheEventLossRate: SHARE
})

const EXPECTED_OUTCOMES = zod.strictObject({
  /** Ranks whose latency objectives are checked. */
  latencyRanks: zod.array(NON_NEGATIVE_INTEGER),
  firstTokenMs: POSITIVE_NUMBER,
  betweenTokensMs: POSITIVE_NUMBER,
  /** Minimum share of requests that meet both latency objectives. */
  withinShare: SHARE,
  /** Minimum goodput of the most important tier, as a share of its offered tokens. */
  topTierShare: SHARE,
  /** Minimum goodput of all tiers, as a share of the decode capacity of the targets. */
  capacityShare: SHARE,
  /** Maximum wasted prefill, as a share of all prefill. */
  wastedPrefillShare: SHARE,
  /** Minimum goodput weighted by tier, as a multiple of that of the best baseline. */
  baselineFactor: POSITIVE_NUMBER
})

/** First line of a trace. */
export const HEADER = zod.strictObject({
  type: zod.literal('header'),
  format: zod.literal(FORMAT_VERSION),
  deployment: zod.string().min(1),
  seed: zod.number().int(),
  durationMs: POSITIVE_NUMBER,
  /** Requested answer tokens, as a multiple of the decode capacity of the targets. */
  load: POSITIVE_NUMBER,
  entries: zod.number().int().positive(),
  messageDelayMs: NON_NEGATIVE_INTEGER,
  organisations: zod.array(zod.string().min(1)).min(1),
  kinds: zod.array(KIND).min(1),
  targets: zod.array(TARGET).min(1),
  outcomes: EXPECTED_OUTCOMES
})

/**
 * A request; unlike other lines, it has no `type`. `kind` is the name of a request kind, `by` an index into the
 * header's organisations.
 */
export const ARRIVAL = zod.strictObject({
  atMs: NON_NEGATIVE_INTEGER,
  kind: zod.string(),
  by: NON_NEGATIVE_INTEGER,
  prompt: zod.number().int().positive(),
  answer: zod.number().int().positive()
})

/**
 * A change of a target's behaviour. A crash fails all requests on the target and makes it unreachable for `forMs`.
 * A report lag applies to all reports read afterwards.
 */
export const TARGET_EVENT = zod.discriminatedUnion('type', [
  zod.strictObject({ type: zod.literal('slowdown'), atMs: NON_NEGATIVE_INTEGER, target: zod.string(), factor: POSITIVE_NUMBER }),
  zod.strictObject({ type: zod.literal('crash'), atMs: NON_NEGATIVE_INTEGER, target: zod.string(), forMs: POSITIVE_NUMBER }),
  zod.strictObject({ type: zod.literal('report-lag'), atMs: NON_NEGATIVE_INTEGER, target: zod.string(), loadLagMs: NON_NEGATIVE_INTEGER, cacheEventLagMs: NON_NEGATIVE_INTEGER })
])

type DeepReadonly<Value> = Value extends ReadonlyArray<infer Item> ? ReadonlyArray<DeepReadonly<Item>>
  : Value extends object ? { readonly [Key in keyof Value]: DeepReadonly<Value[Key]> } : Value

/** First line of a trace. */
export type Header = DeepReadonly<zod.infer<typeof HEADER>>
/** A kind of request. */
export type Kind = Header['kinds'][number]
/** Rates and report lags of a target. */
export type Target = Header['targets'][number]
/** Bounds that a replay is checked against, set before any run. */
export type ExpectedOutcomes = Header['outcomes']
/** A request. */
export type Arrival = DeepReadonly<zod.infer<typeof ARRIVAL>>
/** A change of a target's behaviour. */
export type TargetEvent = DeepReadonly<zod.infer<typeof TARGET_EVENT>>

/** A complete trace. Arrivals and events are each ordered by time. */
export interface Trace {
  readonly header: Header
  readonly arrivals: readonly Arrival[]
  readonly events: readonly TargetEvent[]
}
