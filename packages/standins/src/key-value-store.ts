/**
 * Store with revisions, transactions, leases and watches, as etcd v3 has them. Keys and values are
 * byte strings (one character per byte), so that keys order by their bytes.
 *
 * @module
 */

const MS_PER_S = 1_000
const FIRST_LEASE_ID = 1_000_000

/** A stored pair. */
export interface Pair {
  readonly key: string
  readonly value: string
  readonly createRevision: number
  readonly modRevision: number
  readonly version: number
  /** 0 when the pair lives under no lease. */
  readonly lease: number
}

/** One accepted write. `value` is empty for a deletion. */
export interface Event {
  readonly type: 'PUT' | 'DELETE'
  readonly pair: Pair
}

/** A condition of a transaction. */
export interface Compare {
  readonly key: string
  readonly target: 'VERSION' | 'CREATE' | 'MOD'
  readonly result: 'EQUAL' | 'GREATER' | 'LESS' | 'NOT_EQUAL'
  readonly operand: number
}

/** One step of a transaction. `rangeEnd` is empty for a single key. */
export type Operation =
  | { readonly kind: 'put', readonly key: string, readonly value: string, readonly lease: number }
  | { readonly kind: 'delete', readonly key: string, readonly rangeEnd: string }
  | { readonly kind: 'range', readonly key: string, readonly rangeEnd: string }

/** What one step found, or deleted. */
export interface OperationResult {
  readonly kind: Operation['kind']
  readonly pairs: readonly Pair[]
}

/** What a transaction did; `lease-not-found` when it was refused as a whole. */
export type TransactionResult = 'lease-not-found' | { readonly succeeded: boolean, readonly results: readonly OperationResult[] }

/** Gets the events of each accepted transaction. */
export type Listener = (events: readonly Event[]) => void

class Lease {
  constructor (readonly timeToLiveS: number, public expiresAtMs: number) {}
}

const COMPARISONS: Readonly<Record<Compare['result'], (found: number, operand: number) => boolean>> = {
  EQUAL: (found, operand) => found === operand,
  GREATER: (found, operand) => found > operand,
  LESS: (found, operand) => found < operand,
  NOT_EQUAL: (found, operand) => found !== operand
}

/**
 * Says whether a key is in a range; an empty end means the one key, a zero byte means no end.
 *
 * @example
 * ```ts
 * inRange('a/1', 'a/', 'a0') // true
 * ```
 */
export function inRange (key: string, start: string, end: string): boolean {
  if (end === '') return key === start
  return key >= start && (end === '\0' || key < end)
}

/** The store. Its owner calls `expireLeases` from time to time. */
export class KeyValueStore {
  revision = 1
  compactedRevision = 0
  #pairs = new Map<string, Pair>()
  #history: Event[] = []
  #nextLeaseId = FIRST_LEASE_ID
  readonly #leases = new Map<number, Lease>()
  readonly #listeners = new Set<Listener>()

  constructor (readonly now: () => number, readonly retainedRevisions: number) {}

  /** Pairs in a range, by key. */
  range (start: string, end: string): readonly Pair[] {
    if (end === '') {
      const pair = this.#pairs.get(start)
      return pair === undefined ? [] : [pair]
    }
    const found = [...this.#pairs.values()].filter((pair) => inRange(pair.key, start, end))
    return found.sort((a, b) => (a.key < b.key ? -1 : 1))
  }

  /** Carries out one of two lists of steps, all under one revision. */
  transact (compares: readonly Compare[], success: readonly Operation[], failure: readonly Operation[]): TransactionResult {
    const succeeded = compares.every((compare) => this.#holds(compare))
    const operations = succeeded ? success : failure
    if (operations.some((operation) => operation.kind === 'put' && operation.lease > 0 && !this.#leases.has(operation.lease))) return 'lease-not-found'
    const events: Event[] = []
    const results = operations.map((operation) => this.#run(operation, events))
    this.#publish(events)
    return { succeeded, results }
  }

  /** Events from a revision on, and those to come until the returned function is called. */
  watch (startRevision: number, listener: Listener): () => void {
    const past = this.#history.filter((event) => event.pair.modRevision >= startRevision)
    if (startRevision > 0 && past.length > 0) listener(past)
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  compact (revision: number): void {
    this.compactedRevision = Math.max(this.compactedRevision, Math.min(revision, this.revision))
  }

  grantLease (timeToLiveS: number): number {
    const id = this.#nextLeaseId
    this.#nextLeaseId += 1
    this.#leases.set(id, new Lease(timeToLiveS, this.now() + timeToLiveS * MS_PER_S))
    return id
  }

  /** Seconds that the lease now has; 0 when it has lapsed. */
  keepLeaseAlive (id: number): number {
    this.expireLeases()
    const lease = this.#leases.get(id)
    if (lease === undefined) return 0
    lease.expiresAtMs = this.now() + lease.timeToLiveS * MS_PER_S
    return lease.timeToLiveS
  }

  /** Deletes the lease and the keys under it; false when it has lapsed. */
  revokeLease (id: number): boolean {
    if (!this.#leases.delete(id)) return false
    const keys = [...this.#pairs.values()].filter((pair) => pair.lease === id)
    const events: Event[] = []
    for (const pair of keys) this.#delete(pair, events)
    this.#publish(events)
    return true
  }

  expireLeases (): void {
    const nowMs = this.now()
    for (const [id, lease] of this.#leases) {
      if (lease.expiresAtMs <= nowMs) this.revokeLease(id)
    }
  }

  /** Comes back with the content of an older revision, as a restored backup does. */
  restore (revision: number): void {
    this.#history = this.#history.filter((event) => event.pair.modRevision <= revision)
    this.revision = Math.min(this.revision, Math.max(1, revision))
    this.compactedRevision = Math.min(this.compactedRevision, this.revision)
    this.#leases.clear()
    this.#pairs = new Map()
    for (const { type, pair } of this.#history) {
      if (type === 'PUT') this.#pairs.set(pair.key, pair)
      else this.#pairs.delete(pair.key)
    }
  }

  #holds (compare: Compare): boolean {
    const pair = this.#pairs.get(compare.key)
    const found = { VERSION: pair?.version, CREATE: pair?.createRevision, MOD: pair?.modRevision }[compare.target]
    return COMPARISONS[compare.result](found ?? 0, compare.operand)
  }

  #run (operation: Operation, events: Event[]): OperationResult {
    if (operation.kind === 'put') {
      this.#put(operation.key, operation.value, operation.lease, events)
      return { kind: 'put', pairs: [] }
    }
    const pairs = this.range(operation.key, operation.rangeEnd)
    if (operation.kind === 'delete') for (const pair of pairs) this.#delete(pair, events)
    return { kind: operation.kind, pairs }
  }

  #put (key: string, value: string, lease: number, events: Event[]): void {
    const modRevision = this.revision + 1
    const old = this.#pairs.get(key)
    const pair = { key, value, lease, modRevision, createRevision: old?.createRevision ?? modRevision, version: (old?.version ?? 0) + 1 }
    this.#pairs.set(key, pair)
    events.push({ type: 'PUT', pair })
  }

  #delete (pair: Pair, events: Event[]): void {
    this.#pairs.delete(pair.key)
    events.push({ type: 'DELETE', pair: { key: pair.key, value: '', lease: 0, modRevision: this.revision + 1, createRevision: 0, version: 0 } })
  }

  #publish (events: readonly Event[]): void {
    if (events.length === 0) return
    this.revision += 1
    this.#history.push(...events)
    this.compact(this.revision - this.retainedRevisions)
    for (const listener of this.#listeners) listener(events)
  }
}
