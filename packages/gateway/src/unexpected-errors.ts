/**
 * Records errors that no code expects. Each is logged with its stack and counted.
 *
 * @module
 */
import type * as eventLog from './event-log.js'
import type * as metricsModule from './metrics.js'

/** Log and metrics. */
export interface Options {
  readonly log: Pick<eventLog.EventLog, 'change'>
  readonly metrics: Pick<metricsModule.Metrics, 'count'>
}

/** Maximum length of a stack in the log, characters. */
const MAX_STACK_LENGTH = 2_000

/**
 * Records an error, with what it has affected.
 *
 * @example
 * ```ts
 * record({ log, metrics }, error, { request: 'r-1' })
 * ```
 */
export function record ({ log, metrics }: Options, error: unknown, affected: eventLog.Details = {}): void {
  const stack = error instanceof Error ? error.stack ?? String(error) : String(error)
  metrics.count('unexpected_errors_total')
  log.change('unexpected error', { ...affected, stack: stack.slice(0, MAX_STACK_LENGTH) })
}

/**
 * Lets the process go on after an error that nothing has caught: ending it would cut off all requests, and the state of
 * each request ends with its deadline.
 *
 * @example
 * ```ts
 * surviveUnexpectedErrors({ log, metrics })
 * ```
 */
export function surviveUnexpectedErrors (options: Options): void {
  process.on('uncaughtException', (error, origin) => { record(options, error, { origin }) })
}
