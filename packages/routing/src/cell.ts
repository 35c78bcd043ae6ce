/**
 * Divides a large fleet into cells: groups of daemons that place requests on their own share of every
 * service's targets and report their load there to each other.
 *
 * All-to-all reports grow with the square of the fleet. Within a cell their number is bounded, and the
 * reports are as recent as in a small fleet. Every daemon computes the cells alone, from the members in its
 * table. A member that joins or leaves moves only members at the edges of cells, and two daemons that
 * disagree for a moment overcommit a few slots.
 *
 * @module
 */
import * as membership from '@persimmonhatch/membership'
import * as rateShare from './limits/rate-share.js'
import type * as targetRegistry from './target-registry.js'

/** Intended number of daemons in a cell. */
const DAEMONS_PER_CELL = 9

/** A cell uses at least this many targets, so that it has others when one fails. */
export const MIN_TARGETS_PER_CELL = 3

/** The same for services whose targets may differ in speed by several times: the slow ones of few leave too little to a cell. */
export const MIN_DIFFERENT_TARGETS_PER_CELL = 6

/** Overcommitment of targets that several cells share: the cells are seldom all busy at the same time. */
const SHARED_SLOTS_FACTOR = 1.5

/** A cell whose share of a target is below this many slots leaves the target to the adjacent cell. */
const MIN_SLOTS_AT_TARGET = 0.5

/** A segment of a hash ring from 0 to 1, on which all targets of a service are spaced evenly. */
export interface RingSegment {
  readonly from: number
  readonly to: number
}

/** The whole ring. */
export const WHOLE_RING: RingSegment = { from: 0, to: 1 }

/** The division of the fleet into cells, as one daemon computes it. */
export interface Division {
  /** Members of this daemon's cell in hash order, this daemon included. */
  readonly ownCell: readonly string[]
  readonly otherCells: readonly (readonly string[])[]
  readonly segment: RingSegment
  readonly position: rateShare.RingPosition
}

/** A target and the share of its slots that a cell may use. */
export interface TargetShare {
  readonly target: targetRegistry.Target
  readonly share: number
  /** Share if every cell that uses the target takes only its part: these add up to one. Undefined if it is as `share`. */
  readonly part?: number
  /** Undefined if the target has no limit of its request rate. */
  readonly limit?: rateShare.RateLimit | undefined
}

/** Sorts items by the hash of their names, so that every process computes the same order. */
function sortByHash<Item> (items: readonly Item[], nameOf: (item: Item) => string): readonly Item[] {
  return items
    .map((item) => ({ item, name: nameOf(item), position: membership.hash.hash(nameOf(item)) }))
    .sort((a, b) => a.position - b.position || (a.name < b.name ? -1 : 1))
    .map(({ item }) => item)
}

/**
 * Returns the number of cells for a fleet.
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
 * Divides the members into cells. The members must include `own`.
 *
 * @example
 * ```ts
 * const { ownCell, segment } = divide('10.1.0.25:7600', members, cellCount(members.length))
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
    segment: { from: firstIndex / length, to: (firstIndex + ownCell.length) / length },
    position: { index: ordered.indexOf(own), members: length }
  }
}

/** The group that names are selected for. */
export interface SelectionOptions {
  readonly group: string
  readonly groups: readonly string[]
  /** Maximum number of names to select. */
  readonly maxNames: number
}

/**
 * Selects a subset of names for a group. All processes select the same subset, and the groups together use
 * all names about evenly.
 *
 * @example
 * ```ts
 * selectNames(frontAddresses, { group: 'casa-a', groups: ['casa-a', 'casa-b'], maxNames: 64 })
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
 * Selects a member for a name. A member that joins or leaves changes the selection only for the names that are or
 * were its own.
 *
 * @example
 * ```ts
 * selectMember(['10.1.0.25:7600', '10.2.0.17:7600'], 'name')
 * ```
 */
export function selectMember (members: readonly string[], name: string): string | undefined {
  return sortByHash(members, (member) => `${name}\n${member}`)[0]
}

/**
 * Returns the targets of one service that a cell uses. Adjacent cells share the slots of the targets at their
 * common edge.
 *
 * @example
 * ```ts
 * for (const { target, share } of assignTargets(targets, segment)) offer(target, share * target.slots)
 * ```
 *
 * With `minTargets`, which services with learned limits state, the parts are added.
 */
export function assignTargets (targets: readonly targetRegistry.Target[], segment: RingSegment, minTargets?: number): readonly TargetShare[] {
  const { length } = targets
  const shareOf = shareLookup(length, segment, minTargets ?? MIN_TARGETS_PER_CELL)
  if (shareOf === undefined) return targets.map((target) => ({ target, share: 1 }))
  // The other cells are about as large as this one. Parts are needed, and computed, only for learned limits.
  const cells = minTargets === undefined ? 0 : Math.max(1, Math.round(1 / (segment.to - segment.from)))
  const own = Math.round(segment.from * cells)
  const others = Array.from({ length: cells }, (_, index) => index)
    .filter((index) => index !== own)
    .map((index) => shareLookup(length, { from: index / cells, to: (index + 1) / cells }, minTargets ?? MIN_TARGETS_PER_CELL))
  return sortByHash(targets, (target) => target.id).flatMap((target, index) => {
    const share = shareOf(index, target.slots)
    if (share === 0) return []
    if (minTargets === undefined) return [{ target, share }]
    const otherShares = others.reduce((sum, other) => sum + (other?.(index, target.slots) ?? 0), 0)
    return [{ target, share, part: share / (share + otherShares) }]
  })
}

/** Returns the share that a cell uses of the target at an index with a number of slots. */
type ShareLookup = (index: number, slots: number) => number

/** Returns the shares that the cell of a segment uses; undefined if it uses the whole of each of the targets. */
function shareLookup (length: number, segment: RingSegment, minTargets: number): ShareLookup | undefined {
  const exactTargets = (segment.to - segment.from) * length
  const usedTargets = Math.min(length, Math.max(minTargets, exactTargets))
  if (usedTargets === length && exactTargets === length) return undefined
  const isWidened = usedTargets > exactTargets
  const from = Math.min(length - usedTargets, Math.max(0, segment.from * length - (usedTargets - exactTargets) / 2))
  const perTarget = isWidened ? Math.min(1, SHARED_SLOTS_FACTOR * exactTargets / usedTargets) : 1
  return (index, slots) => {
    const overlap = Math.min(index + 1, from + usedTargets) - Math.max(index, from)
    const share = Math.min(1, overlap) * perTarget
    return overlap > 0 && (isWidened || share * slots >= MIN_SLOTS_AT_TARGET) ? share : 0
  }
}

/** Returns the limit of a target's request rate; undefined if it has none. */
export type LimitLookup = (target: string) => number | undefined

/**
 * Adds their limits to the targets that a cell uses, and the limited targets of other cells that this daemon is a
 * sender of.
 *
 * @example
 * ```ts
 * const shares = limitTargets(targets, assignTargets(targets, segment), limits.limitOf, position)
 * ```
 */
export function limitTargets (targets: readonly targetRegistry.Target[], shares: readonly TargetShare[], limitOf: LimitLookup, position: rateShare.RingPosition): readonly TargetShare[] {
  if (targets.every(({ id }) => limitOf(id) === undefined)) return shares
  const shareOf = new Map(shares.map((each) => [each.target.id, each]))
  return sortByHash(targets, (target) => target.id).flatMap((target, index) => {
    const share = shareOf.get(target.id)
    const requestsPerS = limitOf(target.id)
    const limit = requestsPerS === undefined ? undefined : rateShare.shareRate(requestsPerS, { index, targets: targets.length }, position)
    return share !== undefined || (limit?.ownRequestsPerS ?? 0) > 0 ? [{ ...share ?? { target, share: 0, part: 1 / position.members }, limit }] : []
  })
}
