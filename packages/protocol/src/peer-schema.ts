/**
 * Schemas that validate messages from other daemons before they are processed.
 *
 * @module
 */
import * as z from 'zod'
import * as reason from './reason.js'

const COUNT = z.number().int().min(0)
const MILLISECONDS = z.number().min(0)
const NAME = z.string().min(1).max(64)
const INCARNATION = z.string().regex(/^[a-z0-9]{13}$/)
const HASH = z.string().min(1).max(32)
const MAX_HOLDINGS = 20_000
const MAX_UPDATES = 2_000

const REASONS = Object.keys(reason.EXPLANATIONS) as [reason.Reason, ...reason.Reason[]]
const REASON = z.enum(REASONS)
const FIGURES = z.record(z.string(), z.union([z.string(), z.number()])).readonly()
const SLOT_OUTCOME = z.enum(['finished', 'failed', 'crashed', 'cancelled', 'unused', 'unreachable'])

/** Schema of `MemberUpdate`. */
export const memberUpdate = z.object({
  kind: z.literal('member'),
  incarnation: INCARNATION,
  address: NAME,
  peerAddress: NAME,
  availabilityZone: NAME,
  region: NAME,
  beat: COUNT,
  state: z.enum(['alive', 'leaving', 'gone']),
  load: z.number().min(0)
}).readonly()

const targetUpdate = z.object({
  kind: z.literal('target'),
  target: NAME,
  version: COUNT,
  state: z.enum(['leaving', 'serving'])
}).readonly()

const suspectUpdate = z.object({
  kind: z.literal('suspect'),
  fingerprint: HASH,
  version: COUNT,
  state: z.enum(['suspect', 'refused', 'cleared']),
  crashes: COUNT,
  remainingMs: MILLISECONDS
}).readonly()

const revisionUpdate = z.object({ kind: z.literal('revision'), service: NAME, revision: COUNT }).readonly()

const UPDATES = z.array(z.discriminatedUnion('kind', [memberUpdate, targetUpdate, suspectUpdate, revisionUpdate])).max(MAX_UPDATES).readonly()

const holding = z.object({
  ask: COUNT,
  target: NAME,
  service: NAME,
  organisation: NAME,
  tier: COUNT,
  promptTokens: COUNT,
  answerTokens: COUNT,
  nonIdempotent: z.boolean(),
  fingerprint: HASH,
  runningMs: MILLISECONDS
}).readonly()

const slotRequest = z.object({
  kind: z.literal('ask'),
  ask: COUNT,
  pool: NAME,
  service: NAME,
  organisation: NAME,
  tier: COUNT,
  promptTokens: COUNT,
  answerTokens: COUNT,
  prefixes: z.array(HASH).max(16).readonly(),
  deadlineMs: z.number(),
  nonIdempotent: z.boolean(),
  fingerprint: HASH,
  waitedMs: MILLISECONDS,
  round: COUNT
}).readonly()

const release = z.object({
  kind: z.literal('release'),
  ask: COUNT,
  outcome: SLOT_OUTCOME,
  promptTokens: COUNT,
  cachedTokens: COUNT.optional(),
  answerTokens: COUNT,
  firstTokenMs: MILLISECONDS,
  totalMs: MILLISECONDS
}).readonly()

/** Schema of `PeerMessage`. */
export const peerMessage = z.discriminatedUnion('kind', [
  slotRequest,
  release,
  z.object({ kind: z.literal('withdraw'), ask: COUNT }).readonly(),
  z.object({ kind: z.literal('round'), round: COUNT }).readonly(),
  z.object({ kind: z.literal('grant'), ask: COUNT, target: NAME, round: COUNT, figures: FIGURES }).readonly(),
  z.object({ kind: z.literal('refusal'), ask: COUNT, reason: REASON, retryAfterMs: MILLISECONDS, figures: FIGURES }).readonly(),
  z.object({ kind: z.literal('revocation'), ask: COUNT, cause: z.enum(['preempted', 'withdrawn']) }).readonly(),
  z.object({ kind: z.literal('collect'), pool: NAME }).readonly(),
  z.object({ kind: z.literal('holdings'), pool: NAME, holdings: z.array(holding).max(MAX_HOLDINGS).readonly() }).readonly(),
  z.object({ kind: z.literal('floor'), pool: NAME, tier: COUNT, holdMs: MILLISECONDS }).readonly(),
  z.object({ kind: z.literal('floor-reached'), pool: NAME, tier: COUNT, running: COUNT }).readonly(),
  z.object({ kind: z.literal('probe'), sequence: COUNT, news: UPDATES }).readonly(),
  z.object({ kind: z.literal('ack'), sequence: COUNT, news: UPDATES }).readonly(),
  z.object({ kind: z.literal('indirect-probe'), sequence: COUNT, incarnation: INCARNATION }).readonly(),
  z.object({ kind: z.literal('indirect-ack'), sequence: COUNT, incarnation: INCARNATION }).readonly(),
  z.object({ kind: z.literal('document-request'), service: NAME, revision: COUNT }).readonly(),
  z.object({ kind: z.literal('document-copy'), service: NAME, revision: COUNT, content: z.string() }).readonly()
])

/** Schema of `Handshake`. */
export const handshake = z.object({
  version: COUNT,
  member: memberUpdate,
  /** Incarnation that the caller expects to reach. Empty when it accepts any. */
  wanted: z.string()
}).readonly()

/** Handshake that opens a connection between daemons. */
export type Handshake = z.infer<typeof handshake>
