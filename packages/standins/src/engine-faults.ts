/**
 * Faults of the model engine that can be switched while it runs.
 *
 * @module
 */
import * as zod from 'zod'

/** Body of `POST /standin/faults`. Counts apply to the next streams. */
export const FAULT_CHANGE = zod.object({
  /** Factor by which the engine is slowed down. */
  slowdown: zod.number().min(0.01),
  /** Streams whose connection is cut after their first event; the engine continues them. */
  cutNextStreams: zod.number().int().min(0),
  /** Streams that stall after their first event. */
  stallNextStreams: zod.number().int().min(0),
  /** Streams that end after their first event, without the final `[DONE]` event. */
  closeEarly: zod.number().int().min(0),
  /** Streams that send one more event after the final one. */
  extraBytes: zod.number().int().min(0),
  refuseConnections: zod.boolean(),
  leaving: zod.boolean()
}).partial()

/** The fault of one stream. */
export type StreamFault = 'none' | 'cut' | 'stall' | 'close-early' | 'extra-bytes'

/** Counts the remaining faults of each kind and assigns them to new streams. */
export class StreamFaults {
  readonly #counts = new Map<StreamFault, number>()

  applyChange (change: zod.infer<typeof FAULT_CHANGE>): void {
    this.#set('cut', change.cutNextStreams)
    this.#set('stall', change.stallNextStreams)
    this.#set('close-early', change.closeEarly)
    this.#set('extra-bytes', change.extraBytes)
  }

  /** Returns the fault of the next stream and decrements its count. */
  consumeNext (): StreamFault {
    for (const [fault, count] of this.#counts) {
      if (count === 0) continue
      this.#counts.set(fault, count - 1)
      return fault
    }
    return 'none'
  }

  #set (fault: StreamFault, count: number | undefined): void {
    if (count !== undefined) this.#counts.set(fault, count)
  }
}
