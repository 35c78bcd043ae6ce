/**
 * Checks event by event that a stream goes on without a gap or a repetition, within one response and over those of several targets.
 *
 * @module
 */
import type * as streamEvents from './stream-events.js'

/** The events of a response do not continue the stream. */
export class Discontinuity extends Error {
  constructor (message: string) {
    super(message)
    this.name = 'Discontinuity'
  }
}

/** Yields the events of one response that continue the stream, and throws a {@link Discontinuity} after the last of them. */
export type EventCheck = (events: Iterable<streamEvents.StreamEvent>) => Generator<streamEvents.StreamEvent, void>

/** What is known of the ids of a stream. */
export interface Options {
  /** Whether ids are consecutive, as in streams that are resumed by id; otherwise they only increase. */
  readonly isConsecutive: boolean
  /** Id of the last event that the caller had before; undefined if it had none. */
  readonly lastId: number | undefined
}

/** The continuity of the stream that one caller receives. */
export interface StreamContinuity {
  /** Returns the id of the last event that the caller has; undefined if it has none with an id. */
  readonly lastId: () => number | undefined
  /** Returns the check of the next response, which may begin with events that the caller has: these are dropped. */
  readonly beginResponse: () => EventCheck
}

/**
 * Creates the continuity of a stream.
 *
 * @example
 * ```ts
 * const continuity = createStreamContinuity({ isConsecutive: true, lastId: undefined })
 * const check = continuity.beginResponse()
 * for (const event of check(splitter.push(chunk))) forward(event.bytes)
 * ```
 */
export function createStreamContinuity ({ isConsecutive, lastId: initialId }: Options): StreamContinuity {
  let lastId = initialId

  /** Returns whether an event is new to the caller. */
  function isNew (id: number): boolean {
    if (lastId === undefined) return true
    if (isConsecutive && id > lastId + 1) throw new Discontinuity(`the stream continues at event ${id} after event ${lastId}`)
    return id > lastId
  }

  function beginResponse (): EventCheck {
    let previousId: number | undefined
    let isBehind = false

    return function * check (events) {
      for (const event of events) {
        const { id } = event
        if (id !== undefined) {
          if (previousId !== undefined && id <= previousId) throw new Discontinuity(`the target sent event ${id} after event ${previousId}`)
          previousId = id
          isBehind = !isNew(id)
        }
        if (isBehind) continue
        lastId = id ?? lastId
        yield event
      }
    }
  }

  return { lastId: () => lastId, beginResponse }
}
