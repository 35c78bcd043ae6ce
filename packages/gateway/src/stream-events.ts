/**
 * Splits a stream of server-sent events into complete events and keeps their bytes unchanged.
 *
 * @module
 */

const LINE_FEED = 10

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

function readEvent (bytes: Buffer): StreamEvent {
  const text = bytes.toString('latin1')
  const match = /^id: ?(\d+)\r?$/m.exec(text)
  return { bytes, id: match === null ? undefined : Number(match[1]), hasData: /^data(:|\r?$)/m.test(text) }
}

function findEventEnd (bytes: Buffer): number {
  for (let index = bytes.indexOf(LINE_FEED); index >= 0; index = bytes.indexOf(LINE_FEED, index + 1)) {
    if (bytes[index + 1] === LINE_FEED) return index + 2
    if (bytes[index + 1] === 13 && bytes[index + 2] === LINE_FEED) return index + 3
  }
  return -1
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
    pending = pending.length === 0 ? bytes : Buffer.concat([pending, bytes])
    for (let end = findEventEnd(pending); end >= 0; end = findEventEnd(pending)) {
      const event = readEvent(pending.subarray(0, end))
      pending = pending.subarray(end)
      yield event
    }
    if (pending.length > MAX_EVENT_BYTES) throw new UnterminatedEvent()
  }

  return { push, pending: () => pending }
}
