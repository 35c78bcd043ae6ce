/**
 * Which news travels on which message.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as memberTable from './member-table.js'
import * as newsOrder from './news-order.js'
import type * as newsStore from './news-store.js'
import * as rumorQueue from './rumor-queue.js'
import type * as ownEntry from './own-entry.js'
import * as settings from './settings.js'

/** Where the news comes from. */
export interface Sources {
  readonly self: ownEntry.OwnEntry
  readonly table: memberTable.MemberTable
  readonly store: newsStore.NewsStore
  readonly rumors: rumorQueue.RumorQueue
  readonly random: protocol.Random
}

/** Composes news for messages. */
export interface Composer {
  /** News for a probe or an ack: own entry, what the receiver must know of itself, rumors, then samples of all that is known. */
  readonly message: (to: protocol.Incarnation, nowMs: number) => readonly protocol.Update[]
  /** News for a probe whose answer matters more than what it carries: own entry, and what the receiver must know of itself. */
  readonly brief: (to: protocol.Incarnation, nowMs: number) => readonly protocol.Update[]
  /** The news with these keys, as far as it fits. */
  readonly list: (keys: readonly string[], limitBytes: number, nowMs: number) => List
  /** Keys of everything known. */
  readonly keys: () => readonly string[]
}

/** News that fits a limit, and how many of the keys it covers. */
export interface List {
  readonly news: readonly protocol.Update[]
  readonly covered: number
}

interface Batch {
  readonly news: () => readonly protocol.Update[]
  /** False if there is no room. */
  readonly add: (news: protocol.Update) => boolean
}

function createBatch (limitBytes: number): Batch {
  const chosen = new Map<string, protocol.Update>()
  let bytes = 0

  function add (news: protocol.Update): boolean {
    const key = newsOrder.keyOf(news)
    if (chosen.has(key)) return true
    const size = JSON.stringify(news).length + 1
    if (chosen.size > 0 && bytes + size > limitBytes) return false
    bytes += size
    chosen.set(key, news)
    return true
  }

  return { news: () => [...chosen.values()], add }
}

// Of two random members the one heard of last: fresh beats travel further than old ones.
function pickFresh (entries: readonly memberTable.Entry[], random: protocol.Random): memberTable.Entry | undefined {
  const first = entries[Math.floor(random() * entries.length)]
  const second = entries[Math.floor(random() * entries.length)]
  if (first === undefined || second === undefined) return undefined
  return first.learnedMs >= second.learnedMs ? first : second
}

const MEMBER_PREFIX = 'member:'
const SAMPLED_NEWS = 2
const MAX_SAMPLED_MEMBERS = 12

/**
 * Creates a composer over the sources.
 *
 * @example
 * ```ts
 * const composer = createComposer({ self, table, store, rumors, random })
 * composer.message('peer000000001', 0)
 * ```
 */
export function createComposer (sources: Sources): Composer {
  const { self, table, store, rumors, random } = sources

  function find (key: string, nowMs: number): protocol.Update | undefined {
    if (!key.startsWith(MEMBER_PREFIX)) return store.find(key, nowMs)
    const incarnation = key.slice(MEMBER_PREFIX.length)
    return incarnation === self.incarnation ? self.news(nowMs) : table.find(incarnation)?.news
  }

  function addRumors (batch: Batch, nowMs: number): void {
    const limit = rumorQueue.retransmitLimit(table.live().length + 1)
    for (const key of rumors.pending()) {
      const news = find(key, nowMs)
      if (news !== undefined && !batch.add(news)) return
      rumors.sent(key, limit)
    }
  }

  function addSamples (batch: Batch, nowMs: number): void {
    for (const key of store.nextKeys(SAMPLED_NEWS)) {
      const news = store.find(key, nowMs)
      if (news !== undefined && !batch.add(news)) return
    }
    const recent = table.gone().filter((entry) => entry.changedMs + settings.GONE_SPREAD_MS > nowMs)
    const entries = [...table.live(), ...recent]
    for (let count = 0; count < MAX_SAMPLED_MEMBERS; count++) {
      const entry = pickFresh(entries, random)
      if (entry === undefined || !batch.add(entry.news)) return
    }
  }

  function brief (to: protocol.Incarnation, nowMs: number): readonly protocol.Update[] {
    const receiver = table.find(to)?.news
    return receiver?.state === 'gone' ? [self.news(nowMs), receiver] : [self.news(nowMs)]
  }

  function message (to: protocol.Incarnation, nowMs: number): readonly protocol.Update[] {
    const batch = createBatch(settings.MESSAGE_NEWS_BYTES)
    for (const news of brief(to, nowMs)) batch.add(news)
    addRumors(batch, nowMs)
    addSamples(batch, nowMs)
    return batch.news()
  }

  function list (keys: readonly string[], limitBytes: number, nowMs: number): List {
    const batch = createBatch(limitBytes)
    const rejected = keys.findIndex((key) => {
      const news = find(key, nowMs)
      return news !== undefined && !batch.add(news)
    })
    return { news: batch.news(), covered: rejected === -1 ? keys.length : rejected }
  }

  function keys (): readonly string[] {
    return [...table.live().map((entry) => entry.news), ...store.list(0)].map(newsOrder.keyOf)
  }

  return { message, brief, list, keys }
}
