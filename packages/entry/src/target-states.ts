/**
 * Which targets are leaving.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** The latest news of each target. */
export class TargetStates {
  readonly #byTarget = new Map<string, protocol.TargetNews>()

  /** Takes in a piece of news. At the same version, leaving goes before serving. */
  apply (news: protocol.TargetNews): void {
    const previous = this.#byTarget.get(news.target)
    const isNewer = previous === undefined || news.version > previous.version
    const startsLeaving = news.version === previous?.version && news.state === 'leaving'
    if (isNewer || startsLeaving) this.#byTarget.set(news.target, news)
  }

  isLeaving (target: string): boolean {
    return this.#byTarget.get(target)?.state === 'leaving'
  }
}
