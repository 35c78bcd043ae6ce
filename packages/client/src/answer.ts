/**
 * What a caller gets for a request, and how replies are told apart.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'
import type * as neverthrow from 'neverthrow'
import * as bodies from './bodies.js'
import type * as errors from './errors.js'
import type * as exchanges from './exchange.js'

/** The target's answer. A stream's last event is an error if the stream ended without its proper end. */
export type Answer =
  | { readonly kind: 'whole', readonly identity: string, readonly status: number, readonly headers: Readonly<Record<string, string>>, readonly text: string }
  | {
    readonly kind: 'stream'
    readonly identity: string
    readonly status: number
    readonly headers: Readonly<Record<string, string>>
    readonly events: AsyncIterable<neverthrow.Result<string, errors.IncompleteAnswer>>
  }

/** What a reply means. `broken`: the body of the reply broke off. */
export type Reading =
  | { readonly kind: 'answer', readonly answer: Answer }
  | { readonly kind: 'refusal', readonly refusal: errors.Refusal }
  | { readonly kind: 'other-address', readonly address: protocol.Address }
  | { readonly kind: 'broken', readonly detail: string }

const EXECUTIONS: readonly string[] = ['not-run', 'ran', 'unknown'] satisfies protocol.Execution[]

function toExecution (value: string | undefined): protocol.Execution {
  return value !== undefined && EXECUTIONS.includes(value) ? value as protocol.Execution : 'unknown'
}

function readRefusal (reply: exchanges.Reply, reason: string, text: string): errors.Refusal {
  const parsed = bodies.parseJson(text) as { readonly error?: Partial<errors.Refusal> } | undefined
  return {
    reason,
    message: parsed?.error?.message ?? `The request was refused: ${reason}.`,
    remedy: parsed?.error?.remedy ?? 'See the table of reasons for callers.',
    execution: toExecution(reply.headers[protocol.HEADERS.execution]),
    identity: parsed?.error?.identity,
    retryAfterMs: parsed?.error?.retryAfterMs
  }
}

function locationAddress (reply: exchanges.Reply): protocol.Address | undefined {
  const { location } = reply.headers
  return reply.status === 307 && location !== undefined && URL.canParse(location) ? new URL(location).host : undefined
}

/**
 * Reads a reply; whole bodies are read to their end, streams are not begun.
 *
 * @example
 * ```ts
 * const reading = await readReply(reply, identity)
 * ```
 */
export async function readReply (reply: exchanges.Reply, identity: string): Promise<Reading> {
  const { status, headers } = reply
  const reason = headers[protocol.HEADERS.reason]
  const isStream = headers['content-type']?.startsWith('text/event-stream') === true
  if (isStream && reason === undefined) {
    return { kind: 'answer', answer: { kind: 'stream', identity, status, headers, events: bodies.readEvents(reply.body, identity) } }
  }
  const text = await bodies.readText(reply.body)
  const address = locationAddress(reply)
  if (address !== undefined) return { kind: 'other-address', address }
  if (text.isErr()) return { kind: 'broken', detail: text.error }
  if (status >= 300 && reason !== undefined) return { kind: 'refusal', refusal: readRefusal(reply, reason, text.value) }
  return { kind: 'answer', answer: { kind: 'whole', identity, status, headers, text: text.value } }
}
