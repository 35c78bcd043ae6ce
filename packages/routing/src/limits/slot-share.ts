/**
 * Divides the slots of a target among the daemons of a cell, so that all of them together never exceed the slots.
 *
 * Reports of peers are always a little old, so daemons that fill the same free slots overcommit a target for a moment. A
 * target that must not be overcommitted therefore has an owner for each slot.
 *
 * @module
 */
import * as membership from '@persimmonhatch/membership'
import * as rateShare from './rate-share.js'

/** Slots of a target that a cell may use, of which each has an owner. */
export interface CellSlots {
  readonly target: string
  readonly slots: number
}

/**
 * Returns the slots of a target that a daemon owns, by its position among the members of its cell.
 *
 * @example
 * ```ts
 * const slots = ownSlots({ target: 'i-7f3a', slots: 12 }, { index: 4, members: 9 }) // 1 or 2
 * ```
 */
export function ownSlots ({ target, slots }: CellSlots, { index, members }: rateShare.RingPosition): number {
  // A process does not know its peers right after its start.
  const owners = Math.max(rateShare.MIN_ASSUMED_MEMBERS, members)
  const whole = Math.floor(slots / owners)
  // The remaining slots of different targets belong to different members.
  const offset = (index + membership.hash.hash(target)) % owners
  return whole + (offset < Math.floor(slots) % owners ? 1 : 0)
}
