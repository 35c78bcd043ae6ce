/**
 * The targets that one request was sent to, and whether it may be sent once more.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import * as admission from './admission.js'
import type * as contextModule from './context.js'

/** Dependencies of the retries. */
export type Dependencies = Pick<contextModule.Context, 'now' | 'budget' | 'daemons' | 'targets'>

/** Minimum remaining time for a retry, ms. */
const MIN_REMAINING_MS = 40

/**
 * The targets of one request.
 *
 * @example
 * ```ts
 * const tried = new TriedTargets(context, request)
 * tried.add(target)
 * if (tried.acquireRetry()) requestPlacement(tried.placementOptions(undefined, true))
 * ```
 */
export class TriedTargets {
  private dispatches = 0
  private readonly tried: routing.targetRegistry.Target[] = []
  /** Targets at which the request has failed. */
  private readonly excluded = new Set<string>()
  /** Targets that the request has left for their silence, and those that have rejected it since. */
  private readonly left = new Set<string>()

  constructor (private readonly dependencies: Dependencies, private readonly request: admission.AdmittedRequest) {}

  /** Number of dispatches to targets of the service. */
  get sends (): number {
    return this.dispatches
  }

  /** The targets in the order in which they were tried. */
  get inOrder (): readonly routing.targetRegistry.Target[] {
    return this.tried
  }

  /** Whether the route allows a dispatch to a further target. */
  get allowsOther (): boolean {
    return this.dispatches < this.request.route.attempts
  }

  /** Whether the request has left a target for its silence. */
  get hasLeft (): boolean {
    return this.left.size > 0
  }

  /** Whether a target that the request has left is still there and may get it. The number of attempts doesn't limit this, as it is no further target. */
  get canReturn (): boolean {
    return [...this.left].some((id) => !this.excluded.has(id) && this.dependencies.targets.versionOf(id) !== undefined)
  }

  add (target: routing.targetRegistry.Target): void {
    this.tried.push(target)
  }

  countSend (): void {
    this.dispatches += 1
  }

  /**
   * Records that a target has rejected the request. Returns whether it may get the request later: one that rejects a request which
   * has left another may have room again before the request has to end.
   */
  handleRejection (target: routing.targetRegistry.Target | undefined, isMisdirected: boolean): boolean {
    // Another target than the expected one has answered, so the dispatch doesn't count.
    if (isMisdirected) this.dispatches -= 1
    const isKept = this.hasLeft && !isMisdirected
    if (isKept) this.leave(target)
    else this.exclude(target)
    return isKept
  }

  /** Records that the request has failed at a target. */
  exclude (target: routing.targetRegistry.Target | undefined): void {
    if (target !== undefined) this.excluded.add(target.id)
  }

  /** Records that the request has left a target that may be sound. */
  leave (target: routing.targetRegistry.Target | undefined): void {
    if (target !== undefined) this.left.add(target.id)
  }

  /** Acquires a retry if the route, the remaining time and the fleet's budget allow one. */
  acquireRetry (): boolean {
    const { dependencies: { now, budget, daemons }, request } = this
    if ((!this.allowsOther && !this.canReturn) || request.limitMs - now() < MIN_REMAINING_MS) return false
    return budget.acquireRetry(request.service, daemons(), now())
  }

  /** Returns the options of a placement at targets of a version, any if undefined. A request that has left a target may return there. */
  placementOptions (version: string | undefined, isRetry: boolean): routing.poolEvent.PlacementOptions {
    const relocation = this.hasLeft ? { left: this.left, toOthers: this.allowsOther, toLeft: true } : undefined
    return admission.placementOptions(this.request, { version, excludedTargets: this.excluded, isRetry, relocation })
  }

  /** Returns the options of a search for another target while the request is at one. */
  moveOptions (version: string | undefined, current: routing.targetRegistry.Target): routing.poolEvent.PlacementOptions {
    return { ...this.placementOptions(version, true), relocation: { left: new Set([...this.left, current.id]), toOthers: true, toLeft: false } }
  }
}
