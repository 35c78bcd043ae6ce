/**
 * Responses as callers receive them, and the interpretation of daemons' HTTP responses.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'
import type * as neverthrow from 'neverthrow'
import * as bodies from './bodies.js'
import type * as errors from './errors.js'
import type * as exchanges from './exchange.js'

/** Response of the target. The last event of a stream is an error if the stream ended without its end marker. */
export type Answer =
  | { readonly kind: 'whole', readonly identity: string, readonly status: number, readonly headers: Readonly<Record<string, string>>, readonly text: string }
  | {
    readonly kind: 'stream'
    readonly identity: string
    readonly status: number
    readonly headers: Readonly<Record<string, string>>
    readonly events: AsyncIterable<neverthrow.Result<string, errors.IncompleteAnswer>>
  }

/** Interpretation of a daemon's response. `broken`: the body ended early. */
export type Reading =
  | { readonly kind: 'answer', readonly answer: Answer }
  | { readonly kind: 'refusal', readonly refusal: errors.Refusal }
  | { readonly kind: 'other-address', readonly address: protocol.Address }
  | { readonly kind: 'broken', readonly detail: string }

const EXECUTIONS: readonly string[] = ['not-run', 'ran', 'unknown'] satisfies protocol.Execution[]

function parseExecution (value: string | undefined): protocol.Execution {
  return value !== undefined && EXECUTIONS.includes(value) ? value as protocol.Execution : 'unknown'
}

function readRefusal (response: exchanges.HttpResponse, reason: string, text: string): errors.Refusal {
  const parsed = bodies.parseJson(text) as { readonly error?: Partial<errors.Refusal> } | undefined
  return {
    reason,
    message: parsed?.error?.message ?? `The request was refused: ${reason}.`,
    remedy: parsed?.error?.remedy ?? 'See the table of reasons for callers.',
    execution: parseExecution(response.headers[protocol.HEADERS.execution]),
    identity: parsed?.error?.identity,
    retryAfterMs: parsed?.error?.retryAfterMs
  }
}

function redirectAddress (response: exchanges.HttpResponse): protocol.Address | undefined {
  const { location } = response.headers
  return response.status === 307 && location !== undefined && URL.canParse(location) ? new URL(location).host : undefined
}

/**
 * Interprets a daemon's response. Reads its body to the end, except that of a stream, which is left unread.
 *
 * @example
 * ```ts
 * const reading = await readReply(response, identity)
 * ```
 */
export async function readReply (response: exchanges.HttpResponse, identity: string): Promise<Reading> {
  const { status, headers } = response
  const reason = headers[protocol.HEADERS.reason]
  const isStream = headers['content-type']?.startsWith('text/event-stream') === true
  if (isStream && reason === undefined) {
    return { kind: 'answer', answer: { kind: 'stream', identity, status, headers, events: bodies.readEvents(response.body, identity) } }
  }
  const text = await bodies.readText(response.body)
  const address = redirectAddress(response)
  if (address !== undefined) return { kind: 'other-address', address }
  if (text.isErr()) return { kind: 'broken', detail: text.error }
  if (status >= 300 && reason !== undefined) return { kind: 'refusal', refusal: readRefusal(response, reason, text.value) }
  return { kind: 'answer', answer: { kind: 'whole', identity, status, headers, text: text.value } }
}
