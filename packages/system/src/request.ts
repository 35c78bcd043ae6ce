/**
 * Builds requests from the request mixes.
 *
 * @module
 */
import * as load from '@persimmonhatch/load'
import * as protocol from '@persimmonhatch/protocol'
import type * as callModule from './call.js'

/**
 * Builds the request of a draw from a mix.
 *
 * @example
 * ```ts
 * toRequest(load.mix.draw(load.mix.ATLASRENEW, random), 'r17')
 * ```
 */
export function toRequest (draw: load.mix.DrawnRequest, name: string, deadlineMs?: number): callModule.Request {
  const { kind } = draw
  return {
    request: name,
    service: kind.service,
    kind: kind.target,
    method: kind.method,
    path: kind.path,
    organisation: draw.organisation,
    tier: kind.tier,
    rank: kind.rank,
    nonIdempotent: kind.nonIdempotent,
    promptText: load.mix.promptText(draw, name, protocol.BYTES_PER_TOKEN),
    answerTokens: draw.answerTokens,
    stream: kind.stream,
    ...(deadlineMs === undefined ? {} : { deadlineMs })
  }
}
