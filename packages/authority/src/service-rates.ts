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

interface Record {
  readonly rate: ServiceRate
  readonly atMs: number
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
  const records = new Map<string, Record>()
  return {
    get (service, nowMs, measure) {
      const known = records.get(service)
      if (known !== undefined && nowMs - known.atMs < VALIDITY_MS) return known.rate
      const rate = measure()
      records.set(service, { rate, atMs: nowMs })
      return rate
    },
    clear: () => records.clear()
  }
}
