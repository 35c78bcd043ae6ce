/**
 * Sends a JSON call over HTTP and classifies its failures.
 *
 * @module
 */
import * as neverthrow from 'neverthrow'
import * as undici from 'undici'
import * as zod from 'zod'
import * as httpClient from './http-client.js'
import * as keyValue from './key-value.js'

const TOO_MANY_REQUESTS = 429
const GRPC_NOT_FOUND = 5
const GRPC_RESOURCE_EXHAUSTED = 8
const GRPC_OUT_OF_RANGE = 11
const MIN_SERVER_ERROR = 500
const MAX_ERROR_CHARS = 200

/** Effect of a call. A `write` must not be retried when it may have taken effect. */
export type Effect = 'read' | 'write'

/** Creates a signal that aborts after a timeout. */
export type TimeoutSignal = (timeoutMs: number) => AbortSignal

/** JSON call. */
export interface Call<Value> {
  readonly client: undici.Dispatcher
  readonly url: string
  /** Body of a POST request. Without a body, the call is a GET request. */
  readonly body?: unknown
  readonly effect: Effect
  readonly timeoutMs: number
  /** Creates the signal that ends the call at its timeout. Defaults to `AbortSignal.timeout`. */
  readonly timeoutSignal?: TimeoutSignal | undefined
  readonly schema: zod.ZodType<Value>
}

const ERROR_SCHEMA = zod.object({ code: zod.number().optional(), message: zod.string().optional() })

// A stream wraps its error in another object.
const STREAM_ERROR_SCHEMA = zod.object({ error: ERROR_SCHEMA }).transform((wrapped) => wrapped.error)
const ANY_ERROR_SCHEMA = zod.union([STREAM_ERROR_SCHEMA, ERROR_SCHEMA])

/** Returns the failure of a call that may have been sent. */
function failureAfterSending (effect: Effect, url: string, detail: string): keyValue.PlatformFailure {
  if (effect === 'read') return new keyValue.PlatformFailure('unavailable', `No response from ${url}: ${detail}. Check the platform's service; reads are retried after a back-off.`)
  return new keyValue.PlatformFailure('unanswered', `No response from ${url}: ${detail}. The write may have taken effect: read the key back before writing again.`)
}

function failureBeforeSending (url: string, detail: string): keyValue.PlatformFailure {
  return new keyValue.PlatformFailure('unavailable', `No connection to ${url}: ${detail}. Check the platform's address in the settings and that its service is running.`)
}

/** Converts an error response to a failure by its status and gRPC code. */
export function toFailure (effect: Effect, url: string, status: number, text: string): keyValue.PlatformFailure {
  const parsed = ANY_ERROR_SCHEMA.safeParse(parseJson(text).unwrapOr(undefined))
  const code = parsed.success ? parsed.data.code : undefined
  const detail = `status ${status}, ${(parsed.success ? parsed.data.message : undefined) ?? text.slice(0, MAX_ERROR_CHARS)}`
  if (status === TOO_MANY_REQUESTS || code === GRPC_RESOURCE_EXHAUSTED) return new keyValue.PlatformFailure('over-limit', `${url} refused the call because its call limit is spent: ${detail}. Send fewer calls, or retry after a back-off.`)
  if (code === GRPC_OUT_OF_RANGE) return new keyValue.PlatformFailure('compacted', `${url} no longer holds that revision: ${detail}. List the prefix again.`)
  if (code === GRPC_NOT_FOUND) return new keyValue.PlatformFailure('unavailable', `${url} did not execute the call: ${detail}. Grant a new lease.`)
  if (status >= MIN_SERVER_ERROR) return failureAfterSending(effect, url, detail)
  return new keyValue.PlatformFailure('malformed', `${url} rejected the call: ${detail}. Check that the address is the platform's service; redirects are not followed.`)
}

/**
 * Parses JSON.
 *
 * @example
 * ```ts
 * parseJson('{"vms":[]}').isOk() // true
 * ```
 */
export function parseJson (text: string): neverthrow.Result<unknown, Error> {
  return neverthrow.fromThrowable(JSON.parse as (text: string) => unknown, (error) => error as Error)(text)
}

function parseResponse<Value> (call: Call<Value>, text: string): neverthrow.Result<Value, keyValue.PlatformFailure> {
  const parsed = call.schema.safeParse(parseJson(text).unwrapOr(undefined))
  if (parsed.success) return neverthrow.ok(parsed.data)
  return neverthrow.err(new keyValue.PlatformFailure('malformed', `${call.url} sent an invalid response: ${text.slice(0, MAX_ERROR_CHARS)}. Check that the address is the platform's service. A write may have taken effect: read it back.`))
}

interface RawResponse {
  readonly status: number
  readonly text: string
}

async function send<Value> (call: Call<Value>, onDispatch: () => void): Promise<RawResponse> {
  const requestOptions = call.body === undefined ? { method: 'GET' as const } : { method: 'POST' as const, body: JSON.stringify(call.body), headers: { 'content-type': 'application/json' } }
  const response = await undici.request(call.url, {
    ...requestOptions,
    dispatcher: httpClient.withDispatchHook(call.client, onDispatch),
    signal: (call.timeoutSignal ?? AbortSignal.timeout)(call.timeoutMs)
  })
  return { status: response.statusCode, text: await response.body.text() }
}

/**
 * Sends a call once.
 *
 * @example
 * ```ts
 * const result = await jsonCall({ client, url: 'http://10.0.0.9/vms', effect: 'read', timeoutMs: 500, schema })
 * ```
 */
export function jsonCall<Value> (call: Call<Value>): keyValue.PlatformResult<Value> {
  let dispatched = false
  function describeError (error: unknown): keyValue.PlatformFailure {
    const detail = error instanceof Error ? error.message || error.name : String(error)
    return dispatched ? failureAfterSending(call.effect, call.url, detail) : failureBeforeSending(call.url, detail)
  }
  return neverthrow.fromPromise(send(call, () => { dispatched = true }), describeError).andThen((response) => {
    if (response.status !== 200) return neverthrow.err(toFailure(call.effect, call.url, response.status, response.text))
    return parseResponse(call, response.text)
  })
}
