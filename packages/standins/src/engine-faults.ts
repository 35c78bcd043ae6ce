/**
 * Faults of the model engine that are switched on while it runs.
 *
 * @module
 */
import * as zod from 'zod'

/** Body of `POST /standin/faults`. Counts apply to the streams that start next. */
export const FAULT_CHANGE = zod.object({
  /** Factor by which the engine is slower. */
  slowdown: zod.number().min(0.01),
  /** Streams whose connection is cut after their first event; they go on in the engine. */
  cutNextStreams: zod.number().int().min(0),
  /** Streams that give one event and no more. */
  stallNextStreams: zod.number().int().min(0),
  /** Streams that end after their first event, without the event that ends a stream. */
  closeEarly: zod.number().int().min(0),
  /** Streams that send one more event after their end. */
  extraBytes: zod.number().int().min(0),
  refuseConnections: zod.boolean(),
  leaving: zod.boolean()
}).partial()

/** What goes wrong with one stream. */
export type StreamFault = 'none' | 'cut' | 'stall' | 'close-early' | 'extra-bytes'

/** Counts of the streams to come that fail. */
export class StreamFaults {
  readonly #counts = new Map<StreamFault, number>()

  change (change: zod.infer<typeof FAULT_CHANGE>): void {
    this.#set('cut', change.cutNextStreams)
    this.#set('stall', change.stallNextStreams)
    this.#set('close-early', change.closeEarly)
    this.#set('extra-bytes', change.extraBytes)
  }

  /** Takes the fault of the next stream. */
  take (): StreamFault {
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
