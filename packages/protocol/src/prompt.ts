/**
 * What a completion request's body says about its prompt, and the hashes under which prefixes are known.
 *
 * @module
 */
import * as constants from './constants.js'

/** Hash of a text as 8 hexadecimal digits: xxHash32 with seed 0 over the UTF-8 bytes. */
export type TextHash = (text: string) => string

/** What the scheduler reads of a completion request. */
export interface Prompt {
  /** Text whose prefixes an engine may have cached. */
  readonly text: string
  /** Limit on the answer; undefined when the body states none. */
  readonly answerTokens: number | undefined
  readonly stream: boolean
}

interface Message {
  readonly role?: unknown
  readonly content?: unknown
}

function messageText (message: Message): string {
  const content = typeof message.content === 'string' ? message.content : JSON.stringify(message.content ?? '')
  return `${String(message.role ?? '')}\n${content}\n`
}

function promptText (body: Readonly<Record<string, unknown>>): string {
  if (Array.isArray(body.messages)) return body.messages.map((message: Message) => messageText(message ?? {})).join('')
  if (typeof body.prompt === 'string') return body.prompt
  return body.prompt === undefined ? '' : JSON.stringify(body.prompt)
}

function positiveInteger (value: unknown): number | undefined {
  return typeof value === 'number' && Number.isInteger(value) && value > 0 ? value : undefined
}

/**
 * Reads a parsed completion request.
 *
 * @example
 * ```ts
 * readPrompt({ prompt: 'Tag this laptop', max_tokens: 20, stream: true })
 * // { text: 'Tag this laptop', answerTokens: 20, stream: true }
 * ```
 */
export function readPrompt (body: Readonly<Record<string, unknown>>): Prompt {
  return {
    text: promptText(body),
    answerTokens: positiveInteger(body.max_completion_tokens) ?? positiveInteger(body.max_tokens),
    stream: body.stream === true
  }
}

/**
 * Tokens of a text, estimated from its UTF-16 length; at least 1.
 *
 * @example
 * ```ts
 * estimateTokens('twelve chars') // 3
 * ```
 */
export function estimateTokens (text: string): number {
  return Math.max(1, Math.ceil(text.length / constants.BYTES_PER_TOKEN))
}

/**
 * Hashes of ever longer prefixes, shortest first; the i-th covers `PREFIX_TOKENS * 2 ** i` tokens.
 * Prefixes longer than the text are left out.
 *
 * @example
 * ```ts
 * prefixHashes('a'.repeat(2_000), hash).length // 2: 512 and 1,024 characters
 * ```
 */
export function prefixHashes (text: string, hash: TextHash): readonly string[] {
  const hashes: string[] = []
  let length = constants.PREFIX_TOKENS * constants.BYTES_PER_TOKEN
  while (length <= text.length && hashes.length < constants.MAX_PREFIXES) {
    hashes.push(hash(text.slice(0, length)))
    length *= 2
  }
  return hashes
}
