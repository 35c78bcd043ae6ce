/**
 * Full synchronisation with a daemon that was unknown or held for gone, in bounded pages.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as settings from './settings.js'

/** One page on its way. */
export interface Page {
  readonly to: protocol.Incarnation
  readonly news: readonly protocol.News[]
}

/** Pages that are still to be sent. */
export interface Synchronisation {
  /** Starts to send `keys` to a daemon; false if one began too recently. */
  readonly start: (to: protocol.Incarnation, keys: readonly string[], nowMs: number) => boolean
  /** The next page, filled by `fill`, which gives the news and how many keys it covers. */
  readonly next: (fill: Fill) => Page | undefined
}

/** News of the first keys that fit on a page. */
export type Fill = (keys: readonly string[]) => { readonly news: readonly protocol.News[], readonly covered: number }

/**
 * Creates a synchronisation with nothing to send.
 *
 * @example
 * ```ts
 * const synchronisation = createSynchronisation()
 * synchronisation.start('peer000000001', ['revision:listings'], 0) // true
 * ```
 */
export function createSynchronisation (): Synchronisation {
  let receiver: protocol.Incarnation = ''
  let waiting: readonly string[] = []
  let startedMs = -Infinity

  function start (to: protocol.Incarnation, keys: readonly string[], nowMs: number): boolean {
    if (waiting.length > 0 || nowMs - startedMs < settings.SYNCHRONISATION_INTERVAL_MS) return false
    receiver = to
    waiting = keys
    startedMs = nowMs
    return true
  }

  function next (fill: Fill): Page | undefined {
    if (waiting.length === 0) return undefined
    const { news, covered } = fill(waiting)
    waiting = waiting.slice(Math.max(1, covered))
    return { to: receiver, news }
  }

  return { start, next }
}
