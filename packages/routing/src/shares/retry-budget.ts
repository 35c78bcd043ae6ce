/**
 * Limits retries to a service over all daemons without coordination: each daemon may use a ratio of its own
 * requests and an equal part of the fixed allowance.
 *
 * When some targets fail, unlimited retries would multiply the load on the remaining ones.
 *
 * @module
 */

const MS_PER_S = 1_000

/** Share of the budget that is used; the rest covers requests that are counted in the next window. */
const USED_SHARE = 0.8

/** The budget over all daemons. */
export interface Options {
  /** Retries per request in the window. */
  readonly ratio: number
  /** Retries in the window in addition to those by ratio, over all daemons. */
  readonly allowance: number
  readonly windowMs: number
}

/** Counts requests and retries of every service. */
export interface RetryBudget {
  /** Applies a new budget and keeps the counts. */
  readonly configure: (options: Options) => void
  readonly countRequest: (service: string, nowMs: number) => void
  /** Acquires one retry from the budget; returns false if it is used up. */
  readonly acquireRetry: (service: string, daemons: number, nowMs: number) => boolean
}

interface SecondCounts {
  readonly startMs: number
  readonly requests: number
  readonly retries: number
}

/**
 * Creates the budget.
 *
 * @example
 * ```ts
 * const budget = createRetryBudget({ ratio: 0.2, allowance: 58, windowMs: 10_000 })
 * if (budget.acquireRetry('stock', 9, nowMs)) retryOnOtherTarget() // provided by the caller
 * ```
 */
export function createRetryBudget (initial: Options): RetryBudget {
  let options = initial
  const services = new Map<string, readonly SecondCounts[]>()

  function recent (service: string, nowMs: number): readonly SecondCounts[] {
    return (services.get(service) ?? []).filter((second) => second.startMs > nowMs - options.windowMs - MS_PER_S)
  }

  function add (service: string, requests: number, retries: number, nowMs: number): void {
    const seconds = recent(service, nowMs)
    const last = seconds.at(-1)
    const isSameSecond = last !== undefined && nowMs - last.startMs < MS_PER_S
    const second = isSameSecond
      ? { startMs: last.startMs, requests: last.requests + requests, retries: last.retries + retries }
      : { startMs: nowMs, requests, retries }
    services.set(service, [...(isSameSecond ? seconds.slice(0, -1) : seconds), second])
  }

  function acquireRetry (service: string, daemons: number, nowMs: number): boolean {
    const seconds = recent(service, nowMs)
    const requests = seconds.reduce((sum, second) => sum + second.requests, 0)
    const retries = seconds.reduce((sum, second) => sum + second.retries, 0)
    const bound = USED_SHARE * (options.ratio * requests + options.allowance / Math.max(1, daemons))
    if (retries + 1 > bound) return false
    add(service, 0, 1, nowMs)
    return true
  }

  return { configure: (next) => { options = next }, countRequest: (service, nowMs) => { add(service, 1, 0, nowMs) }, acquireRetry }
}
