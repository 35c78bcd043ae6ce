/**
 * Schemas of the responses of the etcd v3 JSON gateway, which omits fields with their type's zero value
 * and encodes 64-bit numbers as strings.
 *
 * @module
 */
import * as zod from 'zod'
import type * as keyValue from './key-value.js'

const INTEGER = zod.union([zod.string().regex(/^\d+$/), zod.number()]).default('0').transform(Number)
const BYTES = zod.string().default('').transform(decodeBytes)
const HEADER = zod.object({ revision: INTEGER })
const PAIR = zod.object({ key: BYTES, value: BYTES, mod_revision: INTEGER })
const PAIRS = zod.array(PAIR).default([])

/** Response to a range request. */
export const RANGE = zod.object({ header: HEADER, kvs: PAIRS })

/** Response to a transaction whose failure branch reads the key. */
export const TRANSACTION = zod.object({
  header: HEADER,
  succeeded: zod.boolean().default(false),
  responses: zod.array(zod.object({ response_range: zod.object({ kvs: PAIRS }).optional() })).default([])
})

/** Response to granting a lease. */
export const LEASE_GRANT = zod.object({ ID: zod.string().regex(/^\d+$/) })

/** Response to renewing a lease. The time to live is omitted when the lease has expired. */
export const LEASE_RENEWAL = zod.object({ result: zod.object({ TTL: INTEGER }) })

/** Response whose content is not used. */
export const EMPTY = zod.object({})

/** Message of a watch stream. */
export const WATCH_MESSAGE = zod.object({
  result: zod.object({
    header: HEADER,
    canceled: zod.boolean().default(false),
    compact_revision: INTEGER,
    cancel_reason: zod.string().default(''),
    events: zod.array(zod.object({ type: zod.enum(['PUT', 'DELETE']).default('PUT'), kv: PAIR })).default([])
  })
})

/** Content of a message of a watch stream: changes, cancellation or compaction. */
export type WatchMessage = zod.infer<typeof WATCH_MESSAGE>['result']

/**
 * Encodes text as base64 for the gateway.
 *
 * @example
 * ```ts
 * encodeBytes('foo') // 'Zm9v'
 * ```
 */
export function encodeBytes (text: string): string {
  return Buffer.from(text).toString('base64')
}

/**
 * Decodes base64 text from the gateway.
 *
 * @example
 * ```ts
 * decodeBytes('Zm9v') // 'foo'
 * ```
 */
export function decodeBytes (text: string): string {
  return Buffer.from(text, 'base64').toString()
}

/**
 * Returns the encoded end of the range of all keys with a prefix: the prefix with its last byte incremented.
 *
 * @example
 * ```ts
 * prefixEnd('a/') // base64 of 'a0'
 * ```
 */
export function prefixEnd (prefix: string): string {
  const bytes = Buffer.from(prefix)
  let length = bytes.length
  while (length > 0 && bytes[length - 1] === 0xff) length -= 1
  if (length === 0) return Buffer.from([0]).toString('base64')
  const end = Buffer.from(bytes.subarray(0, length))
  end.writeUInt8(end.readUInt8(length - 1) + 1, length - 1)
  return end.toString('base64')
}

/**
 * Converts a stored pair to an entry.
 *
 * @example
 * ```ts
 * toEntry({ key: 'a', value: '1', mod_revision: 4 }) // { key: 'a', value: '1', modRevision: 4 }
 * ```
 */
export function toEntry (pair: zod.infer<typeof PAIR>): keyValue.Entry {
  return { key: pair.key, value: pair.value, modRevision: pair.mod_revision }
}
