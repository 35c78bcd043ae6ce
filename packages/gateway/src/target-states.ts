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
  readonly pauses: routing.targetPauses.TargetPauses
  /** Endpoint of this daemon. */
  readonly address: string
  readonly now: () => number
  /** Whether the direct path to a target is lost, so that peers carry the connections. */
  readonly isLost: (target: string) => boolean
  readonly log: eventLog.EventLog
  readonly metrics: metricsModule.Metrics
  /** Called when targets must be assigned again and peers must hear of it. */
  readonly changed: () => void
}

/** What targets say of themselves, as one daemon knows it. */
export interface TargetStates extends contextModule.TargetStates {
  /** Applies a pause that a peer reports. */
  readonly applyPause: (pause: routing.targetPauses.Pause) => void
  /** Called when limits of targets have changed. */
  readonly limitsChanged: (targets: readonly string[], source: string) => void
}

/** Maximum length of a header's value in the log, characters. */
const MAX_LOGGED_LENGTH = 40

/**
 * Creates the states of a daemon.
 *
 * @example
 * ```ts
 * targetStates.depart({ id: 'i-1', startedMs: 1_764_841_234_567 }, 'response')
 * ```
 */
export function createTargetStates (options: Options): TargetStates {
  const { registry, limits, pauses, log, metrics, changed } = options

  function depart (departure: routing.targetRegistry.Departure, source: string): void {
    if (!registry.depart(departure)) return
    log.change('target departs', { target: departure.id, startedMs: departure.startedMs, source })
    metrics.count('target_departures_total', { source: source === 'response' ? source : 'peer' })
    changed()
  }

  function record (pause: routing.targetPauses.Pause, source: string): void {
    if (!pauses.record(pause, options.now())) return
    log.change('target paused', { target: pause.target, durationMs: Math.round(pause.durationMs), told: pause.told, source })
    metrics.count('target_pauses_total', { source })
    changed()
  }

  /** A pause holds for the VM that was told, and for any daemon whose requests another VM would send. */
  function applyPause (pause: routing.targetPauses.Pause): void {
    if (pause.told === options.address || options.isLost(pause.target)) record(pause, 'peer')
  }

  function ignorePause (target: string, retryAfter: string): void {
    log.request('target pause malformed', { target, retryAfter: retryAfter.slice(0, MAX_LOGGED_LENGTH) })
    metrics.count('target_pauses_total', { source: 'malformed' })
  }

  function limitsChanged (targets: readonly string[], source: string): void {
    for (const target of targets) log.change('target limit changed', { target, requestsPerS: limits.limitOf(target), source })
    changed()
  }

  return {
    startOf: registry.startOf,
    versionOf: registry.versionOf,
    depart,
    pause: (target, durationMs, via) => { record({ target, durationMs, told: via ?? options.address }, 'response') },
    isOpen: (target) => !registry.isLeaving(target) && pauses.untilMs(target, options.now()) === 0,
    ignorePause,
    applyPause,
    limitsChanged
  }
}
