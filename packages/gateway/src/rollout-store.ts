/**
 * Port for the progress of roll-outs. The store may be away at any time; without it, no permission is renewed.
 *
 * @module
 */
import type * as rollout from '@persimmonhatch/rollout'
import type * as recordStore from './record-store.js'

/** An order of the operator. */
export interface Order {
  readonly service: string
  /** Rises with each order. */
  readonly number: number
  readonly to: string
  readonly durationMs: number
  /** Whether it was written just now, rather than found when the orders were listed. */
  readonly isFresh: boolean
}

/** The progress of the latest roll-out of a service. */
export interface Progress {
  readonly order: number
  readonly to: string
  readonly durationMs: number
  /** Time of the order, Unix ms. */
  readonly startedMs: number
  readonly stage: rollout.decision.Stage
  /** Rises with each renewal. */
  readonly sequence: number
  /** Number of the last order that came while this one was in progress, and is not carried out; 0 if there is none. */
  readonly ignored: number
}

/** The progress in the store; the revision is 0 if there is no record. */
export interface StoredProgress {
  /** Undefined if there is no record or it can't be read. */
  readonly progress: Progress | undefined
  readonly revision: number
}

/** Stores the progress of roll-outs. */
export interface RolloutStore {
  readonly load: (service: string, done: recordStore.Done<StoredProgress>) => void
  /** Writes the progress if the record still has the expected revision; calls `done` with what is stored then, and whether it was written. */
  readonly write: (service: string, progress: Progress, expectedRevision: number, done: recordStore.Done<StoredProgress & { readonly isWritten: boolean }>) => void
}
