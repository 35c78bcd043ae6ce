/**
 * Store with revisions, transactions, leases and watches like those of etcd v3. Keys and values are
 * byte strings (one character per byte), so that keys are ordered by their bytes.
 *
 * @module
 */

const MS_PER_S = 1_000
const FIRST_LEASE_ID = 1_000_000

/** A stored key-value pair. */
export interface Pair {
  readonly key: string
  readonly value: string
  readonly createRevision: number
  readonly modRevision: number
  readonly version: number
  /** 0 when the pair has no lease. */
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

/** The pairs that one step found or deleted. */
export interface OperationResult {
  readonly kind: Operation['kind']
  readonly pairs: readonly Pair[]
}

/** The result of a transaction; `lease-not-found` when all of it was rejected. */
export type TransactionResult = 'lease-not-found' | { readonly succeeded: boolean, readonly results: readonly OperationResult[] }

/** Receives the events of each accepted transaction. */
export type Listener = (events: readonly Event[]) => void

class Lease {
  constructor (readonly timeToLiveS: number, public expiresAtMs: number) {}
}

const COMPARISONS: Readonly<Record<Compare['result'], (actual: number, operand: number) => boolean>> = {
  EQUAL: (actual, operand) => actual === operand,
  GREATER: (actual, operand) => actual > operand,
  LESS: (actual, operand) => actual < operand,
  NOT_EQUAL: (actual, operand) => actual !== operand
}

/**
 * Checks whether a key is in a range; an empty end selects the single key, a zero byte means no end.
 *
 * @example
 * ```ts
 * isInRange('a/1', 'a/', 'a0') // true
 * ```
 */
export function isInRange (key: string, start: string, end: string): boolean {
  if (end === '') return key === start
  return key >= start && (end === '\0' || key < end)
}

/** The store. Its owner calls `expireLeases` periodically. */
export class KeyValueStore {
  revision = 1
  compactedRevision = 0
  #pairs = new Map<string, Pair>()
  #history: Event[] = []
  #nextLeaseId = FIRST_LEASE_ID
  readonly #leases = new Map<number, Lease>()
  readonly #listeners = new Set<Listener>()

  constructor (readonly now: () => number, readonly retainedRevisions: number) {}

  /** Returns the pairs in a range, ordered by key. */
  range (start: string, end: string): readonly Pair[] {
    if (end === '') {
      const pair = this.#pairs.get(start)
      return pair === undefined ? [] : [pair]
    }
    const found = [...this.#pairs.values()].filter((pair) => isInRange(pair.key, start, end))
    return found.sort((a, b) => (a.key < b.key ? -1 : 1))
  }

  /** Executes one of two lists of steps, all under one revision. */
  transact (compares: readonly Compare[], success: readonly Operation[], failure: readonly Operation[]): TransactionResult {
    const succeeded = compares.every((compare) => this.#isSatisfied(compare))
    const operations = succeeded ? success : failure
    if (operations.some((operation) => operation.kind === 'put' && operation.lease > 0 && !this.#leases.has(operation.lease))) return 'lease-not-found'
    const events: Event[] = []
    const results = operations.map((operation) => this.#execute(operation, events))
    this.#publish(events)
    return { succeeded, results }
  }

  /** Passes past and future events from a revision on to a listener, until the returned function is called. */
  watch (startRevision: number, listener: Listener): () => void {
    const pastEvents = this.#history.filter((event) => event.pair.modRevision >= startRevision)
    if (startRevision > 0 && pastEvents.length > 0) listener(pastEvents)
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

  /** Renews a lease; returns its time to live in seconds, or 0 when it has expired. */
  keepLeaseAlive (id: number): number {
    this.expireLeases()
    const lease = this.#leases.get(id)
    if (lease === undefined) return 0
    lease.expiresAtMs = this.now() + lease.timeToLiveS * MS_PER_S
    return lease.timeToLiveS
  }

  /** Deletes a lease and its keys; returns false when it has expired. */
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

  /** Restores the content of an older revision, like a restored backup. */
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

  #isSatisfied (compare: Compare): boolean {
    const pair = this.#pairs.get(compare.key)
    const actual = { VERSION: pair?.version, CREATE: pair?.createRevision, MOD: pair?.modRevision }[compare.target]
    return COMPARISONS[compare.result](actual ?? 0, compare.operand)
  }

  #execute (operation: Operation, events: Event[]): OperationResult {
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
    const existing = this.#pairs.get(key)
    const pair = { key, value, lease, modRevision, createRevision: existing?.createRevision ?? modRevision, version: (existing?.version ?? 0) + 1 }
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
