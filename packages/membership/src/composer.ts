/**
 * Selection of the updates to piggyback on each message.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as memberTable from './member-table.js'
import * as updateOrder from './update-order.js'
import type * as updateStore from './update-store.js'
import * as rumorQueue from './rumor-queue.js'
import type * as localMember from './local-member.js'
import * as settings from './settings.js'

/** State that updates are read from. */
export interface Sources {
  readonly localMember: localMember.LocalMember
  readonly table: memberTable.MemberTable
  readonly store: updateStore.UpdateStore
  readonly rumors: rumorQueue.RumorQueue
  readonly random: protocol.Random
}

/** Selects updates for messages. */
export interface Composer {
  /** Updates for a probe or an ack: the local member, the receiver if it is considered dead (so that it can refute that), rumors, then samples of all updates. */
  readonly messageUpdates: (to: protocol.Incarnation, nowMs: number) => readonly protocol.Update[]
  /** Updates for a small probe: the local member, and the receiver if it is considered dead. */
  readonly briefUpdates: (to: protocol.Incarnation, nowMs: number) => readonly protocol.Update[]
  /** Updates with these keys, as many as fit the limit. */
  readonly listUpdates: (keys: readonly string[], limitBytes: number, nowMs: number) => UpdateList
  /** Keys of all updates. */
  readonly listKeys: () => readonly string[]
}

/** Updates that fit a size limit, and the number of keys that they cover. */
export interface UpdateList {
  readonly updates: readonly protocol.Update[]
  readonly covered: number
}

interface Batch {
  readonly updates: () => readonly protocol.Update[]
  /** Adds an update; returns false if it exceeds the limit. */
  readonly add: (update: protocol.Update) => boolean
}

function createBatch (limitBytes: number): Batch {
  const chosen = new Map<string, protocol.Update>()
  let bytes = 0

  function add (update: protocol.Update): boolean {
    const key = updateOrder.keyOf(update)
    if (chosen.has(key)) return true
    const size = JSON.stringify(update).length + 1
    if (chosen.size > 0 && bytes + size > limitBytes) return false
    bytes += size
    chosen.set(key, update)
    return true
  }

  return { updates: () => [...chosen.values()], add }
}

// Picks the more recently updated of two random members, so that fresh heartbeats are disseminated further than old ones.
function pickFresh (records: readonly memberTable.MemberRecord[], random: protocol.Random): memberTable.MemberRecord | undefined {
  const first = records[Math.floor(random() * records.length)]
  const second = records[Math.floor(random() * records.length)]
  if (first === undefined || second === undefined) return undefined
  return first.updatedMs >= second.updatedMs ? first : second
}

const MEMBER_PREFIX = 'member:'
const SAMPLED_UPDATES = 2
const MAX_SAMPLED_MEMBERS = 12

/**
 * Creates a composer over the sources.
 *
 * @example
 * ```ts
 * const composer = createComposer({ localMember, table, store, rumors, random })
 * composer.messageUpdates('peer000000001', 0)
 * ```
 */
export function createComposer (sources: Sources): Composer {
  const { localMember: local, table, store, rumors, random } = sources

  function find (key: string, nowMs: number): protocol.Update | undefined {
    if (!key.startsWith(MEMBER_PREFIX)) return store.find(key, nowMs)
    const incarnation = key.slice(MEMBER_PREFIX.length)
    return incarnation === local.incarnation ? local.toUpdate(nowMs) : table.find(incarnation)?.member
  }

  function addRumors (batch: Batch, nowMs: number): void {
    const limit = rumorQueue.retransmitLimit(table.live().length + 1)
    for (const key of rumors.pending()) {
      const update = find(key, nowMs)
      if (update !== undefined && !batch.add(update)) return
      rumors.markSent(key, limit)
    }
  }

  function addSamples (batch: Batch, nowMs: number): void {
    for (const key of store.nextKeys(SAMPLED_UPDATES)) {
      const update = store.find(key, nowMs)
      if (update !== undefined && !batch.add(update)) return
    }
    const recentlyDead = table.dead().filter((record) => record.stateChangedMs + settings.DEAD_DISSEMINATION_MS > nowMs)
    const records = [...table.live(), ...recentlyDead]
    for (let count = 0; count < MAX_SAMPLED_MEMBERS; count++) {
      const record = pickFresh(records, random)
      if (record === undefined || !batch.add(record.member)) return
    }
  }

  function briefUpdates (to: protocol.Incarnation, nowMs: number): readonly protocol.Update[] {
    const receiver = table.find(to)?.member
    return receiver?.state === 'gone' ? [local.toUpdate(nowMs), receiver] : [local.toUpdate(nowMs)]
  }

  function messageUpdates (to: protocol.Incarnation, nowMs: number): readonly protocol.Update[] {
    const batch = createBatch(settings.MAX_MESSAGE_UPDATES_BYTES)
    for (const update of briefUpdates(to, nowMs)) batch.add(update)
    addRumors(batch, nowMs)
    addSamples(batch, nowMs)
    return batch.updates()
  }

  function listUpdates (keys: readonly string[], limitBytes: number, nowMs: number): UpdateList {
    const batch = createBatch(limitBytes)
    const firstRejected = keys.findIndex((key) => {
      const update = find(key, nowMs)
      return update !== undefined && !batch.add(update)
    })
    return { updates: batch.updates(), covered: firstRejected === -1 ? keys.length : firstRejected }
  }

  function listKeys (): readonly string[] {
    return [...table.live().map((record) => record.member), ...store.list(0)].map(updateOrder.keyOf)
  }

  return { messageUpdates, briefUpdates, listUpdates, listKeys }
}
