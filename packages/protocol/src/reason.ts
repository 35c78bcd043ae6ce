/**
 * All outcomes reported to callers, operators and logs, with their explanations.
 *
 * @module
 */

/** Whether a request was run, as far as the system can tell. */
export type Execution = 'not-run' | 'ran' | 'unknown'

/** Explanation of one kind of outcome for callers and operators. */
export interface Explanation {
  readonly status: number
  readonly execution: Execution
  /** Plain sentence for a non-technical reader. `{name}` is replaced by the figure of that name. */
  readonly text: string
  /** What the caller or the operator can do. */
  readonly remedy: string
}

/** Explanations by message id. The ids are part of the public interface: their meanings never change. */
export const EXPLANATIONS = {
  finished: { status: 200, execution: 'ran', text: 'The request ran to its end on {target} after waiting {waitedMs} ms.', remedy: 'Nothing to do.' },
  'malformed-request': { status: 400, execution: 'not-run', text: 'The request could not be read: {detail}.', remedy: 'Correct the request and send it again.' },
  'identity-required': { status: 400, execution: 'not-run', text: 'This request is non-idempotent and has no identity, so a resend could not be distinguished from a second request.', remedy: 'Request an address and an identity with GET /v1/addresses, and send the identity in the idempotency-key header.' },
  'identity-malformed': { status: 400, execution: 'not-run', text: 'The identity in the idempotency-key header was not issued by this system.', remedy: 'Request an identity with GET /v1/addresses.' },
  'unknown-service': { status: 404, execution: 'not-run', text: 'No service named {service} is in force.', remedy: 'Check the name with: persimmonhatch show.' },
  'unknown-organisation': { status: 403, execution: 'not-run', text: 'The service {service} does not list the organisation {organisation}.', remedy: 'Set the x-persimmonhatch-organisation header to an organisation listed in the service document, or have this organisation added to the document.' },
  'unknown-tier': { status: 400, execution: 'not-run', text: 'The service {service} has no tier named {tier}.', remedy: 'Set the x-persimmonhatch-tier header to a tier of the service document, or omit the header.' },
  'unsupported-transfer': { status: 411, execution: 'not-run', text: 'The request body was not received completely.', remedy: 'Send the complete body.' },
  'body-too-large': { status: 413, execution: 'not-run', text: 'The body is larger than {limitBytes} bytes.', remedy: 'Send a smaller body, or have limits.bodyBytes raised in the daemon settings.' },
  'identity-reused': { status: 422, execution: 'not-run', text: 'The identity was used before for a different request.', remedy: 'Use a fresh identity for each request.' },
  'identity-expired': { status: 410, execution: 'unknown', text: 'The identity is older than {retentionS} s, the time for which outcomes are kept. This resend did not run the request.', remedy: 'Check whether the earlier request took effect before sending a new one.' },
  'outcome-unknown': { status: 409, execution: 'unknown', text: 'The daemon that owned this request has stopped or cannot be reached. The request is not run again.', remedy: 'Check whether the request took effect before sending it under a new identity.' },
  'answer-not-held': { status: 409, execution: 'ran', text: 'The request ran, but its response is no longer stored. The request is not run again.', remedy: 'Read the result from the service, or send a new request under a new identity.' },
  'other-address': { status: 307, execution: 'not-run', text: 'Another daemon owns this identity.', remedy: 'Send the request to the address in the location header.' },
  shed: { status: 503, execution: 'not-run', text: 'There was not enough capacity: {ahead} requests of the same or a higher tier were ahead. The expected wait was {expectedWaitMs} ms, the limit {maxWaitMs} ms.', remedy: 'Retry after the time in the retry-after header, under a new identity.' },
  'daemon-full': { status: 503, execution: 'not-run', text: 'This daemon had {requestLimit} requests waiting or running, which is its limit.', remedy: 'Retry after the time in the retry-after header, at another address and under a new identity; operators: see the setting limits.requests.' },
  'deadline-unreachable': { status: 504, execution: 'not-run', text: 'The deadline of {deadlineMs} ms could not be met: the request needed about {expectedMs} ms.', remedy: 'Allow more time, or retry after the time in the retry-after header, under a new identity.' },
  'no-target': { status: 503, execution: 'not-run', text: 'No target of the service {service} accepts new requests at present.', remedy: 'Retry after the time in the retry-after header, under a new identity; operators: run persimmonhatch status.' },
  'no-authority': { status: 503, execution: 'not-run', text: 'No daemon that places requests for this service could be reached.', remedy: 'Retry after the time in the retry-after header, at another address and under a new identity.' },
  draining: { status: 503, execution: 'not-run', text: 'This daemon is shutting down and accepts no new requests.', remedy: 'Send the request to another address under a new identity; the response lists some addresses.' },
  'caller-gone': { status: 499, execution: 'not-run', text: 'The caller disconnected before the request was placed on a target.', remedy: 'Send it again under a new identity if it is still wanted.' },
  'caller-gone-dispatched': { status: 499, execution: 'unknown', text: 'The caller disconnected after the request was sent to {target}; the request was cancelled there.', remedy: 'Check whether the request took effect before sending a new one.' },
  'suspect-refused': { status: 422, execution: 'not-run', text: 'Requests with this content have crashed {crashes} targets, so they are refused for {remainingS} s.', remedy: 'Change the request; operators: investigate the crashes on the named targets.' },
  preempted: { status: 503, execution: 'ran', text: 'The request was stopped on {target} to make room for a higher tier. Part of it had run.', remedy: 'Retry after the time in the retry-after header, under a new identity.' },
  'target-unreachable': { status: 503, execution: 'not-run', text: 'The target {target} refused the connection before anything was sent.', remedy: 'Retry after the time in the retry-after header, under a new identity.' },
  'target-failed': { status: 502, execution: 'unknown', text: 'The target {target} failed after the request was sent to it: {detail}.', remedy: 'Check whether the request took effect before sending a new one.' },
  'answer-incomplete': { status: 502, execution: 'ran', text: 'The response of {target} ended before it was complete.', remedy: 'Discard what was received and send a new request.' }
} as const satisfies Readonly<Record<string, Explanation>>

/** Message id of an outcome. */
export type Reason = keyof typeof EXPLANATIONS

/** Values for the placeholders in the explanation of one outcome. */
export type Figures = Readonly<Record<string, string | number>>

function formatFigure (figure: string | number | undefined): string {
  if (figure === undefined) return 'unknown'
  return typeof figure === 'number' ? String(Math.round(figure)) : figure
}

/**
 * Returns the explanation of an outcome with its figures filled in.
 *
 * @example
 * ```ts
 * explain('unknown-service', { service: 'listings' })
 * // 'No service named listings is in force.'
 * ```
 */
export function explain (reason: Reason, figures: Figures): string {
  return EXPLANATIONS[reason].text.replace(/\{(\w+)\}/g, (_, name: string) => formatFigure(figures[name]))
}
