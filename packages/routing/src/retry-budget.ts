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
const SPENT_SHARE = 0.8

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
  readonly takeRepeat: (service: string, daemons: number, nowMs: number) => boolean
}

interface Second {
  readonly startMs: number
  readonly requests: number
  readonly repeats: number
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
export function createRetryBudget (first: Options): RetryBudget {
  let options = first
  const services = new Map<string, readonly Second[]>()

  function recent (service: string, nowMs: number): readonly Second[] {
    return (services.get(service) ?? []).filter((one) => one.startMs > nowMs - options.windowMs - MS_PER_S)
  }

  function add (service: string, requests: number, repeats: number, nowMs: number): void {
    const seconds = recent(service, nowMs)
    const last = seconds.at(-1)
    const goesOn = last !== undefined && nowMs - last.startMs < MS_PER_S
    const second = goesOn
      ? { startMs: last.startMs, requests: last.requests + requests, repeats: last.repeats + repeats }
      : { startMs: nowMs, requests, repeats }
    services.set(service, [...(goesOn ? seconds.slice(0, -1) : seconds), second])
  }

  function takeRepeat (service: string, daemons: number, nowMs: number): boolean {
    const seconds = recent(service, nowMs)
    const requests = seconds.reduce((sum, one) => sum + one.requests, 0)
    const repeats = seconds.reduce((sum, one) => sum + one.repeats, 0)
    const bound = SPENT_SHARE * (options.ratio * requests + options.allowance / Math.max(1, daemons))
    if (repeats + 1 > bound) return false
    add(service, 0, 1, nowMs)
    return true
  }

  return { configure: (wanted) => { options = wanted }, countRequest: (service, nowMs) => { add(service, 1, 0, nowMs) }, takeRepeat }
}
