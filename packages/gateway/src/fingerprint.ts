/**
 * Fingerprints of request contents, equal whenever a caller sends the same content again.
 *
 * @module
 */
import * as crypto from 'node:crypto'
import type * as admission from './admission.js'

const FINGERPRINT_LENGTH = 16

/**
 * Returns the fingerprint of a request's method, path, organisation and body.
 *
 * @example
 * ```ts
 * const content = fingerprintOf(request, body)
 * ```
 */
export function fingerprintOf (request: admission.AdmittedRequest, body: Buffer | undefined): string {
  const hash = crypto.createHash('sha1')
  hash.update(`${request.head.method} ${request.head.path} ${request.organisation?.name ?? ''}\n`)
  if (body !== undefined) hash.update(body)
  return hash.digest('base64url').slice(0, FINGERPRINT_LENGTH)
}
