/**
 * Divides a large fleet into cells: groups of daemons that place requests on their own part of every
 * service's targets and tell each other what they have there.
 *
 * Load: reports from every daemon to every other grow with the square of the fleet. Within a cell their
 * number is fixed, and what a daemon decides on is as fresh as in a small fleet. Every daemon works the
 * cells out alone, from the members that it knows; a member that comes or goes moves only those at the
 * edges of cells, and two daemons that disagree for a moment overcommit a few places.
 *
 * @module
 */
import * as membership from '@persimmonhatch/membership'
import type * as targetRegistry from './target-registry.js'

/** Daemons that one cell is meant to hold. */
const DAEMONS_PER_CELL = 9

/** Fewest targets that a cell works with, so that one failure leaves it others. */
const MIN_TARGETS_PER_CELL = 3

/** Places beyond its exact share that a cell takes at targets which it shares with several others: they are seldom all busy. */
const SHARED_SLOTS_FACTOR = 1.5

/** Places of a target under which a cell leaves it to its neighbour. */
const MIN_SLOTS_AT_TARGET = 0.5

/** A part of a circle from 0 to 1, on which all targets of a service stand evenly. */
export interface RingSegment {
  readonly from: number
  readonly to: number
}

/** The whole circle. */
export const WHOLE_RING: RingSegment = { from: 0, to: 1 }

/** A daemon's cell and the others. */
export interface Division {
  /** Members of the own cell, the asking daemon included, in order. */
  readonly ownCell: readonly string[]
  readonly otherCells: readonly (readonly string[])[]
  readonly segment: RingSegment
}

/** A target with the share of its places that a cell may use. */
export interface TargetShare {
  readonly target: targetRegistry.Target
  readonly share: number
}

/** The same order in every process, without regard to where names come from. */
function sortByHash<Item> (items: readonly Item[], nameOf: (item: Item) => string): readonly Item[] {
  return items
    .map((item) => ({ item, name: nameOf(item), position: membership.hash.hash(nameOf(item)) }))
    .sort((a, b) => a.position - b.position || (a.name < b.name ? -1 : 1))
    .map(({ item }) => item)
}

/**
 * Number of cells for a fleet.
 *
 * @example
 * ```ts
 * cellCount(9) // 1
 * cellCount(87) // 10
 * ```
 */
export function cellCount (daemons: number): number {
  return Math.max(1, Math.round(daemons / DAEMONS_PER_CELL))
}

/**
 * Divides the members; the own name must be among them.
 *
 * @example
 * ```ts
 * const { own, part } = divide('10.1.0.25:7600', members, cellCount(members.length))
 * ```
 */
export function divide (own: string, members: readonly string[], cells: number): Division {
  const ordered = sortByHash([...new Set(members)], (name) => name)
  const { length } = ordered
  const cellOf = (index: number): number => Math.floor(index * cells / length)
  const membersByCell = new Map<number, readonly string[]>()
  for (const [index, name] of ordered.entries()) membersByCell.set(cellOf(index), [...membersByCell.get(cellOf(index)) ?? [], name])
  const groups = [...membersByCell.values()]
  const ownCell = groups.find((group) => group.includes(own)) ?? [own]
  const firstIndex = ordered.indexOf(ownCell[0] ?? own)
  return {
    ownCell,
    otherCells: groups.filter((group) => group !== ownCell),
    segment: { from: firstIndex / length, to: (firstIndex + ownCell.length) / length }
  }
}

/** Whom names are chosen for. */
export interface SelectionOptions {
  readonly group: string
  readonly groups: readonly string[]
  /** Most names that are given. */
  readonly maxNames: number
}

/**
 * Chooses some of many names for a group, so that all processes choose the same and the groups together
 * use all names about evenly.
 *
 * @example
 * ```ts
 * chooseNamed(frontAddresses, { group: 'casa-a', groups: ['casa-a', 'casa-b'], most: 64 })
 * ```
 */
export function selectNames (names: readonly string[], { group, groups, maxNames }: SelectionOptions): readonly string[] {
  if (names.length <= maxNames) return names
  const ordered = sortByHash(names, (name) => name)
  const groupIndex = [...groups].sort().indexOf(group)
  const first = Math.floor(Math.max(0, groupIndex) * names.length / Math.max(1, groups.length))
  return [...ordered.slice(first), ...ordered.slice(0, first)].slice(0, maxNames)
}

/**
 * Targets of one service that a cell uses. Those at its edges are shared with its neighbours by places.
 *
 * @example
 * ```ts
 * for (const { target, share } of dealTargets(targets, part)) offer(target, share * target.slots)
 * ```
 */
export function assignTargets (targets: readonly targetRegistry.Target[], segment: RingSegment): readonly TargetShare[] {
  const { length } = targets
  const exactTargets = (segment.to - segment.from) * length
  const usedTargets = Math.min(length, Math.max(MIN_TARGETS_PER_CELL, exactTargets))
  if (usedTargets === length && exactTargets === length) return targets.map((target) => ({ target, share: 1 }))
  const isWidened = usedTargets > exactTargets
  const from = Math.min(length - usedTargets, Math.max(0, segment.from * length - (usedTargets - exactTargets) / 2))
  const perTarget = isWidened ? Math.min(1, SHARED_SLOTS_FACTOR * exactTargets / usedTargets) : 1
  return sortByHash(targets, (target) => target.id).flatMap((target, index) => {
    const overlap = Math.min(index + 1, from + usedTargets) - Math.max(index, from)
    const share = Math.min(1, overlap) * perTarget
    return overlap > 0 && (isWidened || share * target.slots >= MIN_SLOTS_AT_TARGET) ? [{ target, share }] : []
  })
}
