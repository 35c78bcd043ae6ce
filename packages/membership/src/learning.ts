/**
 * Takes in news and decides how fast it is passed on.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'
import * as newsOrder from './news-order.js'
import type * as newsStore from './news-store.js'
import type * as membershipParts from './parts.js'

/** Daemon that sent the news; undefined for news that this daemon learned itself. */
export type Source = protocol.Incarnation | undefined

// Pools and most callers' addresses lie within a region, so members of other regions are not urgent.
function isUrgent (parts: membershipParts.Parts, news: protocol.Update, nowMs: number): boolean {
  if (news.kind !== 'member') return true
  return news.state !== 'alive' && news.region === parts.self.news(nowMs).region
}

function passOn (parts: membershipParts.Parts, news: protocol.Update, nowMs: number): void {
  const key = newsOrder.keyOf(news)
  parts.rumors.add(key)
  if (isUrgent(parts, news, nowMs)) parts.urgent.add(key, nowMs)
}

/**
 * Spreads the own entry, at once.
 *
 * @example
 * ```ts
 * announceSelf(parts, nowMs)
 * ```
 */
export function announceSelf (parts: membershipParts.Parts, nowMs: number): void {
  const key = newsOrder.keyOf(parts.self.news(nowMs))
  parts.rumors.add(key)
  parts.urgent.add(key, nowMs)
}

function * learnSelf (parts: membershipParts.Parts, news: protocol.MemberUpdate, nowMs: number): Generator<event.Output, void> {
  const own = parts.self.news(nowMs)
  if (news.state !== 'gone' || own.state === 'gone' || news.beat < own.beat) return
  parts.self.refute(news.beat, nowMs)
  announceSelf(parts, nowMs)
  yield { kind: 'count', counter: 'membership.refutations', value: 1 }
}

function * learnMember (parts: membershipParts.Parts, news: protocol.MemberUpdate, from: Source, nowMs: number): Generator<event.Output, void> {
  const isKnown = parts.table.find(news.incarnation) !== undefined
  const change = parts.table.accept(news, nowMs)
  if (change === 'none') return
  parts.seeds.remove(news.incarnation)
  parts.suspicions.clearByBeat(news.incarnation, news.beat)
  if (change === 'beat') return
  if (!isKnown) parts.confirmation.memberAdded(nowMs)
  // What a newcomer hears of third members is news to nobody else.
  const isFirstHand = from === news.incarnation || news.state !== 'alive'
  if (isFirstHand || parts.confirmation.isConfirmed(nowMs)) passOn(parts, news, nowMs)
  yield { kind: 'learned', news }
}

function * learnOther (parts: membershipParts.Parts, news: newsStore.StoredNews, nowMs: number): Generator<event.Output, void> {
  if (!parts.store.accept(news, nowMs)) return
  passOn(parts, news, nowMs)
  yield { kind: 'learned', news }
}

/**
 * Takes in one piece of news; older or equal news changes nothing.
 *
 * @example
 * ```ts
 * yield * learn(parts, { kind: 'revision', service: 'listings', revision: 7 }, undefined, nowMs)
 * ```
 */
export function * learn (parts: membershipParts.Parts, news: protocol.Update, from: Source, nowMs: number): Generator<event.Output, void> {
  if (news.kind !== 'member') yield * learnOther(parts, news, nowMs)
  else if (news.incarnation === parts.self.incarnation) yield * learnSelf(parts, news, nowMs)
  else yield * learnMember(parts, news, from, nowMs)
}
