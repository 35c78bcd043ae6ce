/**
 * Splits a stream of server-sent events into complete events and parses what the scheduler needs.
 *
 * @module
 */

const EVENT_END = '\n\n'
const DONE = 'data: [DONE]'

/** Maximum length of an unfinished event, characters; a longer one means that this is not an event stream. */
const MAX_EVENT_CHARACTERS = 4_194_304

/** One complete event, including its terminator. */
export interface StreamEvent {
  readonly text: string
  /** Whether this is the event that terminates a completion stream. */
  readonly isDone: boolean
  /** Whether it carries a part of the completion. */
  readonly hasContent: boolean
}

/** Assembles chunks of text into events. */
export interface EventSplitter {
  readonly push: (text: string) => Generator<StreamEvent, void>
  /** Returns the number of characters of the unfinished event. */
  readonly pendingLength: () => number
}

/** An event exceeded the maximum length without an end. */
export class UnterminatedEvent extends Error {
  constructor () {
    super(`An event exceeded ${MAX_EVENT_CHARACTERS} characters without an end: check that the target sends server-sent events.`)
    this.name = 'UnterminatedEvent'
  }
}

/**
 * Creates a splitter for one stream.
 *
 * @example
 * ```ts
 * const splitter = createEventSplitter()
 * for (const event of splitter.push(text)) forward(event.text)
 * ```
 */
export function createEventSplitter (): EventSplitter {
  let pending = ''

  function * push (text: string): Generator<StreamEvent, void> {
    pending += text.includes('\r') ? text.replaceAll('\r\n', '\n') : text
    for (let end = pending.indexOf(EVENT_END); end >= 0; end = pending.indexOf(EVENT_END)) {
      const event = pending.slice(0, end + EVENT_END.length)
      pending = pending.slice(end + EVENT_END.length)
      yield { text: event, isDone: event.startsWith(DONE), hasContent: event.startsWith('data:') && !event.startsWith(DONE) }
    }
    if (pending.length > MAX_EVENT_CHARACTERS) throw new UnterminatedEvent()
  }

  return { push, pendingLength: () => pending.length }
}

/** Token usage reported by a completion. */
export interface Usage {
  readonly promptTokens: number
  readonly answerTokens: number
  /** Undefined when the engine does not report it. */
  readonly cachedTokens: number | undefined
}

interface UsageBody {
  readonly usage?: {
    readonly prompt_tokens?: number
    readonly completion_tokens?: number
    readonly prompt_tokens_details?: { readonly cached_tokens?: number }
  } | null
  readonly id?: unknown
}

function parseBody (text: string): UsageBody | undefined {
  try {
    return JSON.parse(text) as UsageBody
  } catch {
    return undefined
  }
}

/**
 * Parses the usage of a complete response or of one event's data. Returns undefined when there is none.
 *
 * @example
 * ```ts
 * readUsage('{"usage":{"prompt_tokens":9,"completion_tokens":2}}')
 * // { promptTokens: 9, answerTokens: 2, cachedTokens: undefined }
 * ```
 */
export function readUsage (text: string): Usage | undefined {
  const usage = parseBody(text)?.usage
  if (usage === undefined || usage === null) return undefined
  return {
    promptTokens: usage.prompt_tokens ?? 0,
    answerTokens: usage.completion_tokens ?? 0,
    cachedTokens: usage.prompt_tokens_details?.cached_tokens
  }
}

/**
 * Parses the id under which a stream can be resumed.
 *
 * @example
 * ```ts
 * readStreamId('{"id":"cmpl-7"}') // 'cmpl-7'
 * ```
 */
export function readStreamId (text: string): string | undefined {
  const id = parseBody(text)?.id
  return typeof id === 'string' ? id : undefined
}
