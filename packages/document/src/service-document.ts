/**
 * Schema of the document that operators maintain for a service.
 *
 * Units: times are milliseconds, shares are relative weights, percentages are 0 to 100.
 *
 * @module
 */
import * as z from 'zod'

const NAME = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'use 1 to 63 lower-case letters, digits and hyphens')
const ADDRESS = z.string().regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'use an IP number and a port, such as 10.0.0.7:9100')

const objectives = z.strictObject({
  firstTokenMs: z.number().positive().optional(),
  betweenTokensMs: z.number().positive().optional(),
  completionMs: z.number().positive().optional(),
  /** Share of requests that must meet the objective, percent. */
  percent: z.number().gt(0).lt(100).default(95),
  /** Share of requests that may be refused, percent. */
  refusedPercent: z.number().gt(0).lt(100).default(1)
}).readonly()

const tier = z.strictObject({
  name: NAME,
  rank: z.number().int().min(0).max(15),
  /** Expected wait above which a request of this tier is shed. */
  maxWaitMs: z.number().int().positive().default(30_000),
  /** Deadline of requests that state none. */
  deadlineMs: z.number().int().positive().default(120_000),
  objectives: objectives.prefault({})
}).readonly()

const requestRule = z.strictObject({
  method: z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']).default('POST'),
  /** Path within the service; a trailing `*` matches any suffix. */
  path: z.string().startsWith('/'),
  nonIdempotent: z.boolean().default(false),
  tier: NAME.optional(),
  /** For plain services the cost of one call, for model engines the estimated length of the response; in tokens. */
  answerTokens: z.number().int().positive().optional()
}).readonly()

const target = z.strictObject({
  name: NAME,
  address: ADDRESS,
  /** Targets that share services belong to one pool; a pool never spans regions. */
  pool: NAME,
  availabilityZone: NAME,
  hardware: NAME.default('default'),
  /** Whether the target refuses orders with an old fencing number. */
  checksFencing: z.boolean().default(false)
}).readonly()

/** Schema of a service document. Unknown keys are errors. */
export const schema = z.strictObject({
  service: NAME,
  kind: z.enum(['model', 'plain']),
  tiers: z.array(tier).min(1).max(8).readonly(),
  defaultTier: NAME,
  requests: z.array(requestRule).max(200).readonly().default([]),
  organisations: z.array(z.strictObject({ name: NAME, share: z.number().positive().max(1000).default(1) }).readonly()).min(1).max(1000).readonly(),
  targets: z.array(target).min(1).max(200).readonly(),
  weighing: z.strictObject({
    /** `wasted-prefill`: keep headroom and preempt as little as possible. `goodput-by-tier`: preempt lower tiers immediately. */
    prefer: z.enum(['wasted-prefill', 'goodput-by-tier']).default('goodput-by-tier'),
    /** Share of a target's limit kept free for tiers above the lowest, percent. */
    headroomPercent: z.number().min(0).max(90).default(10)
  }).readonly().prefault({}),
  /** What the service's model engines must have loaded. */
  engine: z.strictObject({
    model: z.string().min(1),
    version: z.string().min(1).default('1'),
    adapters: z.array(z.string().min(1)).readonly().default([]),
    role: z.enum(['mixed', 'prefill', 'decode']).default('mixed')
  }).readonly().optional()
}).readonly()

/** A checked service document. */
export type ServiceDocument = z.infer<typeof schema>

/** A tier of a service. */
export type Tier = ServiceDocument['tiers'][number]

/** A target of a service. */
export type Target = ServiceDocument['targets'][number]

/** A rule that matches requests by method and path. */
export type RequestRule = ServiceDocument['requests'][number]
