/**
 * Splits a stream of server-sent events into complete events and keeps their bytes unchanged.
 *
 * @module
 */

/** Maximum size of an incomplete event, bytes; a larger one means that the stream has no server-sent events. */
const MAX_EVENT_BYTES = 1_048_576

/** One complete event. */
export interface StreamEvent {
  readonly bytes: Buffer
  /** The number in the `id` line; undefined if there is none. */
  readonly id: number | undefined
  /** Whether readers of the stream receive the event; they skip comments. */
  readonly hasData: boolean
}

/** Assembles chunks into events. */
export interface EventSplitter {
  readonly push: (bytes: Buffer) => Generator<StreamEvent, void>
  /** Returns the bytes of an incomplete event. */
  readonly pending: () => Buffer
}

/** An incomplete event exceeded the maximum size. */
export class UnterminatedEvent extends Error {
  constructor () {
    super(`An event has no end within ${MAX_EVENT_BYTES} bytes: check that the target speaks server-sent events.`)
    this.name = 'UnterminatedEvent'
  }
}

/** Returns the id that a reader keeps: that of the last `id` line, if it is an integer. */
function readId (text: string): number | undefined {
  const value = [...text.matchAll(/^id(?:: ?(.*))?$/gm)].at(-1)?.[1] ?? ''
  const id = /^\d+$/.test(value) ? Number(value) : undefined
  return Number.isSafeInteger(id) ? id : undefined
}

/** Returns the end of the event that begins at `start`, or of a line without an event; -1 if it is incomplete. */
function findEventEnd (text: string, start: number): number {
  const emptyLine = /\r\n|\n|\r/y
  // A line feed may still follow a carriage return at the end, unless lines end with carriage returns alone.
  const eventEnd = /(?:\r\n|\n)(?:\r\n|\n|\r(?!\n|$))|\r\r\n?/g
  emptyLine.lastIndex = eventEnd.lastIndex = start
  if (emptyLine.test(text)) return emptyLine.lastIndex
  return eventEnd.test(text) ? eventEnd.lastIndex : -1
}

/**
 * Creates the splitter of one stream.
 *
 * @example
 * ```ts
 * const splitter = createEventSplitter()
 * for (const event of splitter.push(chunk)) forward(event.bytes)
 * ```
 */
export function createEventSplitter (): EventSplitter {
  let pending: Buffer = Buffer.alloc(0)

  function * push (bytes: Buffer): Generator<StreamEvent, void> {
    const received = pending.length === 0 ? bytes : Buffer.concat([pending, bytes])
    const text = received.toString('latin1')
    pending = received
    let start = 0
    for (let end = findEventEnd(text, start); end >= 0; end = findEventEnd(text, start)) {
      const eventText = text.slice(start, end)
      pending = received.subarray(end)
      yield { bytes: received.subarray(start, end), id: readId(eventText), hasData: /^data(:|$)/m.test(eventText) }
      start = end
    }
    if (pending.length > MAX_EVENT_BYTES) throw new UnterminatedEvent()
  }

  return { push, pending: () => pending }
}
