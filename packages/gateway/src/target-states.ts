/**
 * Applies what targets say of themselves in their responses, and what peers report of it.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import type * as contextModule from './context.js'
import type * as eventLog from './event-log.js'
import type * as metricsModule from './metrics.js'

/** Dependencies of the states. */
export interface Options {
  readonly registry: routing.targetRegistry.TargetRegistry
  readonly limits: routing.targetLimits.TargetLimits
  readonly log: Pick<eventLog.EventLog, 'change'>
  readonly metrics: metricsModule.Metrics
  /** Called when targets must be assigned again and peers must hear of it. */
  readonly changed: () => void
}

/** What targets say of themselves, as one daemon knows it. */
export interface TargetStates extends contextModule.TargetStates {
  /** Called when limits of targets have changed. */
  readonly limitsChanged: (targets: readonly string[], source: string) => void
}

/**
 * Creates the states of a daemon.
 *
 * @example
 * ```ts
 * targetStates.depart({ id: 'i-1', startedMs: 1_764_841_234_567 }, 'response')
 * ```
 */
export function createTargetStates ({ registry, limits, log, metrics, changed }: Options): TargetStates {
  function depart (departure: routing.targetRegistry.Departure, source: string): void {
    if (!registry.depart(departure)) return
    log.change('target departs', { target: departure.id, startedMs: departure.startedMs, source })
    metrics.count('target_departures_total', { source: source === 'response' ? source : 'peer' })
    changed()
  }

  function limitsChanged (targets: readonly string[], source: string): void {
    for (const target of targets) log.change('target limit changed', { target, requestsPerS: limits.limitOf(target), source })
    changed()
  }

  return { startOf: registry.startOf, depart, limitsChanged }
}
