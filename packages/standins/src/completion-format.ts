/**
 * Formats OpenAI-style chat and text completions.
 *
 * @module
 */

/** The interface that a request used. */
export type Form = 'chat' | 'text'

/** Token counts of a response. */
export interface Usage {
  readonly promptTokens: number
  readonly completionTokens: number
  readonly cachedTokens: number
}

/** Content of a chunk or of a complete response. */
export interface Content {
  readonly form: Form
  readonly id: string
  readonly model: string
  readonly text: string
  readonly finished: boolean
  readonly usage?: Usage
}

type Message = Readonly<Record<string, unknown>>

/** The event that ends a stream. */
export const DONE_EVENT = 'data: [DONE]\n\n'

function usage (counts: Usage | undefined): Message {
  if (counts === undefined) return {}
  return {
    usage: {
      prompt_tokens: counts.promptTokens,
      completion_tokens: counts.completionTokens,
      total_tokens: counts.promptTokens + counts.completionTokens,
      prompt_tokens_details: { cached_tokens: counts.cachedTokens }
    }
  }
}

/**
 * Returns one event of a streamed response.
 *
 * @example
 * ```ts
 * chunkEvent({ form: 'text', id: 'cmpl-1', model: 'm', text: 'a', finished: false }) // 'data: {...}\n\n'
 * ```
 */
export function chunkEvent (content: Content): string {
  const finish = { finish_reason: content.finished ? 'stop' : null }
  const choice = content.form === 'chat'
    ? { index: 0, delta: { content: content.text }, ...finish }
    : { index: 0, text: content.text, ...finish }
  const object = content.form === 'chat' ? 'chat.completion.chunk' : 'text_completion'
  return `data: ${JSON.stringify({ id: content.id, object, model: content.model, choices: [choice], ...usage(content.usage) })}\n\n`
}

/**
 * Returns the body of a complete response.
 *
 * @example
 * ```ts
 * completionBody({ form: 'chat', id: 'cmpl-1', model: 'm', text: 'a b ', finished: true })
 * ```
 */
export function completionBody (content: Content): Message {
  const choice = content.form === 'chat'
    ? { index: 0, message: { role: 'assistant', content: content.text }, finish_reason: 'stop' }
    : { index: 0, text: content.text, finish_reason: 'stop' }
  const object = content.form === 'chat' ? 'chat.completion' : 'text_completion'
  return { id: content.id, object, model: content.model, choices: [choice], ...usage(content.usage) }
}
