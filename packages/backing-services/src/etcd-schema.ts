/**
 * Answers of the etcd v3 JSON gateway. It leaves out fields that hold their type's zero value, and
 * writes 64-bit numbers as strings.
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

/** Answer to a range. */
export const RANGE = zod.object({ header: HEADER, kvs: PAIRS })

/** Answer to a transaction whose failure branch reads the key. */
export const TRANSACTION = zod.object({
  header: HEADER,
  succeeded: zod.boolean().default(false),
  responses: zod.array(zod.object({ response_range: zod.object({ kvs: PAIRS }).optional() })).default([])
})

/** Answer to a lease's grant. */
export const LEASE_GRANT = zod.object({ ID: zod.string().regex(/^\d+$/) })

/** Answer to a lease's renewal; the time to live is left out when the lease has lapsed. */
export const LEASE_RENEWAL = zod.object({ result: zod.object({ TTL: INTEGER }) })

/** Answer whose content does not matter. */
export const EMPTY = zod.object({})

/** One message of a watch. */
export const WATCH_MESSAGE = zod.object({
  result: zod.object({
    header: HEADER,
    canceled: zod.boolean().default(false),
    compact_revision: INTEGER,
    cancel_reason: zod.string().default(''),
    events: zod.array(zod.object({ type: zod.enum(['PUT', 'DELETE']).default('PUT'), kv: PAIR })).default([])
  })
})

/** Changes and end of a watch, read from one message. */
export type WatchMessage = zod.infer<typeof WATCH_MESSAGE>['result']

/**
 * Encodes text for the gateway.
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
 * Decodes text of the gateway.
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
 * The encoded end of the range that holds all keys under a prefix: the prefix with its last byte raised.
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
 * Turns a stored pair into the port's form.
 *
 * @example
 * ```ts
 * toEntry({ key: 'a', value: '1', mod_revision: 4 }) // { key: 'a', value: '1', modRevision: 4 }
 * ```
 */
export function toEntry (pair: zod.infer<typeof PAIR>): keyValue.Entry {
  return { key: pair.key, value: pair.value, modRevision: pair.mod_revision }
}
