/**
 * Table of the other daemons.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'
import * as updateOrder from './update-order.js'
import * as settings from './settings.js'

/** Last known state of another daemon. */
export interface MemberRecord {
  readonly member: protocol.MemberUpdate
  /** When the current heartbeat was received. */
  readonly updatedMs: number
  /** When the member's state last changed in this table. */
  readonly stateChangedMs: number
  /** Highest observed difference between the member's heartbeat, in milliseconds, and the local clock. */
  readonly heartbeatOffsetMs: number
}

/** Effect of an update on the table. `state`: new member, changed state or changed address. `heartbeat`: heartbeat or load only. */
export type Change = 'none' | 'heartbeat' | 'state'

/** Table of the other daemons; dead ones are retained for a limited time. */
export interface MemberTable {
  readonly accept: (update: protocol.MemberUpdate, nowMs: number) => Change
  readonly find: (incarnation: protocol.Incarnation) => MemberRecord | undefined
  /** Live and leaving members. */
  readonly live: () => readonly MemberRecord[]
  readonly dead: () => readonly MemberRecord[]
  /** Rises when a member is added or changes its state or address. */
  readonly version: () => number
  /** Estimates the member's current heartbeat from the updates received so far. */
  readonly estimateHeartbeat: (incarnation: protocol.Incarnation, nowMs: number) => number
  /** Removes dead members whose retention time is over. */
  readonly purge: (nowMs: number) => void
}

function heartbeatOffset (update: protocol.MemberUpdate, existing: MemberRecord | undefined, nowMs: number): number {
  const offsetMs = update.beat * protocol.HEARTBEAT_INTERVAL_MS - nowMs
  if (existing === undefined) return offsetMs
  return update.state === 'gone' ? existing.heartbeatOffsetMs : Math.max(offsetMs, existing.heartbeatOffsetMs)
}

function isSameState (update: protocol.MemberUpdate, existing: protocol.MemberUpdate): boolean {
  return update.state === existing.state && update.address === existing.address && update.peerAddress === existing.peerAddress
}

function isExpired (record: MemberRecord, index: number, nowMs: number): boolean {
  return index >= settings.MAX_DEAD_MEMBERS || record.stateChangedMs + settings.DEAD_RETENTION_MS <= nowMs
}

/**
 * Creates an empty table.
 *
 * @example
 * ```ts
 * const table = createMemberTable()
 * table.accept(update, 0) // 'state'
 * ```
 */
export function createMemberTable (): MemberTable {
  const records = new Map<protocol.Incarnation, MemberRecord>()
  const livePositions = new Map<protocol.Incarnation, number>()
  let live: MemberRecord[] | undefined
  let dead: readonly MemberRecord[] | undefined
  let version = 0

  function store (record: MemberRecord, isUnchanged: boolean): void {
    records.set(record.member.incarnation, record)
    const position = livePositions.get(record.member.incarnation)
    if (isUnchanged && live !== undefined && position !== undefined) {
      live[position] = record
      return
    }
    live = undefined
    dead = undefined
  }

  function accept (update: protocol.MemberUpdate, nowMs: number): Change {
    const existing = records.get(update.incarnation)
    if (existing !== undefined && !updateOrder.isNewerMember(update, existing.member)) return 'none'
    const keepsState = existing !== undefined && isSameState(update, existing.member)
    const stateChangedMs = keepsState ? existing.stateChangedMs : nowMs
    if (!keepsState) version += 1
    store({ member: update, updatedMs: nowMs, stateChangedMs, heartbeatOffsetMs: heartbeatOffset(update, existing, nowMs) }, keepsState)
    return keepsState ? 'heartbeat' : 'state'
  }

  function estimateHeartbeat (incarnation: protocol.Incarnation, nowMs: number): number {
    const record = records.get(incarnation)
    if (record === undefined) return 0
    return Math.max(record.member.beat, Math.floor((nowMs + record.heartbeatOffsetMs) / protocol.HEARTBEAT_INTERVAL_MS))
  }

  function listDead (): readonly MemberRecord[] {
    dead ??= [...records.values()].filter((record) => record.member.state === 'gone')
    return dead
  }

  function purge (nowMs: number): void {
    const newestFirst = [...listDead()].sort((a, b) => b.stateChangedMs - a.stateChangedMs)
    const expired = newestFirst.filter((record, index) => isExpired(record, index, nowMs))
    for (const record of expired) records.delete(record.member.incarnation)
    if (expired.length > 0) dead = undefined
  }

  function listLive (): readonly MemberRecord[] {
    if (live !== undefined) return live
    live = [...records.values()].filter((record) => record.member.state !== 'gone')
    livePositions.clear()
    for (const [position, record] of live.entries()) livePositions.set(record.member.incarnation, position)
    return live
  }

  return { accept, find: (incarnation) => records.get(incarnation), live: listLive, dead: listDead, version: () => version, estimateHeartbeat, purge }
}
