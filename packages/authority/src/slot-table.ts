/**
 * Granted slots by key, by target and by entry, and the keys of requests that ended recently.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as slot from './slot.js'

/** All slots of a pool. */
export interface SlotTable {
  readonly size: () => number
  readonly get: (key: string) => slot.Slot | undefined
  readonly add: (granted: slot.Slot) => void
  /** Replaces the slot with the same key. */
  readonly replace: (changed: slot.Slot) => void
  readonly remove: (key: string) => slot.Slot | undefined
  readonly onTarget: (target: string) => readonly slot.Slot[]
  readonly ofEntry: (entry: protocol.Incarnation) => readonly slot.Slot[]
  readonly all: () => Iterable<slot.Slot>
  /** Number of slots on a target whose tier is less important than `rank`. */
  readonly countLower: (target: string, rank: protocol.Rank) => number
  /** Records that a request has ended, so that late copies of its messages are ignored. */
  readonly markEnded: (key: string, nowMs: number) => void
  readonly hasEnded: (key: string) => boolean
  /** Removes the keys of requests that ended more than `ENDED_RETENTION_MS` ago. */
  readonly expire: (nowMs: number) => void
}

/** Time for which the key of an ended request is kept, milliseconds. */
const ENDED_RETENTION_MS = 60_000

type SlotsByKey = ReadonlyMap<string, slot.Slot>

const NO_SLOTS: SlotsByKey = new Map()

class SlotIndex {
  private readonly groups = new Map<string, Map<string, slot.Slot>>()

  set (group: string, granted: slot.Slot): void {
    const groupSlots = this.groups.get(group) ?? new Map<string, slot.Slot>()
    this.groups.set(group, groupSlots.set(granted.key, granted))
  }

  delete (group: string, key: string): void {
    const groupSlots = this.groups.get(group)
    groupSlots?.delete(key)
    if (groupSlots?.size === 0) this.groups.delete(group)
  }

  get (group: string): SlotsByKey {
    return this.groups.get(group) ?? NO_SLOTS
  }
}

/**
 * Creates an empty table.
 *
 * @example
 * ```ts
 * const slots = createSlotTable()
 * slots.add(granted)
 * slots.onTarget(granted.target) // [granted]
 * ```
 */
export function createSlotTable (): SlotTable {
  const slots = new Map<string, slot.Slot>()
  const byTarget = new SlotIndex()
  const byEntry = new SlotIndex()
  const endTimes = new Map<string, number>()

  function set (granted: slot.Slot): void {
    slots.set(granted.key, granted)
    byTarget.set(granted.target, granted)
    byEntry.set(granted.entry, granted)
  }

  return {
    size: () => slots.size,
    get: (key) => slots.get(key),
    add: set,
    replace: set,
    remove (key) {
      const granted = slots.get(key)
      if (granted === undefined) return undefined
      slots.delete(key)
      byTarget.delete(granted.target, key)
      byEntry.delete(granted.entry, key)
      return granted
    },
    onTarget: (target) => [...byTarget.get(target).values()],
    ofEntry: (entry) => [...byEntry.get(entry).values()],
    all: () => slots.values(),
    countLower (target, rank) {
      let count = 0
      for (const granted of byTarget.get(target).values()) if (granted.tier > rank) count += 1
      return count
    },
    markEnded: (key, nowMs) => endTimes.set(key, nowMs),
    hasEnded: (key) => endTimes.has(key),
    expire (nowMs) {
      for (const [key, endedAtMs] of endTimes) {
        if (nowMs - endedAtMs < ENDED_RETENTION_MS) return
        endTimes.delete(key)
      }
    }
  }
}
