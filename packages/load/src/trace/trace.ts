/**
 * Format of recorded traces: JSON lines, a header first, then arrivals and target events by time.
 *
 * @module
 */
import * as zod from 'zod'

/** Version of the format. */
export const FORMAT_VERSION = 1

const COUNT = zod.number().int().min(0)
const RATE = zod.number().positive()
const SHARE = zod.number().min(0).max(1)

const KIND = zod.strictObject({
  name: zod.string().min(1),
  service: zod.string().min(1),
  target: zod.enum(['model', 'plain']),
  method: zod.string().min(1),
  path: zod.string().startsWith('/'),
  tier: zod.string().min(1),
  rank: COUNT,
  nonIdempotent: zod.boolean(),
  stream: zod.boolean(),
  /** Length of the prompt's beginning that requests of one organisation share. */
  sharedTokens: COUNT,
  /** Longest answer that requests of this kind allow. */
  answerLimitTokens: COUNT,
  /** Time after which the caller closes its connection. */
  deadlineMs: RATE
})

const TARGET = zod.strictObject({
  name: zod.string().min(1),
  kind: zod.enum(['model', 'plain']),
  prefillTokensPerS: RATE,
  decodeTokensPerS: RATE,
  maxDecodeTokensPerSequencePerS: RATE,
  maxBatch: zod.number().int().positive(),
  cacheTokens: COUNT,
  /** Time that a plain service needs for one request. */
  serviceTimeMs: COUNT,
  loadLagMs: COUNT,
  cacheEventLagMs: COUNT,
  cacheEventLossRate: SHARE
})

const OUTCOMES = zod.strictObject({
  /** Ranks whose latency objectives are judged. */
  latencyRanks: zod.array(COUNT),
  firstTokenMs: RATE,
  betweenTokensMs: RATE,
  /** Share of requests that must be within both. */
  withinShare: SHARE,
  /** Least goodput of the most important tier, as a share of what it offered. */
  topTierShare: SHARE,
  /** Least goodput of all tiers, as a share of what the targets can write. */
  capacityShare: SHARE,
  /** Most prefill that is thrown away, as a share of all prefill. */
  wastedPrefillShare: SHARE,
  /** Least goodput weighted by tier, as a multiple of the best baseline's. */
  baselineFactor: RATE
})

/** First line of a trace. */
export const HEADER = zod.strictObject({
  type: zod.literal('header'),
  format: zod.literal(FORMAT_VERSION),
  deployment: zod.string().min(1),
  seed: zod.number().int(),
  durationMs: RATE,
  /** Answer tokens that arrive, as a multiple of what the targets can write. */
  load: RATE,
  entries: zod.number().int().positive(),
  messageDelayMs: COUNT,
  organisations: zod.array(zod.string().min(1)).min(1),
  kinds: zod.array(KIND).min(1),
  targets: zod.array(TARGET).min(1),
  outcomes: OUTCOMES
})

/** A request, told from other lines by having no `type`. `kind` is a kind's name, `by` an index into the header's organisations. */
export const ARRIVAL = zod.strictObject({
  atMs: COUNT,
  kind: zod.string(),
  by: COUNT,
  prompt: zod.number().int().positive(),
  answer: zod.number().int().positive()
})

/** What a target did. A crash ends all that runs there and lasts `forMs`; a report delay holds for reports read from then on. */
export const TARGET_EVENT = zod.discriminatedUnion('type', [
  zod.strictObject({ type: zod.literal('slowdown'), atMs: COUNT, target: zod.string(), factor: RATE }),
  zod.strictObject({ type: zod.literal('crash'), atMs: COUNT, target: zod.string(), forMs: RATE }),
  zod.strictObject({ type: zod.literal('report-lag'), atMs: COUNT, target: zod.string(), loadLagMs: COUNT, cacheEventLagMs: COUNT })
])

type DeepReadonly<Value> = Value extends ReadonlyArray<infer Item> ? ReadonlyArray<DeepReadonly<Item>>
  : Value extends object ? { readonly [Key in keyof Value]: DeepReadonly<Value[Key]> } : Value

/** First line of a trace. */
export type Header = DeepReadonly<zod.infer<typeof HEADER>>
/** Kind of request. */
export type Kind = Header['kinds'][number]
/** A target's rates and lags. */
export type Target = Header['targets'][number]
/** Bounds that were given before any run. */
export type Outcomes = Header['outcomes']
/** A request. */
export type Arrival = DeepReadonly<zod.infer<typeof ARRIVAL>>
/** What a target did. */
export type TargetEvent = DeepReadonly<zod.infer<typeof TARGET_EVENT>>

/** A whole trace; arrivals and events each in order of time. */
export interface Trace {
  readonly header: Header
  readonly arrivals: readonly Arrival[]
  readonly events: readonly TargetEvent[]
}
