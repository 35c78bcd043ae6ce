/**
 * Splits a stream of server-sent events into whole events, byte by byte as the target sent them.
 *
 * @module
 */

const LINE_FEED = 10

/** Largest unfinished event, bytes; a longer one means that the stream is not one of events. */
const MAX_EVENT_BYTES = 1_048_576

/** One whole event. */
export interface StreamEvent {
  readonly bytes: Buffer
  /** The number in its `id` line; undefined without one. */
  readonly id: number | undefined
}

/** Collects pieces into events. */
export interface EventSplitter {
  readonly push: (bytes: Buffer) => Generator<StreamEvent, void>
  /** Bytes of an event that has not ended. */
  readonly pending: () => Buffer
}

/** An event grew without an end. */
export class UnterminatedEvent extends Error {
  constructor () {
    super(`An event grew over ${MAX_EVENT_BYTES} bytes without an end: check that the target speaks server-sent events.`)
    this.name = 'EndlessEvent'
  }
}

function readId (event: Buffer): number | undefined {
  const match = /^id: ?(\d+)\r?$/m.exec(event.toString('latin1'))
  return match === null ? undefined : Number(match[1])
}

function findEventEnd (bytes: Buffer): number {
  for (let index = bytes.indexOf(LINE_FEED); index >= 0; index = bytes.indexOf(LINE_FEED, index + 1)) {
    if (bytes[index + 1] === LINE_FEED) return index + 2
    if (bytes[index + 1] === 13 && bytes[index + 2] === LINE_FEED) return index + 3
  }
  return -1
}

/**
 * Starts splitting one stream.
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
      const event = pending.subarray(0, end)
      pending = pending.subarray(end)
      yield { bytes: event, id: readId(event) }
    }
    if (pending.length > MAX_EVENT_BYTES) throw new UnterminatedEvent()
  }

  return { push, pending: () => pending }
}
