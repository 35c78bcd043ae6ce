/**
 * Extracts the prompt from the body of a completion request and hashes its prefixes.
 *
 * @module
 */
import * as constants from './constants.js'

/** Hash of a text as 8 hexadecimal digits: xxHash32 with seed 0 over the UTF-8 bytes. */
export type TextHash = (text: string) => string

/** Parts of a completion request that the scheduler uses. */
export interface Prompt {
  /** Prompt text. An engine may have cached prefixes of it. */
  readonly text: string
  /** Maximum number of tokens in the response, or undefined when the body sets no limit. */
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
 * Extracts the prompt from the parsed body of a completion request.
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
 * Estimates the number of tokens in a text from its UTF-16 length. Returns at least 1.
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
 * Returns hashes of prefixes, shortest first. The i-th covers `PREFIX_TOKENS * 2 ** i` tokens.
 * Omits prefixes longer than the text.
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
