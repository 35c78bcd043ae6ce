/**
 * Requests that leave a silent target for another one, or return to one that they have left.
 *
 * @module
 */
import type * as poolEvent from './pool-event.js'
import type * as snapshotModule from './snapshot.js'
import * as targetChoice from './target-choice.js'
import type * as targetRecord from './target-record.js'

/** The state of the pool that a choice depends on. */
export interface Conditions {
  readonly snapshot: snapshotModule.PoolSnapshot
  /** Time without data from a target with requests in flight after which it counts as silent, ms. */
  readonly silenceMs: number
  /** Returns the best of some targets for the request; undefined if none can take it now. */
  readonly choose: (among: snapshotModule.PoolSnapshot) => targetRecord.TargetRecord | undefined
}

/**
 * Yields groups of targets, the best first: others with a free slot, then those that the request has left.
 *
 * A silent target may be sound, so it is not left for a place in the queue of another one, which may reject the request or keep it
 * waiting for longer than the silence lasts. Left targets are yielded although they may be silent or ejected: a request that returns
 * has no other place.
 */
function * groupTargets ({ relocation }: poolEvent.PlacementRequest, { snapshot: { candidates, nowMs }, silenceMs }: Conditions): Generator<readonly snapshotModule.Candidate[], void> {
  const withSlot = candidates.filter(({ record, inFlight, freeSlots }) => freeSlots > 0 && inFlight < record.target.slots)
  const hasLeft = ({ record }: snapshotModule.Candidate): boolean => relocation?.left.has(record.target.id) === true
  if (relocation?.toOthers === true) yield withSlot.filter((candidate) => !hasLeft(candidate) && !candidate.isEjected && !candidate.record.isStalled(silenceMs, nowMs))
  if (relocation?.toLeft === true) yield withSlot.filter(hasLeft).map((candidate) => ({ ...candidate, isEjected: false }))
}

/**
 * Returns the target at which a request can go on now; undefined if none has a free slot for it.
 *
 * @example
 * ```ts
 * const record = chooseRelocation(request, { snapshot, silenceMs: 1_000, choose })
 * ```
 */
export function chooseRelocation (request: poolEvent.PlacementRequest, conditions: Conditions): targetRecord.TargetRecord | undefined {
  for (const candidates of groupTargets(request, conditions)) {
    const record = candidates.length === 0 ? undefined : conditions.choose({ ...conditions.snapshot, candidates })
    if (record !== undefined) return record
  }
  return undefined
}

/**
 * Returns whether a request may wait for a free slot: it is still at a target, or one is left at which it could go on.
 *
 * @example
 * ```ts
 * if (!mayWait(request, snapshot)) refuse('no-target')
 * ```
 */
export function mayWait ({ relocation, excludedTargets, version }: poolEvent.PlacementRequest, { candidates }: Pick<snapshotModule.PoolSnapshot, 'candidates'>): boolean {
  if (relocation?.toLeft !== true) return true
  return candidates.some(({ record }) => !excludedTargets.has(record.target.id) && targetChoice.isOfVersion(record, version) && (relocation.toOthers || relocation.left.has(record.target.id)))
}

/**
 * The requests that wait for a free slot. They have no place in the queue, so none that can't move holds a slot back from others.
 *
 * @example
 * ```ts
 * relocations.add(request)
 * yield * relocations.serve(takeSnapshot, place)
 * ```
 */
export class Relocations {
  private waiting: readonly poolEvent.PlacementRequest[] = []

  get size (): number {
    return this.waiting.length
  }

  add (request: poolEvent.PlacementRequest): void {
    this.waiting = [...this.waiting, request]
  }

  remove (id: number): void {
    this.waiting = this.waiting.filter((request) => request.id !== id)
  }

  /** Yields the decisions on the requests that can be placed now; the others go on waiting. A placement changes the state of the targets. */
  * serve (takeSnapshot: () => snapshotModule.PoolSnapshot, place: (request: poolEvent.PlacementRequest, snapshot: snapshotModule.PoolSnapshot) => poolEvent.PoolDecision | undefined): Generator<poolEvent.PoolDecision, void> {
    const stillWaiting: poolEvent.PlacementRequest[] = []
    let snapshot: snapshotModule.PoolSnapshot | undefined
    for (const request of this.waiting) {
      snapshot ??= takeSnapshot()
      const decision = place(request, snapshot)
      if (decision === undefined) {
        stillWaiting.push(request)
      } else {
        snapshot = undefined
        yield decision
      }
    }
    this.waiting = stillWaiting
  }
}
