/**
 * Which of two pieces of news about the same thing is newer.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

const MEMBER_STATE_RANKS = { alive: 0, leaving: 1, gone: 2 } as const

/**
 * Names what the news is about; newer news with the same key replaces older.
 *
 * @example
 * ```ts
 * keyOf({ kind: 'revision', service: 'listings', revision: 7 }) // 'revision:listings'
 * ```
 */
export function keyOf (news: protocol.Update): string {
  switch (news.kind) {
    case 'member': return `member:${news.incarnation}`
    case 'target': return `target:${news.target}`
    case 'suspect': return `suspect:${news.fingerprint}`
    case 'revision': return `revision:${news.service}`
  }
}

/**
 * True if `news` about a member replaces `held`: a higher beat, or the same beat and a later state.
 *
 * @example
 * ```ts
 * isNewerMember({ ...member, beat: 4, state: 'alive' }, { ...member, beat: 3, state: 'gone' }) // true
 * ```
 */
export function isNewerMember (news: protocol.MemberUpdate, held: protocol.MemberUpdate): boolean {
  if (news.beat !== held.beat) return news.beat > held.beat
  return MEMBER_STATE_RANKS[news.state] > MEMBER_STATE_RANKS[held.state]
}

/**
 * Version of news that is not about a member; of two, the higher is newer.
 *
 * @example
 * ```ts
 * versionOf({ kind: 'revision', service: 'listings', revision: 7 }) // 7
 * ```
 */
export function versionOf (news: Exclude<protocol.Update, protocol.MemberUpdate>): number {
  return news.kind === 'revision' ? news.revision : news.version
}
