/**
 * Full state synchronisation in pages of limited size: immediately to a daemon that was unknown or dead, and
 * periodically to random members, each page to a different one, so that no member receives many pages at once.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as settings from './settings.js'

/** One page to be sent. */
export interface Page {
  /** Undefined for a random member. */
  readonly to: protocol.Incarnation | undefined
  readonly updates: readonly protocol.Update[]
}

/** The pages that have yet to be sent. */
export interface Synchronisation {
  /** Starts to send the updates with `keys` to one daemon, or to random members, and discards the pages of an earlier synchronisation. Returns false if that one started less than `CATCH_UP_INTERVAL_MS` ago. */
  readonly start: (to: protocol.Incarnation | undefined, keys: readonly string[], nowMs: number) => boolean
  /** Makes synchronisations recur at `CATCH_UP_INTERVAL_MS` for the next `CATCH_UP_MS`. */
  readonly catchUp: (nowMs: number) => void
  /** Returns true when the next recurring synchronisation should start. */
  readonly isDue: (nowMs: number) => boolean
  /** Returns the next page if one is due, filled by `fill`. */
  readonly nextPage: (fill: Fill, nowMs: number) => Page | undefined
}

/** Returns the updates with the first keys that fit on a page, and the number of keys that they cover. */
export type Fill = (keys: readonly string[]) => { readonly updates: readonly protocol.Update[], readonly covered: number }

/**
 * Creates a synchronisation with nothing to send. The first recurring one starts after the fraction `phase` of an
 * interval, so that daemons that start together do not act at the same moment.
 *
 * @example
 * ```ts
 * const synchronisation = createSynchronisation(random())
 * synchronisation.start('peer000000001', ['revision:listings'], 0) // true
 * ```
 */
export function createSynchronisation (phase: number): Synchronisation {
  let receiver: protocol.Incarnation | undefined
  let pendingKeys: readonly string[] = []
  let startedMs = -Infinity
  let lastPageMs = -Infinity
  let nextMs: number | undefined
  let catchUpUntilMs: number | undefined

  function start (to: protocol.Incarnation | undefined, keys: readonly string[], nowMs: number): boolean {
    if (nowMs - startedMs < settings.CATCH_UP_INTERVAL_MS) return false
    receiver = to
    pendingKeys = keys
    startedMs = nowMs
    return true
  }

  function isDue (nowMs: number): boolean {
    catchUpUntilMs ??= nowMs + settings.CATCH_UP_MS
    if (pendingKeys.length > 0) return false
    if (nowMs < catchUpUntilMs) return nowMs - lastPageMs >= settings.CATCH_UP_INTERVAL_MS
    nextMs ??= nowMs + phase * settings.SYNCHRONISATION_INTERVAL_MS
    if (nowMs < nextMs) return false
    nextMs = nowMs + settings.SYNCHRONISATION_INTERVAL_MS
    return true
  }

  function nextPage (fill: Fill, nowMs: number): Page | undefined {
    if (pendingKeys.length === 0 || nowMs - lastPageMs < settings.PAGE_INTERVAL_MS) return undefined
    lastPageMs = nowMs
    const { updates, covered } = fill(pendingKeys)
    pendingKeys = pendingKeys.slice(Math.max(1, covered))
    return { to: receiver, updates }
  }

  return { start, nextPage, isDue, catchUp: (nowMs) => { catchUpUntilMs = nowMs + settings.CATCH_UP_MS } }
}
