/**
 * Requests of the mixes with their texts.
 *
 * @module
 */
import * as load from '@persimmonhatch/load'
import * as protocol from '@persimmonhatch/protocol'
import type * as callModule from './call.js'

/**
 * The request that a draw stands for.
 *
 * @example
 * ```ts
 * toRequest(load.mix.draw(load.mix.ATLASRENEW, random), 'r17')
 * ```
 */
export function toRequest (drawn: load.mix.DrawnRequest, name: string, deadlineMs?: number): callModule.Request {
  const { kind } = drawn
  return {
    request: name,
    service: kind.service,
    kind: kind.target,
    method: kind.method,
    path: kind.path,
    organisation: drawn.organisation,
    tier: kind.tier,
    rank: kind.rank,
    nonIdempotent: kind.nonIdempotent,
    promptText: load.mix.promptText(drawn, name, protocol.BYTES_PER_TOKEN),
    answerTokens: drawn.answerTokens,
    stream: kind.stream,
    ...(deadlineMs === undefined ? {} : { deadlineMs })
  }
}
