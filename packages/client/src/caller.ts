/**
 * Sends requests to persimmonhatch: selects the daemon, fails over, and resends without running a request twice.
 *
 * @module
 */
import * as crypto from 'node:crypto'
import * as protocol from '@persimmonhatch/protocol'
import * as neverthrow from 'neverthrow'
import * as addressBook from './address-book.js'
import type * as answers from './answer.js'
import * as attempts from './attempts.js'
import type * as errors from './errors.js'
import * as exchanges from './exchange.js'

/** Options of a caller. */
export interface Options {
  /** Daemons to query for the addresses to use; any daemon can answer. */
  readonly daemons: readonly protocol.Address[]
  readonly availabilityZone?: string
  readonly organisation?: string
  readonly clock?: protocol.Clock
  /** Returns a nonce that is never reused: 1 to 40 letters, digits, `-` and `_`, not starting with `_`. */
  readonly nonce?: () => string
}

/** Request to a service. */
export interface Request {
  readonly service: string
  readonly method: string
  /** Path within the service, such as `/v1/chat/completions`. */
  readonly path: string
  readonly body?: string
  readonly contentType?: string
  readonly tier?: string
  readonly deadlineMs: number
}

/** Sends requests. */
export interface Caller {
  readonly request: (request: Request) => neverthrow.ResultAsync<answers.Answer, errors.Failure>
  /** Closes the connections after the requests in progress have ended. */
  readonly close: () => Promise<void>
}

const NONCE_BYTES = 12

function randomNonce (): string {
  return crypto.randomBytes(NONCE_BYTES).toString('hex')
}

function createHeaders (request: Request, organisation: string | undefined): Readonly<Record<string, string>> {
  return {
    ...(request.body === undefined ? {} : { 'content-type': request.contentType ?? 'application/json' }),
    ...(organisation === undefined ? {} : { [protocol.HEADERS.organisation]: organisation }),
    ...(request.tier === undefined ? {} : { [protocol.HEADERS.tier]: request.tier })
  }
}

/**
 * Creates a caller.
 *
 * @example
 * ```ts
 * const caller = createCaller({ daemons: ['10.0.0.7:7400'], availabilityZone: 'south-1', organisation: 'mill' })
 * const answer = await caller.request({ service: 'stock', method: 'POST', path: '/reservations', body, deadlineMs: 5_000 })
 * ```
 */
export function createCaller (options: Options): Caller {
  const clock = options.clock ?? (() => performance.now())
  const { exchange, close } = exchanges.createExchange()
  const book = addressBook.createAddressBook({
    daemons: options.daemons, availabilityZone: options.availabilityZone, clock, exchange
  })

  function request (callerRequest: Request): neverthrow.ResultAsync<answers.Answer, errors.Failure> {
    const outcome = attempts.sendWithFailover({
      service: callerRequest.service,
      method: callerRequest.method,
      path: `/s/${encodeURIComponent(callerRequest.service)}${callerRequest.path}`,
      headers: createHeaders(callerRequest, options.organisation),
      body: callerRequest.body,
      deadlineMs: clock() + callerRequest.deadlineMs
    }, { book, exchange, clock, createNonce: options.nonce ?? randomNonce })
    return new neverthrow.ResultAsync(outcome)
  }

  return { request, close }
}
