/**
 * Caches for a short time how many tokens per millisecond the targets of each service finish together.
 *
 * @module
 */

/** Combined rate of a service's targets. */
export interface ServiceRate {
  readonly tokensPerMs: number
  /** Number of finished requests that the rate is based on. */
  readonly samples: number
  /** Whether each target that is not leaving has enough samples. */
  readonly isMeasured: boolean
}

/** Combined rates by service. */
export interface ServiceRates {
  readonly get: (service: string, nowMs: number, measure: () => ServiceRate) => ServiceRate
  readonly clear: () => void
}

/** Time for which a rate is cached, milliseconds. */
const VALIDITY_MS = 100

interface CachedRate {
  readonly rate: ServiceRate
  readonly measuredAtMs: number
}

/**
 * Creates an empty cache.
 *
 * @example
 * ```ts
 * const rates = createServiceRates()
 * rates.get('listings', nowMs, () => measure('listings'))
 * ```
 */
export function createServiceRates (): ServiceRates {
  const cachedRates = new Map<string, CachedRate>()
  return {
    get (service, nowMs, measure) {
      const cached = cachedRates.get(service)
      if (cached !== undefined && nowMs - cached.measuredAtMs < VALIDITY_MS) return cached.rate
      const rate = measure()
      cachedRates.set(service, { rate, measuredAtMs: nowMs })
      return rate
    },
    clear: () => cachedRates.clear()
  }
}
