/**
 * Tracks the mean size of the requests of a service.
 *
 * @module
 */
import type * as targetSpeed from './target-speed.js'

/** Mean size of recent requests. */
export interface RequestSizes {
  readonly record: (size: targetSpeed.RequestSize) => void
  readonly mean: () => targetSpeed.RequestSize
}

/** Weight of a new request in the mean. */
const SMOOTHING_FACTOR = 0.05

/**
 * Creates the mean of no requests.
 *
 * @example
 * ```ts
 * const sizes = createRequestSizes()
 * sizes.record({ promptTokens: 628, outputTokens: 288 })
 * ```
 */
export function createRequestSizes (): RequestSizes {
  let mean: targetSpeed.RequestSize | undefined
  return {
    record: ({ promptTokens, outputTokens }) => {
      mean = mean === undefined
        ? { promptTokens, outputTokens }
        : { promptTokens: mean.promptTokens + SMOOTHING_FACTOR * (promptTokens - mean.promptTokens), outputTokens: mean.outputTokens + SMOOTHING_FACTOR * (outputTokens - mean.outputTokens) }
    },
    mean: () => mean ?? { promptTokens: 0, outputTokens: 0 }
  }
}
