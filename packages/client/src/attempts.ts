/**
 * The attempts that one request takes.
 *
 * A request changes its identity only while it is certain that nothing was run under the one before: the
 * connection never stood, or the owner of the identity refused it as not run.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as neverthrow from 'neverthrow'
import type * as addressBook from './address-book.js'
import * as answers from './answer.js'
import * as errors from './errors.js'
import type * as exchanges from './exchange.js'

/** A request, ready to be sent to any daemon. */
export interface Work {
  readonly service: string
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: string | undefined
  /** On the caller's clock. */
  readonly deadlineMs: number
}

/** What attempts need. */
export interface Tools {
  readonly book: addressBook.AddressBook
  readonly exchange: exchanges.Exchange
  readonly clock: protocol.Clock
  readonly nonce: () => string
}

/** How the attempts under one identity ended. `unsent`: nothing was run, so the next route may be tried. */
type Ending =
  | { readonly kind: 'done', readonly result: neverthrow.Result<answers.Answer, errors.Failure> }
  | { readonly kind: 'unsent', readonly failure: errors.Failure }

type Step =
  | { readonly kind: 'reading', readonly reading: answers.Reading }
  | { readonly kind: 'breakage', readonly breakage: exchanges.Breakage }

/** Refusals that another daemon may not repeat. */
const REASONS_TO_FAIL_OVER: ReadonlySet<string> = new Set(['draining', 'no-authority'])

/** Times that a request whose connection broke is sent again to the owner of its identity. */
const MAX_RESENDS = 2

async function send (work: Work, tools: Tools, address: protocol.Address, identity: string): Promise<Step> {
  const timeoutMs = work.deadlineMs - tools.clock()
  if (timeoutMs <= 0) return { kind: 'breakage', breakage: { sent: false, detail: 'the deadline is over' } }
  const headers = { ...work.headers, 'idempotency-key': identity, 'x-persimmonhatch-deadline-ms': String(Math.ceil(timeoutMs)) }
  const reply = await tools.exchange({ address, method: work.method, path: work.path, headers, body: work.body, timeoutMs })
  if (reply.isErr()) return { kind: 'breakage', breakage: reply.error }
  return { kind: 'reading', reading: await answers.readReply(reply.value, identity) }
}

function fail (failure: errors.Failure): Ending {
  return { kind: 'done', result: neverthrow.err(failure) }
}

// A later process may listen at the owner's address. Refusals of a resend that it gives without a look at the
// identity, or because it is shutting down, say nothing about what the owner ran.
function endRefused (identity: string, refusal: errors.Refusal, mayHaveRun: boolean): Ending {
  const isBlind = mayHaveRun && (refusal.reason === 'draining' || refusal.identity !== identity)
  if (isBlind || refusal.execution === 'unknown') return fail(new errors.UnknownOutcome(identity, refusal.message))
  if (refusal.reason === 'answer-incomplete') return fail(new errors.IncompleteAnswer(identity, refusal.message))
  const failure = new errors.RefusedRequest(identity, refusal)
  return refusal.execution === 'not-run' && REASONS_TO_FAIL_OVER.has(refusal.reason) ? { kind: 'unsent', failure } : fail(failure)
}

// Only the owner of an identity knows that it was not run.
function readElsewhere (identity: string, reading: answers.Reading, detail: string): Ending {
  if (reading.kind === 'answer') return { kind: 'done', result: neverthrow.ok(reading.answer) }
  return fail(new errors.UnknownOutcome(identity, reading.kind === 'refusal' ? reading.refusal.message : `${detail}.`))
}

// The connection broke after the request may have been sent, and the owner can't be reached: another daemon
// knows whether the owner is gone, or where it is.
async function askElsewhere (work: Work, tools: Tools, others: readonly addressBook.Route[], identity: string, detail: string): Promise<Ending> {
  for (const other of others) {
    const step = await send(work, tools, other.address, identity)
    if (step.kind === 'breakage') continue
    if (step.reading.kind !== 'other-address') return readElsewhere(identity, step.reading, detail)
    const moved = await send(work, tools, step.reading.address, identity)
    if (moved.kind === 'reading') return readElsewhere(identity, moved.reading, detail)
  }
  return fail(new errors.UnknownOutcome(identity, `The connection broke after the request was sent: ${detail}.`))
}

async function performUnder (work: Work, tools: Tools, route: addressBook.Route, others: readonly addressBook.Route[], identity: string): Promise<Ending> {
  let address = route.address
  let hasMoved = false
  let mayHaveRun = false
  let detail = ''
  for (let sends = 0; sends <= MAX_RESENDS; sends++) {
    const step = await send(work, tools, address, identity)
    if (step.kind === 'breakage') {
      detail = step.breakage.detail
      mayHaveRun ||= step.breakage.sent
      if (!step.breakage.sent) break
      continue
    }
    const { reading } = step
    if (reading.kind === 'answer') return { kind: 'done', result: neverthrow.ok(reading.answer) }
    if (reading.kind === 'refusal') return endRefused(identity, reading.refusal, mayHaveRun)
    if (reading.kind === 'broken') {
      mayHaveRun = true
      detail = reading.detail
    } else if (hasMoved) {
      return fail(new errors.UnknownOutcome(identity, 'Two daemons sent the request on to each other.'))
    } else {
      hasMoved = true
      address = reading.address
    }
  }
  if (mayHaveRun) return askElsewhere(work, tools, others, identity, detail)
  return { kind: 'unsent', failure: new errors.UnreachableDaemons([address], detail) }
}

/**
 * Sends a request, along the routes in their order, until it is answered or must not be sent again.
 *
 * @example
 * ```ts
 * const result = await perform(work, { book, exchange, clock, nonce })
 * ```
 */
export async function perform (work: Work, tools: Tools): Promise<neverthrow.Result<answers.Answer, errors.Failure>> {
  const routes = await tools.book.routes(work.service)
  if (routes.isErr()) return neverthrow.err(routes.error)
  let failure: errors.Failure = new errors.UnreachableDaemons([], 'no address was given')
  for (const [index, route] of routes.value.entries()) {
    const others = [...routes.value.slice(index + 1), ...routes.value.slice(0, index)]
    const ending = await performUnder(work, tools, route, others, `${route.identityPrefix}${tools.nonce()}`)
    if (ending.kind === 'done') return ending.result
    tools.book.expire(work.service)
    failure = ending.failure
  }
  return neverthrow.err(failure)
}
