/**
 * Bound on repeated sends to a service, shared by all daemons without talk between them: each spends
 * a share of its own requests and an equal part of the fixed allowance.
 *
 * Load: targets fail part of what they get, and unbounded repeats would multiply the load on those left.
 *
 * @module
 */

const MS_PER_S = 1_000

/** Share of the bound that is spent; the rest covers requests whose counts fall into the next window. */
const USED_SHARE = 0.8

/** The bound over all daemons. */
export interface Options {
  /** Repeats for each request in the window. */
  readonly ratio: number
  /** Repeats in the window beside those by ratio, over all daemons. */
  readonly allowance: number
  readonly windowMs: number
}

/** Counts requests and repeats of every service. */
export interface RetryBudget {
  /** Takes over a new bound; counts are kept. */
  readonly configure: (options: Options) => void
  readonly countRequest: (service: string, nowMs: number) => void
  /** Takes one repeat; false when none is left. */
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
 * if (budget.takeRepeat('stock', 9, nowMs)) sendAgain()
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
