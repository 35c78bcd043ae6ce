/**
 * Responses of the gateway itself.
 *
 * @module
 */

/** Why the gateway responds instead of a target. */
export type Reason =
  | 'malformed' | 'head-timed-out' | 'no-document' | 'unknown-route' | 'unknown-key' | 'headers-too-large' | 'body-too-large' | 'no-room'
  | 'over-cap' | 'overloaded' | 'paused' | 'no-target' | 'version-gone' | 'unknown-stream' | 'suspect' | 'stopping'
  | 'rejected' | 'unreachable' | 'failed' | 'broken' | 'timed-out-unsent' | 'timed-out'

interface RefusalTemplate {
  readonly status: number
  readonly message: string
  readonly remedy: string
}

/** Status codes 429 and 503 mean that the request has not run and never will. */
const TEMPLATES: Readonly<Record<Reason, RefusalTemplate>> = {
  malformed: { status: 400, message: 'The request could not be parsed.', remedy: 'Send it as HTTP/1.1 describes, on a new connection.' },
  'head-timed-out': { status: 408, message: 'The head of the request did not arrive in time.', remedy: 'Send the request again on a new connection.' },
  'no-document': { status: 503, message: 'This daemon has no routing document yet.', remedy: 'Retry after the time in Retry-After, or use another address.' },
  'unknown-route': { status: 404, message: 'No route matches this host and path.', remedy: 'Check the host and the path against the routing document.' },
  'unknown-key': { status: 401, message: 'No organisation holds this key.', remedy: 'Send a key of the routing document.' },
  'headers-too-large': { status: 431, message: 'The headers are larger than allowed.', remedy: 'Send fewer or shorter headers.' },
  'body-too-large': { status: 413, message: 'The body is larger than allowed.', remedy: 'Send a shorter body.' },
  'no-room': { status: 503, message: 'The bodies of the requests in progress take all memory that this daemon has for them.', remedy: 'Retry after the time in Retry-After, or use another address.' },
  'over-cap': { status: 429, message: 'The organisation has used up its token cap.', remedy: 'Retry after the time in Retry-After, or request a higher cap.' },
  overloaded: { status: 503, message: 'More requests are waiting than can be served in time.', remedy: 'Retry after the time in Retry-After.' },
  paused: { status: 503, message: 'All targets of the service have asked for a pause.', remedy: 'Retry after the time in Retry-After.' },
  'no-target': { status: 503, message: 'No target of the service is available.', remedy: 'Retry after the time in Retry-After; check that targets are registered.' },
  'version-gone': { status: 503, message: 'No target of the software version that began this stream is available.', remedy: 'Send the request again without the id of the last event, to begin a new stream.' },
  'unknown-stream': { status: 503, message: 'No daemon knows which software version began this stream.', remedy: 'Send the request again without the id of the last event, to begin a new stream.' },
  suspect: { status: 503, message: 'Requests with this content, or with a segment of its prompt, have crashed several targets.', remedy: 'Change the content; it is refused for a while.' },
  stopping: { status: 503, message: 'This daemon is stopping.', remedy: 'Use another address.' },
  rejected: { status: 503, message: 'The target had no free slot and has not run the request.', remedy: 'Retry after the time in Retry-After.' },
  unreachable: { status: 503, message: 'No target was reachable; nothing was sent.', remedy: 'Retry after the time in Retry-After.' },
  failed: { status: 503, message: 'This daemon failed before it sent the request.', remedy: 'Retry after the time in Retry-After, or use another address; the log names the error.' },
  broken: { status: 502, message: 'The exchange with the target failed; the request may have run.', remedy: 'Check whether the request has run before sending it again.' },
  'timed-out-unsent': { status: 503, message: 'The deadline passed before a target was free; nothing was sent.', remedy: 'Retry after the time in Retry-After.' },
  'timed-out': { status: 504, message: 'The deadline passed while a target was processing the request; it may have run.', remedy: 'Check whether the request has run before sending it again.' }
}

const MS_PER_S = 1_000

/** Time after which callers of a stopping daemon may use another one, ms. */
export const STOPPING_RETRY_MS = 100

/** A response of the gateway. */
export interface Refusal {
  readonly status: number
  readonly headers: readonly string[]
  readonly body: Buffer
}

/**
 * Returns the response for a reason.
 *
 * @example
 * ```ts
 * const { status, headers, body } = refusalOf('overloaded', 800)
 * ```
 */
export function refusalOf (reason: Reason, retryAfterMs?: number): Refusal {
  const { status, message, remedy } = TEMPLATES[reason]
  const body = Buffer.from(JSON.stringify({ error: { reason, message, remedy } }))
  const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)]
  if (retryAfterMs !== undefined) headers.push('Retry-After', (retryAfterMs / MS_PER_S).toFixed(2))
  return { status, headers, body }
}
