/**
 * Durations, sizes and header names that several packages share.
 *
 * @module
 */

/** Version of the protocol between daemons. A daemon refuses a connection from another version. */
export const PROTOCOL_VERSION = 2

/** Tokens covered by the first prefix hash of a slot request. Each further hash covers twice as many. */
export const PREFIX_TOKENS = 128

/** Maximum number of prefix hashes in a slot request. */
export const MAX_PREFIXES = 8

/** Bytes of text that count as one token when the size of a prompt is estimated. */
export const BYTES_PER_TOKEN = 4

/** Interval at which an entry with waiting slot requests starts a new freshness round, milliseconds. */
export const ROUND_INTERVAL_MS = 500

/** Maximum age of the freshness round that a grant echoes, milliseconds. An entry releases a grant with an older round unused. */
export const GRANT_VALIDITY_MS = 2_000

/** Interval at which a member increments its heartbeat counter, milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 1_000

/** Time to live of a response that lists daemon addresses, milliseconds. */
export const ADDRESS_TIME_TO_LIVE_MS = 15_000

/** Time for which the outcome of an identity is retained, in heartbeats of its owner. */
export const IDENTITY_RETENTION_HEARTBEATS = 600

/** Prefix of the nonces that an owner generates for requests without an identity. Issued identities never start with it. */
export const INTERNAL_NONCE_PREFIX = '_'

/** Names of the HTTP headers between callers and daemons. */
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
