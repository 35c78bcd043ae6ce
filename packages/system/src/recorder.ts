/**
 * Records the facts of a history as they occur.
 *
 * @module
 */
import type * as history from '@persimmonhatch/history'

/** A fact without its time. */
export type UntimedFact = history.history.Fact extends infer Fact ? Fact extends history.history.Fact ? Omit<Fact, 'atMs'> : never : never

/** Records facts. */
export interface Recorder {
  readonly clock: () => number
  readonly record: (fact: UntimedFact) => void
  readonly recordAt: (fact: history.history.Fact) => void
  readonly nextCall: () => number
  /** Returns the facts ordered by time. */
  readonly facts: () => readonly history.history.Fact[]
}

/**
 * Creates a recorder.
 *
 * @example
 * ```ts
 * const recorder = createRecorder()
 * recorder.record({ kind: 'stop-begun', daemon: 'entry-1' })
 * ```
 */
export function createRecorder (): Recorder {
  const facts: history.history.Fact[] = []
  let calls = 0
  // The same clock as the stand-ins: monotonic milliseconds since the epoch.
  const clock = (): number => performance.timeOrigin + performance.now()
  return {
    clock,
    record: (fact) => { facts.push({ ...fact, atMs: clock() } as history.history.Fact) },
    recordAt: (fact) => { facts.push(fact) },
    nextCall: () => {
      calls += 1
      return calls
    },
    facts: () => [...facts].sort((left, right) => left.atMs - right.atMs)
  }
}
