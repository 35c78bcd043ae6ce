/**
 * Schema of the daemon's settings file, JSON with comments.
 *
 * @module
 */
import * as z from 'zod'

const ADDRESS = z.string().regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'use an IP number and a port, such as 10.0.0.7:7400')
const NAME = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'use 1 to 63 lower-case letters, digits and hyphens')

const listen = z.strictObject({
  /** Address for callers and operators. */
  callers: ADDRESS,
  /** Address for other daemons. */
  peers: ADDRESS
}).readonly()

const platform = z.strictObject({
  keyValue: z.array(ADDRESS).min(1).readonly(),
  vmList: ADDRESS.optional(),
  /** Maximum calls of this daemon to the key-value service per minute, watches included. */
  callsPerMinute: z.number().int().min(10).default(120)
}).readonly()

const limits = z.strictObject({
  bodyBytes: z.number().int().min(1_024).default(4_194_304),
  headerBytes: z.number().int().min(1_024).default(16_384),
  /** Maximum number of requests that wait or run at the same time. */
  requests: z.number().int().min(1).default(2_000),
  /** Maximum total size of responses retained for callers that retry their request. */
  heldAnswerBytes: z.number().int().min(0).default(67_108_864),
  /** Timeout for receiving a caller's complete request. */
  requestReadMs: z.number().int().min(100).default(30_000)
}).readonly()

/** Schema of the settings; unknown keys are rejected. */
export const schema = z.strictObject({
  name: NAME,
  availabilityZone: NAME,
  region: NAME,
  listen,
  /** Addresses announced to others, when they differ from the listen addresses. */
  advertise: listen.optional(),
  platform,
  /** Peer addresses of other daemons, for peer discovery while the platform is unavailable. */
  seeds: z.array(ADDRESS).max(32).readonly().default([]),
  /** StatsD server; without it, no metrics are sent. */
  metrics: z.strictObject({ address: ADDRESS, prefix: z.string().default('persimmonhatch.') }).readonly().optional(),
  limits: limits.prefault({}),
  log: z.strictObject({ level: z.enum(['error', 'warn', 'info', 'debug']).default('info') }).readonly().prefault({}),
  /** Length of the first phase of a planned stop, in which new requests are still accepted. */
  drainMs: z.number().int().min(0).default(15_000)
}).readonly()

/** Validated settings of a daemon. */
export type Settings = z.infer<typeof schema>
