/**
 * State that outlives all daemons: loads it and writes it.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import * as lastingLoader from './lasting-loader.js'
import * as lastingWriter from './lasting-writer.js'

/** Dependencies of the state. */
export interface Options extends lastingLoader.Options, lastingWriter.Options {}

/** The lasting state of one daemon. */
export interface LastingState extends Pick<lastingLoader.LastingLoader, 'afterLoading' | 'reload'> {
  /** Notes the beginning of a stream of the own cell. */
  readonly note: (beginning: routing.streamVersions.StreamBeginning) => void
  /** Loads or writes what is due; called several times a second. */
  readonly tick: () => void
}

/**
 * Creates the state of a daemon that has just started and has loaded nothing yet.
 *
 * @example
 * ```ts
 * const lasting = createLastingState(options)
 * setInterval(lasting.tick, 100)
 * ```
 */
export function createLastingState (options: Options): LastingState {
  const loader = lastingLoader.createLastingLoader(options)
  const writer = lastingWriter.createLastingWriter(options)
  return {
    note: writer.note,
    afterLoading: loader.afterLoading,
    reload: loader.reload,
    tick: () => {
      loader.tick()
      if (options.history.isRestored()) writer.tick()
    }
  }
}
