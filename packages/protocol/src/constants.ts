/**
 * Times and sizes that more than one package must agree on.
 *
 * @module
 */

/** Version of the messages between daemons; daemons with another version refuse the connection. */
export const PROTOCOL_VERSION = 2

/** Tokens that the first prefix hash of an ask covers; each further hash covers twice as many. */
export const PREFIX_TOKENS = 128

/** Most prefix hashes that an ask carries. */
export const MAX_PREFIXES = 8

/** Bytes of text that count as one token when a prompt is estimated. */
export const BYTES_PER_TOKEN = 4

/** Interval at which an entry with waiting asks renews its freshness round, milliseconds. */
export const ROUND_INTERVAL_MS = 500

/** Age of a round above which a grant that echoes it is returned unused, milliseconds. */
export const GRANT_VALIDITY_MS = 2_000

/** Interval of a member's beat, milliseconds. */
export const BEAT_INTERVAL_MS = 1_000

/** Time to live of an answer to "which address to use", milliseconds. */
export const ADDRESS_TIME_TO_LIVE_MS = 15_000

/** Time for which the outcome of an identity is kept, in beats of its owner. */
export const IDENTITY_RETENTION_BEATS = 600

/** First character of the nonces that an owner gives to requests that came without an identity; no handed-out identity has it. */
export const OWN_NONCE_MARK = '_'

/** Headers between callers and daemons. */
export const HEADERS = {
  identity: 'idempotency-key',
  organisation: 'x-persimmonhatch-organisation',
  openaiOrganisation: 'openai-organization',
  tier: 'x-persimmonhatch-tier',
  deadline: 'x-persimmonhatch-deadline-ms',
  receipt: 'x-persimmonhatch-receipt',
  reason: 'x-persimmonhatch-reason',
  execution: 'x-persimmonhatch-execution'
} as const
