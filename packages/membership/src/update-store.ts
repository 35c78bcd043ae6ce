/**
 * Newest updates about targets, suspects and revisions.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as updateOrder from './update-order.js'
import * as settings from './settings.js'

/** An update that is not about a daemon. */
export type StoredUpdate = Exclude<protocol.Update, protocol.MemberUpdate>

/** Store with a limit for each kind of update. */
export interface UpdateStore {
  /** Stores an update; returns false if it is not newer than the stored one. */
  readonly accept: (update: StoredUpdate, nowMs: number) => boolean
  /** Returns the update with a suspect's remaining time as of `nowMs`. */
  readonly find: (key: string, nowMs: number) => StoredUpdate | undefined
  readonly list: (nowMs: number) => readonly StoredUpdate[]
  /** Returns the next keys in round-robin order. */
  readonly nextKeys: (count: number) => readonly string[]
  readonly purge: (nowMs: number) => void
}

interface StoredItem {
  readonly update: StoredUpdate
  /** When a suspect expires; infinite for other updates. */
  readonly expiresMs: number
}

function currentUpdate (item: StoredItem, nowMs: number): StoredUpdate | undefined {
  if (item.update.kind !== 'suspect') return item.update
  if (item.expiresMs <= nowMs) return undefined
  return { ...item.update, remainingMs: Math.round(item.expiresMs - nowMs) }
}

function isPurgeable (item: StoredItem, nowMs: number): boolean {
  return item.expiresMs + settings.EXPIRED_SUSPECT_RETENTION_MS <= nowMs
}

function * keysOverLimit (items: ReadonlyMap<string, StoredItem>): Generator<string, void> {
  const counts = { target: 0, suspect: 0, revision: 0 }
  for (const [key, { update }] of [...items].reverse()) {
    counts[update.kind] += 1
    if (counts[update.kind] > settings.MAX_UPDATES_PER_KIND) yield key
  }
}

/**
 * Creates an empty store.
 *
 * @example
 * ```ts
 * const store = createUpdateStore()
 * store.accept({ kind: 'revision', service: 'listings', revision: 7 }, 0) // true
 * ```
 */
export function createUpdateStore (): UpdateStore {
  const items = new Map<string, StoredItem>()
  let cursor = 0

  function accept (update: StoredUpdate, nowMs: number): boolean {
    const key = updateOrder.keyOf(update)
    const existing = items.get(key)
    if (existing !== undefined && updateOrder.versionOf(update) <= updateOrder.versionOf(existing.update)) return false
    if (update.kind === 'suspect' && update.remainingMs <= 0) return false
    items.delete(key)
    items.set(key, { update, expiresMs: update.kind === 'suspect' ? nowMs + update.remainingMs : Infinity })
    return true
  }

  function find (key: string, nowMs: number): StoredUpdate | undefined {
    const found = items.get(key)
    return found === undefined ? undefined : currentUpdate(found, nowMs)
  }

  function nextKeys (count: number): readonly string[] {
    const keys = [...items.keys()]
    const chosen = Array.from({ length: Math.min(count, keys.length) }, (_, step) => keys[(cursor + step) % keys.length] as string)
    cursor = keys.length === 0 ? 0 : (cursor + chosen.length) % keys.length
    return chosen
  }

  function purge (nowMs: number): void {
    for (const [key, value] of items) if (isPurgeable(value, nowMs)) items.delete(key)
    for (const key of keysOverLimit(items)) items.delete(key)
  }

  return {
    accept,
    find,
    list: (nowMs) => [...items.values()].flatMap((value) => currentUpdate(value, nowMs) ?? []),
    nextKeys,
    purge
  }
}
