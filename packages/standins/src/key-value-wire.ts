/**
 * Requests and responses of the etcd v3 JSON gateway, in the subset that the key-value stand-in supports.
 *
 * @module
 */
import * as zod from 'zod'
import type * as keyValueStore from './key-value-store.js'

const INTEGER = zod.union([zod.string().regex(/^\d+$/), zod.number()]).default('0').transform(Number)
const BYTES = zod.string().default('').transform((text) => Buffer.from(text, 'base64').toString('latin1'))

/** Body of a range request. */
export const RANGE = zod.object({ key: BYTES, range_end: BYTES })

const COMPARE = zod.object({
  key: BYTES,
  target: zod.enum(['VERSION', 'CREATE', 'MOD']).default('VERSION'),
  result: zod.enum(['EQUAL', 'GREATER', 'LESS', 'NOT_EQUAL']).default('EQUAL'),
  version: INTEGER,
  create_revision: INTEGER,
  mod_revision: INTEGER
}).transform((compare): keyValueStore.Compare => {
  const operands = { VERSION: compare.version, CREATE: compare.create_revision, MOD: compare.mod_revision }
  return { key: compare.key, target: compare.target, result: compare.result, operand: operands[compare.target] }
})

const OPERATION = zod.union([
  zod.object({ request_put: zod.object({ key: BYTES, value: BYTES, lease: INTEGER }) })
    .transform(({ request_put: put }): keyValueStore.Operation => ({ kind: 'put', ...put })),
  zod.object({ request_delete_range: RANGE })
    .transform(({ request_delete_range: range }): keyValueStore.Operation => ({ kind: 'delete', key: range.key, rangeEnd: range.range_end })),
  zod.object({ request_range: RANGE })
    .transform(({ request_range: range }): keyValueStore.Operation => ({ kind: 'range', key: range.key, rangeEnd: range.range_end }))
])

/** Body of a transaction. */
export const TRANSACTION = zod.object({
  compare: zod.array(COMPARE).default([]),
  success: zod.array(OPERATION).default([]),
  failure: zod.array(OPERATION).default([])
})

/** Body of a lease grant. */
export const LEASE_GRANT = zod.object({ TTL: INTEGER })

/** Body of a lease renewal or revocation. */
export const LEASE = zod.object({ ID: INTEGER })

/** Body of a compaction. */
export const COMPACTION = zod.object({ revision: INTEGER })

/** Body of a watch request. */
export const WATCH = zod.object({ create_request: zod.object({ key: BYTES, range_end: BYTES, start_revision: INTEGER }) })

/** A JSON object of the gateway. */
export type Message = Readonly<Record<string, unknown>>

/**
 * Encodes a byte string as base64.
 *
 * @example
 * ```ts
 * encode('foo') // 'Zm9v'
 * ```
 */
export function encode (bytes: string): string {
  return Buffer.from(bytes, 'latin1').toString('base64')
}

// The gateway omits fields that have the zero value of their type.
function withoutZeros (message: Message): Message {
  return Object.fromEntries(Object.entries(message).filter(([, value]) => value !== '0' && value !== '' && value !== false))
}

/**
 * Returns the header of a response.
 *
 * @example
 * ```ts
 * header(7) // { cluster_id: '1', member_id: '1', revision: '7', raft_term: '1' }
 * ```
 */
export function header (revision: number): Message {
  return { cluster_id: '1', member_id: '1', revision: String(revision), raft_term: '1' }
}

/**
 * Formats a pair as the gateway does.
 *
 * @example
 * ```ts
 * pair({ key: 'a', value: '1', createRevision: 2, modRevision: 2, version: 1, lease: 0 })
 * ```
 */
export function pair (stored: keyValueStore.Pair): Message {
  return withoutZeros({
    key: encode(stored.key),
    value: encode(stored.value),
    create_revision: String(stored.createRevision),
    mod_revision: String(stored.modRevision),
    version: String(stored.version),
    lease: String(stored.lease)
  })
}

/**
 * Formats pairs with their count; empty when there are none.
 *
 * @example
 * ```ts
 * pairs([]) // {}
 * ```
 */
export function pairs (found: readonly keyValueStore.Pair[]): Message {
  return found.length === 0 ? {} : { kvs: found.map(pair), count: String(found.length) }
}

function operationResult (result: keyValueStore.OperationResult, revision: number): Message {
  if (result.kind === 'put') return { response_put: { header: header(revision) } }
  if (result.kind === 'delete') return { response_delete_range: withoutZeros({ header: header(revision), deleted: String(result.pairs.length) }) }
  return { response_range: { header: header(revision), ...pairs(result.pairs) } }
}

/**
 * Returns the response to a transaction.
 *
 * @example
 * ```ts
 * transaction({ succeeded: true, results: [] }, 7)
 * ```
 */
export function transaction (result: Exclude<keyValueStore.TransactionResult, string>, revision: number): Message {
  const responses = result.results.map((operation) => operationResult(operation, revision))
  return withoutZeros({ header: header(revision), succeeded: result.succeeded, responses })
}

/**
 * Returns one message of a watch.
 *
 * @example
 * ```ts
 * watchEvents([{ type: 'PUT', pair }], 7)
 * ```
 */
export function watchEvents (events: readonly keyValueStore.Event[], revision: number): Message {
  const list = events.map((event) => ({ ...(event.type === 'DELETE' ? { type: 'DELETE' } : {}), kv: pair(event.pair) }))
  return { result: { header: header(revision), events: list } }
}
