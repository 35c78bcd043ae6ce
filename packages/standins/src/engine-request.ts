/**
 * Parses completion requests for the model engine.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'
import * as zod from 'zod'
import type * as completionFormat from './completion-format.js'
import type * as prefixCache from './prefix-cache.js'

const DEFAULT_ANSWER_TOKENS = 64

const TOKEN_COUNT = zod.union([zod.number(), zod.string().regex(/^\d+$/).transform(Number)])

const BODY = zod.looseObject({
  model: zod.string().default('stand-in'),
  user: zod.string().optional(),
  metadata: zod.looseObject({
    marker: zod.string().optional(),
    /** Length of the generated text; defaults to the maximum. */
    answer_tokens: TOKEN_COUNT.optional()
  }).optional(),
  stream_options: zod.looseObject({ include_usage: zod.boolean().optional() }).optional()
})

/** The fields of a request that the engine needs. */
export interface EngineRequest {
  readonly form: completionFormat.Form
  readonly model: string
  /** Whether the prompt contains the text that crashes the engine. */
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

/** What parsing a request needs besides its body. */
export interface RequestContext {
  readonly form: completionFormat.Form
  readonly identity: string | undefined
  readonly hash: protocol.TextHash
  /** Text in a prompt that crashes the engine. */
  readonly crashMarker: string | undefined
}

/**
 * Parses a JSON body; returns undefined when it is not a completion request.
 *
 * @example
 * ```ts
 * parseRequest({ prompt: 'Tag this', max_tokens: 8, user: 'm1' }, { form: 'text', identity: undefined, crashMarker: undefined, hash })
 * ```
 */
export function parseRequest (json: unknown, context: RequestContext): EngineRequest | undefined {
  const body = BODY.safeParse(json).data
  if (body === undefined) return undefined
  const prompt = protocol.readPrompt(body)
  const maxAnswerTokens = prompt.answerTokens ?? DEFAULT_ANSWER_TOKENS
  const hashes = protocol.prefixHashes(prompt.text, context.hash)
  return {
    form: context.form,
    model: body.model,
    crashes: context.crashMarker !== undefined && prompt.text.includes(context.crashMarker),
    marker: body.metadata?.marker ?? body.user ?? context.identity ?? 'unmarked',
    user: body.user,
    identity: context.identity,
    promptTokens: protocol.estimateTokens(prompt.text),
    answerTokens: Math.max(1, Math.min(maxAnswerTokens, body.metadata?.answer_tokens ?? maxAnswerTokens)),
    prefixes: hashes.map((hash, index) => ({ hash, tokens: protocol.PREFIX_TOKENS * 2 ** index })),
    stream: prompt.stream,
    includeUsage: body.stream_options?.include_usage === true
  }
}
