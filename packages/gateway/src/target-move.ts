/**
 * Moves a request from a target that sends nothing to one that has a free slot for it.
 *
 * The request stays at its target, where it may go on, until another one is found.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import type * as contextModule from './context.js'
import type * as servicePools from './service-pools.js'

/** A decision that names a target. */
export type Dispatch = Extract<routing.poolEvent.PoolDecision, { readonly kind: 'dispatch' }>

/** Dependencies and callbacks of the move. */
export interface Options {
  readonly context: Pick<contextModule.Context, 'now' | 'pools'>
  readonly service: string
  /** Returns the request as it may be placed at another target; undefined if it must stay where it is. */
  readonly placementOptions: () => routing.poolEvent.PlacementOptions | undefined
  /** Returns whether the request may leave for a target, after acquiring a retry for that. */
  readonly acquireMove: (target: routing.targetRegistry.Target) => boolean
  /** Takes the request to the target of a decision, whose placement holds a slot there. */
  readonly moveTo: (placement: servicePools.Placement, decision: Dispatch, reason: string) => void
}

/** Maximum time since a target was last seen to be stalled at which a request leaves it, ms; longer than the time between ticks. */
const STALL_MAX_AGE_MS = 100

/** Time after a refused move until the next search, ms. */
const SEEK_INTERVAL_MS = 100

/**
 * The move of one request.
 *
 * @example
 * ```ts
 * const move = new TargetMove({ context, service: 'support', placementOptions, acquireMove, moveTo })
 * move.handleStall()
 * move.cancel() // the target has sent something
 * ```
 */
export class TargetMove {
  private placement: servicePools.Placement | undefined
  private stalledMs = -Infinity
  private nextSeekMs = -Infinity

  constructor (private readonly options: Options) {}

  /** Looks for another target while this one is stalled; called at each tick. */
  handleStall (): void {
    const { now } = this.options.context
    this.stalledMs = now()
    this.seek('no event within the stall time', () => now() - this.stalledMs <= STALL_MAX_AGE_MS)
  }

  /** Looks for another target; the request moves only if that is still due when one is found. */
  seek (reason: string, isDue: () => boolean): void {
    const { context, service, placementOptions } = this.options
    const request = this.placement !== undefined || context.now() < this.nextSeekMs ? undefined : placementOptions()
    if (request === undefined) return
    context.pools.requestPlacement(service, request, {
      onQueued: (placement) => { this.placement = placement },
      onDecision: (decision) => { this.handleDecision(decision, reason, isDue) },
      onStalled: () => { this.handleStall() }
    })
  }

  /** Ends the search; a slot that was found is not held any more. */
  cancel (): void {
    const { placement } = this
    this.placement = undefined
    if (placement !== undefined) this.options.context.pools.handlePlacementEvent(placement, { kind: 'left' })
  }

  private handleDecision (decision: routing.poolEvent.PoolDecision, reason: string, isDue: () => boolean): void {
    const { context, acquireMove, moveTo } = this.options
    const { placement } = this
    if (placement === undefined || decision.kind !== 'dispatch') return
    if (isDue() && acquireMove(decision.target)) {
      this.placement = undefined
      moveTo(placement, decision, reason)
    } else {
      this.nextSeekMs = context.now() + SEEK_INTERVAL_MS
      this.cancel()
    }
  }
}
