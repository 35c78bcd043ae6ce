/**
 * Which targets are leaving.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** The latest news of each target. */
export class TargetStates {
  readonly #byTarget = new Map<string, protocol.TargetUpdate>()

  /** Takes in a piece of news. At the same version, leaving goes before serving. */
  update (news: protocol.TargetUpdate): void {
    const known = this.#byTarget.get(news.target)
    const isNewer = known === undefined || news.version > known.version
    const isLeavingNow = news.version === known?.version && news.state === 'leaving'
    if (isNewer || isLeavingNow) this.#byTarget.set(news.target, news)
  }

  isLeaving (target: string): boolean {
    return this.#byTarget.get(target)?.state === 'leaving'
  }
}
