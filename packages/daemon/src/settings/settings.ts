/**
 * Schema of the daemon's settings file, JSON with comments.
 *
 * @module
 */
import * as z from 'zod'

const ADDRESS = z.string().regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'use an IP number and a port, such as 10.0.0.7:7400')
const NAME = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'use 1 to 63 lower-case letters, digits and hyphens')

const listen = z.strictObject({
  /** Where callers and operators connect. */
  callers: ADDRESS,
  /** Where other daemons connect. */
  peers: ADDRESS
}).readonly()

const platform = z.strictObject({
  keyValue: z.array(ADDRESS).min(1).readonly(),
  vmList: ADDRESS.optional(),
  /** Calls to the key-value service that this daemon may make in a minute, watches included. */
  callsPerMinute: z.number().int().min(10).default(120)
}).readonly()

const limits = z.strictObject({
  bodyBytes: z.number().int().min(1_024).default(4_194_304),
  headerBytes: z.number().int().min(1_024).default(16_384),
  /** Requests waiting or running at one time. */
  requests: z.number().int().min(1).default(2_000),
  /** Answers kept for callers that send their request again, all together. */
  heldAnswerBytes: z.number().int().min(0).default(67_108_864),
  /** Longest time for a caller to send its whole request. */
  requestReadMs: z.number().int().min(100).default(30_000)
}).readonly()

/** Schema of the settings. Unknown keys are errors. */
export const schema = z.strictObject({
  name: NAME,
  availabilityZone: NAME,
  region: NAME,
  listen,
  /** Addresses given to others when they differ from those listened on. */
  advertise: listen.optional(),
  platform,
  /** Peer addresses of a few other daemons, met when the platform can't introduce any. */
  seeds: z.array(ADDRESS).max(32).readonly().default([]),
  /** Where StatsD metrics are sent; left out, none are sent. */
  metrics: z.strictObject({ address: ADDRESS, prefix: z.string().default('persimmonhatch.') }).readonly().optional(),
  limits: limits.prefault({}),
  log: z.strictObject({ level: z.enum(['error', 'warn', 'info', 'debug']).default('info') }).readonly().prefault({}),
  /** Length of the planned stop's first part, in which new requests are still taken. */
  drainMs: z.number().int().min(0).default(15_000)
}).readonly()

/** Checked settings of a daemon. */
export type Settings = z.infer<typeof schema>
