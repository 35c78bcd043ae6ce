/**
 * Collects the facts of a history while it happens.
 *
 * @module
 */
import type * as history from '@persimmonhatch/history'

/** A fact without its time. */
export type Event = history.history.Fact extends infer Fact ? Fact extends history.history.Fact ? Omit<Fact, 'atMs'> : never : never

/** Collects facts. */
export interface Recorder {
  readonly clock: () => number
  readonly record: (event: Event) => void
  readonly recordAt: (fact: history.history.Fact) => void
  readonly nextCall: () => number
  /** Facts in the order of their times. */
  readonly facts: () => readonly history.history.Fact[]
}

/**
 * Starts collecting.
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
  // The stand-ins' scale: milliseconds since 1970, rising steadily.
  const clock = (): number => performance.timeOrigin + performance.now()
  return {
    clock,
    record: (event) => { facts.push({ ...event, atMs: clock() } as history.history.Fact) },
    recordAt: (fact) => { facts.push(fact) },
    nextCall: () => {
      calls += 1
      return calls
    },
    facts: () => [...facts].sort((left, right) => left.atMs - right.atMs)
  }
}
