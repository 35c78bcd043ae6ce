/**
 * Full synchronisation in bounded pages: at once to a daemon that was unknown or held for gone, and now and
 * then to random members, each page to another one, so that no member receives from many at a time.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as settings from './settings.js'

/** One page on its way. */
export interface Page {
  /** Undefined for any member. */
  readonly to: protocol.Incarnation | undefined
  readonly news: readonly protocol.Update[]
}

/** Pages that are still to be sent. */
export interface Synchronisation {
  /** Starts to send `keys` to one daemon, or to random members, in place of what was still to be sent; false if one began too recently. */
  readonly start: (to: protocol.Incarnation | undefined, keys: readonly string[], nowMs: number) => boolean
  /** Until `CATCH_UP_MS` from now, synchronisations recur at the short interval. */
  readonly catchUp: (nowMs: number) => void
  /** True once when the next recurring synchronisation should start. */
  readonly isDue: (nowMs: number) => boolean
  /** The next page when one is due, filled by `fill`, which gives the news and how many keys it covers. */
  readonly next: (fill: Fill, nowMs: number) => Page | undefined
}

/** News of the first keys that fit on a page. */
export type Fill = (keys: readonly string[]) => { readonly news: readonly protocol.Update[], readonly covered: number }

/**
 * Creates a synchronisation with nothing to send. Recurring ones begin after `phase` of an interval, so that
 * daemons that start together do not act in step.
 *
 * @example
 * ```ts
 * const synchronisation = createSynchronisation(random())
 * synchronisation.start('peer000000001', ['revision:listings'], 0) // true
 * ```
 */
export function createSynchronisation (phase: number): Synchronisation {
  let receiver: protocol.Incarnation | undefined
  let waiting: readonly string[] = []
  let startedMs = -Infinity
  let lastPageMs = -Infinity
  let nextMs: number | undefined
  let catchUpUntilMs: number | undefined

  function start (to: protocol.Incarnation | undefined, keys: readonly string[], nowMs: number): boolean {
    if (nowMs - startedMs < settings.CATCH_UP_INTERVAL_MS) return false
    receiver = to
    waiting = keys
    startedMs = nowMs
    return true
  }

  function isDue (nowMs: number): boolean {
    catchUpUntilMs ??= nowMs + settings.CATCH_UP_MS
    if (waiting.length > 0) return false
    if (nowMs < catchUpUntilMs) return nowMs - lastPageMs >= settings.CATCH_UP_INTERVAL_MS
    nextMs ??= nowMs + phase * settings.SYNCHRONISATION_INTERVAL_MS
    if (nowMs < nextMs) return false
    nextMs = nowMs + settings.SYNCHRONISATION_INTERVAL_MS
    return true
  }

  function next (fill: Fill, nowMs: number): Page | undefined {
    if (waiting.length === 0 || nowMs - lastPageMs < settings.PAGE_INTERVAL_MS) return undefined
    lastPageMs = nowMs
    const { news, covered } = fill(waiting)
    waiting = waiting.slice(Math.max(1, covered))
    return { to: receiver, news }
  }

  return { start, next, isDue, catchUp: (nowMs) => { catchUpUntilMs = nowMs + settings.CATCH_UP_MS } }
}
