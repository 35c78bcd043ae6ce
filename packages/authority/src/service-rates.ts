/**
 * How fast the targets of each service finish tokens together, remembered for a short time.
 *
 * @module
 */

/** Joint rate of a service's targets. */
export interface ServiceRate {
  readonly tokensPerMs: number
  /** Finished requests behind the rate. */
  readonly samples: number
  /** Whether every target that takes new work has been measured. */
  readonly isMeasured: boolean
}

/** Joint rates by service. */
export interface ServiceRates {
  readonly get: (service: string, nowMs: number, measure: () => ServiceRate) => ServiceRate
  readonly clear: () => void
}

/** Time for which a rate is remembered, milliseconds. */
const VALIDITY_MS = 100

interface CachedRate {
  readonly rate: ServiceRate
  readonly measuredAtMs: number
}

/**
 * Creates an empty memory of rates.
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
