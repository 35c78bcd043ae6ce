/**
 * Answers why a target gets no request at the moment. Every reason not to use a target is listed here.
 *
 * @module
 */

/**
 * Why a target gets no request. `leaving`: its entry or its responses say that it leaves. `paused`: it asked for a pause.
 * `ejected`: its last requests failed. `rate-limited`: the request rate that it accepts is used up. `full`: its slots are
 * taken, as far as is known.
 */
export type Obstacle = 'leaving' | 'paused' | 'ejected' | 'rate-limited' | 'full'

/** State of a target, as far as it decides whether the target may be used. */
export interface TargetState {
  readonly isRemoved: boolean
  readonly isEjected: boolean
  /** Time until a pause ends, ms; 0 if there is none. */
  readonly pauseMs: number
  /** Requests that may be sent, by the limit of the request rate and after a pause. */
  readonly allowedSends: number
  readonly freeSlots: number
}

/**
 * Returns why a target gets no request; undefined if it may get one.
 *
 * @example
 * ```ts
 * obstacleOf({ isRemoved: false, isEjected: false, pauseMs: 800, allowedSends: 0, freeSlots: 3 }) // 'paused'
 * ```
 */
export function obstacleOf ({ isRemoved, isEjected, pauseMs, allowedSends, freeSlots }: TargetState): Obstacle | undefined {
  if (isRemoved) return 'leaving'
  if (pauseMs > 0) return 'paused'
  if (isEjected) return 'ejected'
  if (allowedSends <= 0) return 'rate-limited'
  return freeSlots <= 0 ? 'full' : undefined
}

/** The state of a target that is not listed any more. */
export const REMOVED: TargetState = { isRemoved: true, isEjected: false, pauseMs: 0, allowedSends: 0, freeSlots: 0 }

/**
 * Counts the targets by what keeps them from getting requests.
 *
 * @example
 * ```ts
 * countObstacles(states) // { paused: 1, full: 5 }
 * ```
 */
export function countObstacles (states: readonly TargetState[]): Readonly<Partial<Record<Obstacle, number>>> {
  const counts: Partial<Record<Obstacle, number>> = {}
  for (const state of states) {
    const obstacle = obstacleOf(state)
    if (obstacle !== undefined) counts[obstacle] = (counts[obstacle] ?? 0) + 1
  }
  return counts
}
