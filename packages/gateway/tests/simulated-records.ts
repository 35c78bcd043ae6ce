/**
 * Records of a simulated store, which answers after some milliseconds or, while it is away, fails each call.
 */
import * as neverthrow from 'neverthrow'
import type * as recordStore from '../src/record-store.js'

const LATENCY_MS = 10

/** Time to live of the records that lapse, ms. */
const LAPSE_MS = 60_000

export interface SimulatedRecords {
  readonly storeOf: (daemon: number) => recordStore.RecordStore
  /** Sets whether a daemon's calls are answered. */
  readonly setReach: (isReached: (daemon: number) => boolean) => void
  /** Sets the time after which a call is answered, ms. */
  readonly setLatency: (latencyMs: number) => void
  /** Returns the number of calls so far. */
  readonly calls: () => number
}

interface StoredRecord {
  readonly value: string
  readonly lapsesMs: number
}

export function createSimulatedRecords (now: () => number, schedule: (afterMs: number, run: () => void) => void): SimulatedRecords {
  const stored = new Map<string, StoredRecord>()
  let isReached: (daemon: number) => boolean = () => true
  let latencyMs = LATENCY_MS
  let calls = 0

  function call<Value> (daemon: number, run: () => Value, done: recordStore.Done<Value>): void {
    calls += 1
    schedule(latencyMs, () => { done(isReached(daemon) ? neverthrow.ok(run()) : neverthrow.err(new Error('The store does not answer; wait until it is back.'))) })
  }

  return {
    storeOf: (daemon) => ({
      load: (done) => { call(daemon, () => new Map([...stored].filter(([, { lapsesMs }]) => lapsesMs > now()).map(([name, { value }]) => [name, value])), done) },
      replace: (name, next, done) => { call(daemon, () => { stored.set(name, { value: next(stored.get(name)?.value), lapsesMs: Infinity }) }, done) },
      keep: (name, value, done) => { call(daemon, () => { stored.set(name, { value, lapsesMs: now() + LAPSE_MS }) }, done) }
    }),
    setReach: (next) => { isReached = next },
    setLatency: (next) => { latencyMs = next },
    calls: () => calls
  }
}
