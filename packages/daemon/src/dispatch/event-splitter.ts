/**
 * Splits a stream of server-sent events into whole events and reads what the scheduler needs of them.
 *
 * @module
 */

const EVENT_END = '\n\n'
const DONE = 'data: [DONE]'

/** Largest unfinished event, characters; a longer one means that the stream is not one of events. */
const MAX_EVENT_CHARACTERS = 4_194_304

/** One whole event, its end included. */
export interface StreamEvent {
  readonly text: string
  /** Whether this is the event that properly ends a completion stream. */
  readonly isDone: boolean
  /** Whether it carries a part of the answer. */
  readonly hasContent: boolean
}

/** Collects pieces into events. */
export interface EventSplitter {
  readonly push: (text: string) => Generator<StreamEvent, void>
  /** Characters of an event that has not ended yet. */
  readonly pendingLength: () => number
}

/** An event grew without an end. */
export class UnterminatedEvent extends Error {
  constructor () {
    super(`An event grew over ${MAX_EVENT_CHARACTERS} characters without an end: check that the target speaks server-sent events.`)
    this.name = 'EndlessEvent'
  }
}

/**
 * Starts splitting one stream.
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

/** Tokens that a completion reports. */
export interface Usage {
  readonly promptTokens: number
  readonly answerTokens: number
  /** Undefined when the engine does not say. */
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
 * Reads the usage of a whole completion or of one event's data; undefined when it carries none.
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
 * Reads the identity under which a stream can be resumed.
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
