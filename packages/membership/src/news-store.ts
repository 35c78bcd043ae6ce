/**
 * Newest known news about targets, suspects and revisions.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as newsOrder from './news-order.js'
import * as settings from './settings.js'

/** News that is not about a daemon. */
export type StoredNews = Exclude<protocol.Update, protocol.MemberUpdate>

/** Store with a bound for each kind of news. */
export interface NewsStore {
  /** True if the news is newer than what is held. */
  readonly accept: (news: StoredNews, nowMs: number) => boolean
  /** The news as it stands now: a suspect's remaining time has been counted down. */
  readonly find: (key: string, nowMs: number) => StoredNews | undefined
  readonly list: (nowMs: number) => readonly StoredNews[]
  /** The next keys in turn, round and round. */
  readonly nextKeys: (count: number) => readonly string[]
  readonly purge: (nowMs: number) => void
}

interface Held {
  readonly news: StoredNews
  /** When a suspect expires; infinite for other news. */
  readonly expiresMs: number
}

function present (held: Held, nowMs: number): StoredNews | undefined {
  if (held.news.kind !== 'suspect') return held.news
  if (held.expiresMs <= nowMs) return undefined
  return { ...held.news, remainingMs: Math.round(held.expiresMs - nowMs) }
}

function isForgotten (held: Held, nowMs: number): boolean {
  return held.expiresMs + settings.EXPIRED_SUSPECT_RETENTION_MS <= nowMs
}

function * overflow (held: ReadonlyMap<string, Held>): Generator<string, void> {
  const counts = { target: 0, suspect: 0, revision: 0 }
  for (const [key, { news }] of [...held].reverse()) {
    counts[news.kind] += 1
    if (counts[news.kind] > settings.MAX_NEWS_PER_KIND) yield key
  }
}

/**
 * Creates an empty store.
 *
 * @example
 * ```ts
 * const store = createNewsStore()
 * store.accept({ kind: 'revision', service: 'listings', revision: 7 }, 0) // true
 * ```
 */
export function createNewsStore (): NewsStore {
  const held = new Map<string, Held>()
  let cursor = 0

  function accept (news: StoredNews, nowMs: number): boolean {
    const key = newsOrder.keyOf(news)
    const older = held.get(key)
    if (older !== undefined && newsOrder.versionOf(news) <= newsOrder.versionOf(older.news)) return false
    if (news.kind === 'suspect' && news.remainingMs <= 0) return false
    held.delete(key)
    held.set(key, { news, expiresMs: news.kind === 'suspect' ? nowMs + news.remainingMs : Infinity })
    return true
  }

  function find (key: string, nowMs: number): StoredNews | undefined {
    const found = held.get(key)
    return found === undefined ? undefined : present(found, nowMs)
  }

  function nextKeys (count: number): readonly string[] {
    const keys = [...held.keys()]
    const chosen = Array.from({ length: Math.min(count, keys.length) }, (_, step) => keys[(cursor + step) % keys.length] as string)
    cursor = keys.length === 0 ? 0 : (cursor + chosen.length) % keys.length
    return chosen
  }

  function purge (nowMs: number): void {
    for (const [key, value] of held) if (isForgotten(value, nowMs)) held.delete(key)
    for (const key of overflow(held)) held.delete(key)
  }

  return {
    accept,
    find,
    list: (nowMs) => [...held.values()].flatMap((value) => present(value, nowMs) ?? []),
    nextKeys,
    purge
  }
}
