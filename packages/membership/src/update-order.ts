/**
 * Ordering of two updates about the same subject.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

const MEMBER_STATE_RANKS = { alive: 0, leaving: 1, gone: 2 } as const

/**
 * Returns the key of an update's subject; of two updates with the same key the newer one replaces the older.
 *
 * @example
 * ```ts
 * keyOf({ kind: 'revision', service: 'listings', revision: 7 }) // 'revision:listings'
 * ```
 */
export function keyOf (update: protocol.Update): string {
  switch (update.kind) {
    case 'member': return `member:${update.incarnation}`
    case 'target': return `target:${update.target}`
    case 'suspect': return `suspect:${update.fingerprint}`
    case 'revision': return `revision:${update.service}`
  }
}

/**
 * Returns true if `update` replaces `existing`: a higher heartbeat, or the same heartbeat and a later state.
 *
 * @example
 * ```ts
 * isNewerMember({ ...member, beat: 4, state: 'alive' }, { ...member, beat: 3, state: 'gone' }) // true
 * ```
 */
export function isNewerMember (update: protocol.MemberUpdate, existing: protocol.MemberUpdate): boolean {
  if (update.beat !== existing.beat) return update.beat > existing.beat
  return MEMBER_STATE_RANKS[update.state] > MEMBER_STATE_RANKS[existing.state]
}

/**
 * Returns the version of an update that is not about a member; of two, the higher is newer.
 *
 * @example
 * ```ts
 * versionOf({ kind: 'revision', service: 'listings', revision: 7 }) // 7
 * ```
 */
export function versionOf (update: Exclude<protocol.Update, protocol.MemberUpdate>): number {
  return update.kind === 'revision' ? update.revision : update.version
}
