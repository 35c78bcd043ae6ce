/**
 * Tracks which targets are leaving.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** Stores the latest update of each target. */
export class TargetStates {
  readonly #byTarget = new Map<string, protocol.TargetUpdate>()

  /** Applies an update unless it is older. At the same version, `leaving` takes precedence over `serving`. */
  apply (update: protocol.TargetUpdate): void {
    const previous = this.#byTarget.get(update.target)
    const isNewer = previous === undefined || update.version > previous.version
    const startsLeaving = update.version === previous?.version && update.state === 'leaving'
    if (isNewer || startsLeaving) this.#byTarget.set(update.target, update)
  }

  isLeaving (target: string): boolean {
    return this.#byTarget.get(target)?.state === 'leaving'
  }
}
