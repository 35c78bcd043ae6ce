/**
 * Checks event by event that the ids of a stream increase, within one response and over those of several targets.
 *
 * Ids may skip, as an event may hold several tokens, so a missing event does not show in them.
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

/** The continuity of one response. */
export interface ResponseContinuity {
  /** Yields the events that continue the stream, and throws a {@link Discontinuity} after the last of them. */
  readonly follow: (events: Iterable<streamEvents.StreamEvent>) => Generator<streamEvents.StreamEvent, void>
  /** Returns whether the response has not reached the last event that the caller has. */
  readonly isBehind: () => boolean
}

/** What the caller has of the stream. */
export interface Options {
  /** Id of the last event that the caller had before; undefined if it had none. */
  readonly lastId: number | undefined
}

/** The continuity of the stream that one caller receives. */
export interface StreamContinuity {
  /** Returns the id of the last event that the caller has; undefined if it has none with an id. */
  readonly lastId: () => number | undefined
  /** Returns whether another target can go on behind the last event that the caller has, which needs an id for that. */
  readonly isResumable: () => boolean
  /** Begins the next response, which may repeat events that the caller has at its start: these are dropped. */
  readonly beginResponse: () => ResponseContinuity
}

/**
 * Creates the continuity of a stream.
 *
 * @example
 * ```ts
 * const continuity = createStreamContinuity({ lastId: undefined })
 * const response = continuity.beginResponse()
 * for (const event of response.follow(splitter.push(chunk))) forward(event.bytes)
 * ```
 */
export function createStreamContinuity ({ lastId: initialId }: Options): StreamContinuity {
  let lastId = initialId
  let isResumable = true

  /** Returns whether an event is new to the caller. */
  function isNew (id: number, previousId: number | undefined): boolean {
    if (lastId === undefined) return true
    // A run with other boundaries between its events: the next one overlaps with what the caller has.
    if (previousId !== undefined && previousId < lastId && id > lastId) throw new Discontinuity(`the target repeats event ${previousId} and goes on at event ${id} without event ${lastId}, the last one that the caller has`)
    return id > lastId
  }

  function beginResponse (): ResponseContinuity {
    let previousId: number | undefined
    let isRepeating = false

    function * follow (events: Iterable<streamEvents.StreamEvent>): Generator<streamEvents.StreamEvent, void> {
      for (const event of events) {
        const { id } = event
        if (id !== undefined) {
          if (previousId !== undefined && id <= previousId) throw new Discontinuity(`the target sent event ${id} after event ${previousId}`)
          isRepeating = !isNew(id, previousId)
          previousId = id
        }
        if (isRepeating) continue
        lastId = id ?? lastId
        isResumable = id !== undefined || (isResumable && !event.hasData)
        yield event
      }
    }

    return { follow, isBehind: () => previousId !== undefined && lastId !== undefined && previousId < lastId }
  }

  return { lastId: () => lastId, isResumable: () => isResumable, beginResponse }
}
