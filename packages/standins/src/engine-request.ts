/**
 * A completion request as the model engine reads it.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'
import * as zod from 'zod'
import type * as completionFormat from './completion-format.js'
import type * as prefixCache from './prefix-cache.js'

const DEFAULT_ANSWER_TOKENS = 64

const COUNT = zod.union([zod.number(), zod.string().regex(/^\d+$/).transform(Number)])

const BODY = zod.looseObject({
  model: zod.string().default('stand-in'),
  user: zod.string().optional(),
  metadata: zod.looseObject({
    marker: zod.string().optional(),
    /** Length of the answer; as long as allowed when left out. */
    answer_tokens: COUNT.optional()
  }).optional(),
  stream_options: zod.looseObject({ include_usage: zod.boolean().optional() }).optional()
})

/** What the engine needs of a request. */
export interface EngineRequest {
  readonly form: completionFormat.Form
  readonly model: string
  /** The prompt contains the text that crashes the engine. */
  readonly crashes: boolean
  readonly marker: string
  readonly user: string | undefined
  readonly identity: string | undefined
  readonly promptTokens: number
  readonly answerTokens: number
  readonly prefixes: readonly prefixCache.Prefix[]
  readonly stream: boolean
  readonly includeUsage: boolean
}

/** Where a request came by. */
export interface Origin {
  readonly form: completionFormat.Form
  readonly identity: string | undefined
  readonly hash: protocol.TextHash
  /** Text of a prompt that crashes the engine. */
  readonly crashMarker: string | undefined
}

/**
 * Reads a parsed body; undefined when it is not a completion request.
 *
 * @example
 * ```ts
 * readRequest({ prompt: 'Tag this', max_tokens: 8, user: 'm1' }, { form: 'text', identity: undefined, crashMarker: undefined, hash })
 * ```
 */
export function readRequest (json: unknown, origin: Origin): EngineRequest | undefined {
  const body = BODY.safeParse(json).data
  if (body === undefined) return undefined
  const prompt = protocol.readPrompt(body)
  const limit = prompt.answerTokens ?? DEFAULT_ANSWER_TOKENS
  const hashes = protocol.prefixHashes(prompt.text, origin.hash)
  return {
    form: origin.form,
    model: body.model,
    crashes: origin.crashMarker !== undefined && prompt.text.includes(origin.crashMarker),
    marker: body.metadata?.marker ?? body.user ?? origin.identity ?? 'unmarked',
    user: body.user,
    identity: origin.identity,
    promptTokens: protocol.estimateTokens(prompt.text),
    answerTokens: Math.max(1, Math.min(limit, body.metadata?.answer_tokens ?? limit)),
    prefixes: hashes.map((hash, index) => ({ hash, tokens: protocol.PREFIX_TOKENS * 2 ** index })),
    stream: prompt.stream,
    includeUsage: body.stream_options?.include_usage === true
  }
}
