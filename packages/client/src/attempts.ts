/**
 * Sends one request, with resends and failover.
 *
 * A request gets a new identity only while it is certain that nothing was run under the previous one: no
 * connection was established, or the owner of the identity refused the request as not run.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as neverthrow from 'neverthrow'
import type * as addressBook from './address-book.js'
import * as answers from './answer.js'
import * as errors from './errors.js'
import type * as exchanges from './exchange.js'

/** Request that is ready to be sent to any daemon. */
export interface PreparedRequest {
  readonly service: string
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: string | undefined
  /** Moment on the caller's clock. */
  readonly deadlineMs: number
}

/** Dependencies of the attempts. */
export interface Dependencies {
  readonly book: addressBook.AddressBook
  readonly exchange: exchanges.Exchange
  readonly clock: protocol.Clock
  readonly createNonce: () => string
}

/** Outcome of the attempts under one identity. `not-run`: nothing was run, so the next route may be tried. */
type AttemptOutcome =
  | { readonly kind: 'done', readonly result: neverthrow.Result<answers.Answer, errors.Failure> }
  | { readonly kind: 'not-run', readonly failure: errors.Failure }

type SendResult =
  | { readonly kind: 'response', readonly interpretation: answers.Reading }
  | { readonly kind: 'failure', readonly failure: exchanges.ExchangeFailure }

/** Reasons for which another daemon may accept a refused request. */
const FAILOVER_REASONS: ReadonlySet<string> = new Set(['draining', 'no-authority'])

/** Maximum resends of a request to the owner of its identity after its connection broke. */
const MAX_RESENDS = 2

async function sendOnce (request: PreparedRequest, dependencies: Dependencies, address: protocol.Address, identity: string): Promise<SendResult> {
  const timeoutMs = request.deadlineMs - dependencies.clock()
  if (timeoutMs <= 0) return { kind: 'failure', failure: { sent: false, detail: 'the deadline has passed' } }
  const headers = { ...request.headers, 'idempotency-key': identity, 'x-persimmonhatch-deadline-ms': String(Math.ceil(timeoutMs)) }
  const response = await dependencies.exchange({ address, method: request.method, path: request.path, headers, body: request.body, timeoutMs })
  if (response.isErr()) return { kind: 'failure', failure: response.error }
  return { kind: 'response', interpretation: await answers.readReply(response.value, identity) }
}

function toFailedOutcome (failure: errors.Failure): AttemptOutcome {
  return { kind: 'done', result: neverthrow.err(failure) }
}

// A later process may listen at the owner's address. If it refuses a resend without looking up the identity, or
// because it is shutting down, the refusal does not tell whether the owner ran the request.
function toRefusedOutcome (identity: string, refusal: errors.Refusal, mayHaveRun: boolean): AttemptOutcome {
  const isInconclusive = mayHaveRun && (refusal.reason === 'draining' || refusal.identity !== identity)
  if (isInconclusive || refusal.execution === 'unknown') return toFailedOutcome(new errors.UnknownOutcome(identity, refusal.message))
  if (refusal.reason === 'answer-incomplete') return toFailedOutcome(new errors.IncompleteAnswer(identity, refusal.message))
  const failure = new errors.RefusedRequest(identity, refusal)
  return refusal.execution === 'not-run' && FAILOVER_REASONS.has(refusal.reason) ? { kind: 'not-run', failure } : toFailedOutcome(failure)
}

// Only the owner of an identity can tell that the request was not run, so a refusal by another daemon leaves the
// outcome unknown.
function toOutcomeFromOther (identity: string, interpretation: answers.Reading, detail: string): AttemptOutcome {
  if (interpretation.kind === 'answer') return { kind: 'done', result: neverthrow.ok(interpretation.answer) }
  return toFailedOutcome(new errors.UnknownOutcome(identity, interpretation.kind === 'refusal' ? interpretation.refusal.message : `${detail}.`))
}

// The connection broke after the request may have been sent, and the owner is unreachable. Another daemon can tell
// whether the owner is dead, or redirect to its address.
async function sendToOthers (request: PreparedRequest, dependencies: Dependencies, others: readonly addressBook.Route[], identity: string, detail: string): Promise<AttemptOutcome> {
  for (const other of others) {
    const result = await sendOnce(request, dependencies, other.address, identity)
    if (result.kind === 'failure') continue
    if (result.interpretation.kind !== 'other-address') return toOutcomeFromOther(identity, result.interpretation, detail)
    const redirected = await sendOnce(request, dependencies, result.interpretation.address, identity)
    if (redirected.kind === 'response') return toOutcomeFromOther(identity, redirected.interpretation, detail)
  }
  return toFailedOutcome(new errors.UnknownOutcome(identity, `The connection broke after the request was sent: ${detail}.`))
}

async function sendUnderIdentity (request: PreparedRequest, dependencies: Dependencies, route: addressBook.Route, others: readonly addressBook.Route[], identity: string): Promise<AttemptOutcome> {
  let address = route.address
  let isRedirected = false
  let mayHaveRun = false
  let detail = ''
  for (let resends = 0; resends <= MAX_RESENDS; resends++) {
    const result = await sendOnce(request, dependencies, address, identity)
    if (result.kind === 'failure') {
      detail = result.failure.detail
      mayHaveRun ||= result.failure.sent
      if (!result.failure.sent) break
      continue
    }
    const { interpretation } = result
    if (interpretation.kind === 'answer') return { kind: 'done', result: neverthrow.ok(interpretation.answer) }
    if (interpretation.kind === 'refusal') return toRefusedOutcome(identity, interpretation.refusal, mayHaveRun)
    if (interpretation.kind === 'broken') {
      mayHaveRun = true
      detail = interpretation.detail
    } else if (isRedirected) {
      return toFailedOutcome(new errors.UnknownOutcome(identity, 'Two daemons redirected the request to each other.'))
    } else {
      isRedirected = true
      address = interpretation.address
    }
  }
  if (mayHaveRun) return sendToOthers(request, dependencies, others, identity, detail)
  return { kind: 'not-run', failure: new errors.UnreachableDaemons([address], detail) }
}

/**
 * Sends a request along the routes in order, until it gets a response or must not be sent again.
 *
 * @example
 * ```ts
 * const result = await sendWithFailover(request, { book, exchange, clock, createNonce })
 * ```
 */
export async function sendWithFailover (request: PreparedRequest, dependencies: Dependencies): Promise<neverthrow.Result<answers.Answer, errors.Failure>> {
  const routes = await dependencies.book.routes(request.service)
  if (routes.isErr()) return neverthrow.err(routes.error)
  let failure: errors.Failure = new errors.UnreachableDaemons([], 'no address was given')
  for (const [index, route] of routes.value.entries()) {
    const others = [...routes.value.slice(index + 1), ...routes.value.slice(0, index)]
    const outcome = await sendUnderIdentity(request, dependencies, route, others, `${route.identityPrefix}${dependencies.createNonce()}`)
    if (outcome.kind === 'done') return outcome.result
    dependencies.book.expire(request.service)
    failure = outcome.failure
  }
  return neverthrow.err(failure)
}
