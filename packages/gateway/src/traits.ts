/**
 * Traits of a request that may make it crash its targets.
 *
 * @module
 */
import * as crypto from 'node:crypto'
import type * as routing from '@persimmonhatch/routing'
import type * as admission from './admission.js'

const FINGERPRINT_LENGTH = 10

/** Returns a fingerprint of method, path, organisation and body, equal whenever a caller sends the same content again. */
function fingerprintOf (request: admission.AdmittedRequest, body: Buffer | undefined): string {
  const hash = crypto.createHash('sha1')
  hash.update(`${request.head.method} ${request.head.path} ${request.organisation?.name ?? ''}\n`)
  if (body !== undefined) hash.update(body)
  return hash.digest('base64url').slice(0, FINGERPRINT_LENGTH)
}

/**
 * Returns the traits of a request. The last segment of a prompt belongs to the request or its session alone.
 *
 * @example
 * ```ts
 * const { content, segments } = traitsOf(request, body)
 * ```
 */
export function traitsOf (request: admission.AdmittedRequest, body: Buffer | undefined): routing.crash.Traits {
  return { content: fingerprintOf(request, body), segments: [...new Set(request.promptSegments.slice(0, -1))] }
}
