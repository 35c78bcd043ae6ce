/**
 * Stops a daemon within the grace period: callers first learn other addresses, then the listener closes, then the
 * requests in progress end.
 *
 * @module
 */
import type * as eventLog from './event-log.js'
import type * as frontServer from './front-server.js'

/** Dependencies of the stop. */
export interface Options {
  readonly now: () => number
  /** Time from the start of the stop to the end of the process, ms. */
  readonly graceMs: () => number
  readonly openRequests: () => number
  readonly front: () => Pick<frontServer.FrontServer, 'close' | 'endRequests'> | undefined
  /** Called when the stop begins. */
  readonly onBegin: () => void
  readonly log: Pick<eventLog.EventLog, 'change'>
}

/** The planned stop of a daemon. */
export interface GracefulStop {
  /** Runs the stop; settles when the process may exit. */
  readonly run: () => Promise<void>
  /** Returns the time since its start, ms; undefined before it. */
  readonly sinceMs: () => number | undefined
}

/** Minimum time from the start of a planned stop to the closing of the listener, for callers with cached addresses, ms. */
const MIN_STOP_MS = 5_000

/** Time before the end of the grace period at which requests that still wait are refused, ms. */
const REFUSAL_MARGIN_MS = 1_200

/** Time before the end of the grace period at which those that have been sent are ended, ms. */
const END_MARGIN_MS = 500

/** Time before the end of the grace period at which the process exits at the latest, for the final answers to be read, ms. */
const EXIT_MARGIN_MS = 200

const POLL_MS = 50

function delay (): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, POLL_MS))
}

/**
 * Creates the stop, which has not begun.
 *
 * @example
 * ```ts
 * await gracefulStop.run()
 * process.exit(0)
 * ```
 */
export function createGracefulStop (options: Options): GracefulStop {
  const { now, openRequests, log } = options
  let startMs: number | undefined

  async function run (): Promise<void> {
    const beginMs = now()
    startMs = beginMs
    log.change('stop begun', { open: openRequests() })
    options.onBegin()
    while (now() < beginMs + MIN_STOP_MS) await delay()
    options.front()?.close()
    const waitUntilClosed = async (marginMs: number): Promise<void> => {
      while (openRequests() > 0 && now() < beginMs + options.graceMs() - marginMs) await delay()
    }
    await waitUntilClosed(REFUSAL_MARGIN_MS)
    options.front()?.endRequests(false)
    await waitUntilClosed(END_MARGIN_MS)
    options.front()?.endRequests(true)
    await waitUntilClosed(EXIT_MARGIN_MS)
    log.change('stopped', { open: openRequests(), afterMs: Math.round(now() - beginMs) })
  }

  return { run, sinceMs: () => startMs === undefined ? undefined : now() - startMs }
}
