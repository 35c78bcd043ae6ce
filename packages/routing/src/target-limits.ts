/**
 * Limits of requests per second that targets in need name in their responses.
 *
 * @module
 */

/** The limits of all targets. */
export interface TargetLimits {
  /** Records the limit that a response names, undefined for none; returns whether that is a change. */
  readonly observe: (target: string, requestsPerS: number | undefined) => boolean
  readonly isLimited: (target: string) => boolean
}

/**
 * Creates the limits; no target has one.
 *
 * @example
 * ```ts
 * if (limits.observe('i-1', 2.8)) log.change('target limit changed', { target: 'i-1', requestsPerS: 2.8 })
 * ```
 */
export function createTargetLimits (): TargetLimits {
  const limits = new Map<string, number>()

  function observe (target: string, requestsPerS: number | undefined): boolean {
    const isChange = limits.get(target) !== requestsPerS
    if (requestsPerS === undefined) limits.delete(target)
    else limits.set(target, requestsPerS)
    return isChange
  }

  return { observe, isLimited: (target) => limits.has(target) }
}
