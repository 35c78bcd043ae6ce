/**
 * Forwards a target's response into its record and determines whether it was complete.
 *
 * @module
 */
import type * as entry from '@persimmonhatch/entry'
import type * as protocol from '@persimmonhatch/protocol'
import * as undici from 'undici'
import type * as responseRecord from './response-record.js'
import * as eventSplitter from './event-splitter.js'

/** Maximum size of a response that is buffered until it is complete, bytes; a larger one is forwarded as it arrives. */
const MAX_BUFFERED_RESPONSE_BYTES = 8_388_608

/** Maximum bytes read after the end of a stream; above it the connection is closed. */
const MAX_DISCARDED_BYTES = 4_096

/** Maximum attempts to resume an interrupted stream on the same engine. */
const MAX_RESUMES = 3

type Outcome = 'finished' | 'incomplete' | 'crashed'

/** Measures times and tokens of one dispatch. */
export interface DispatchMeter {
  readonly countToken: () => void
  readonly recordUsage: (recordUsage: eventSplitter.Usage | undefined) => void
  readonly end: (outcome: entry.event.DispatchEnd['outcome'], detail: string) => entry.event.DispatchEnd
}

/** Options of forwarding a response. */
export interface Options {
  readonly httpClient: undici.Dispatcher
  readonly placement: entry.event.Placement
  readonly record: responseRecord.ResponseRecord
  readonly signal: AbortSignal
  readonly head: responseRecord.ResponseHead
  readonly meter: DispatchMeter
  readonly body: AsyncIterable<Uint8Array>
}

/**
 * Starts measuring a dispatch.
 *
 * @example
 * ```ts
 * const meter = createDispatchMeter(clock, clock(), 120)
 * ```
 */
export function createDispatchMeter (clock: protocol.Clock, startMs: number, promptTokens: number): DispatchMeter {
  let tokens = 0
  let firstTokenMs = 0
  let reported: eventSplitter.Usage | undefined
  return {
    countToken: () => {
      tokens += 1
      if (tokens === 1) firstTokenMs = clock() - startMs
    },
    recordUsage: (usage) => { reported = usage ?? reported },
    end: (outcome, detail) => ({
      outcome,
      detail,
      promptTokens: reported?.promptTokens ?? promptTokens,
      cachedTokens: reported?.cachedTokens,
      answerTokens: reported?.answerTokens ?? tokens,
      firstTokenMs,
      totalMs: clock() - startMs
    })
  }
}

/**
 * Forwards a response that is not an event stream. It reaches the caller only when it is complete,
 * unless it is larger than `MAX_BUFFERED_RESPONSE_BYTES`.
 *
 * @example
 * ```ts
 * const outcome = await forwardResponse(options)
 * ```
 */
export async function forwardResponse (options: Options): Promise<Outcome> {
  const { record, head, meter } = options
  const buffered: Uint8Array[] = []
  let bufferedBytes = 0
  let started = false
  for await (const bytes of options.body) {
    if (!started && bufferedBytes + bytes.length <= MAX_BUFFERED_RESPONSE_BYTES) {
      buffered.push(bytes)
      bufferedBytes += bytes.length
      continue
    }
    if (!started) {
      started = true
      record.start(head)
      for (const chunk of buffered) await record.append(chunk)
    }
    await record.append(bytes)
  }
  if (started) return 'finished'
  // A response that is not streamed has no token times; only its usage is recorded.
  if (options.placement.targetKind === 'model') meter.recordUsage(eventSplitter.readUsage(Buffer.concat(buffered).toString('utf8')))
  record.start(head)
  for (const bytes of buffered) await record.append(bytes)
  return 'finished'
}

function eventData (event: eventSplitter.StreamEvent): string {
  return event.text.slice('data:'.length).trim()
}

/**
 * Forwards an event stream up to its terminating event and discards what the target sends after that.
 * An interrupted stream is resumed on the same engine after the last complete event.
 *
 * @example
 * ```ts
 * const outcome = await forwardEventStream(options)
 * ```
 */
export async function forwardEventStream (options: Options): Promise<Outcome> {
  const { record, meter } = options
  let source = options.body
  let streamId: string | undefined
  let forwarded = 0
  record.start(options.head)

  function recordEvent (event: eventSplitter.StreamEvent): void {
    if (!event.hasContent) return
    forwarded += 1
    meter.countToken()
    if (forwarded === 1) streamId = eventSplitter.readStreamId(eventData(event))
    if (event.text.includes('"usage"')) meter.recordUsage(eventSplitter.readUsage(eventData(event)))
  }

  async function forwardUntilEnd (): Promise<'finished' | 'ended-early'> {
    const splitter = eventSplitter.createEventSplitter()
    const decoder = new TextDecoder()
    const chunks = source[Symbol.asyncIterator]()
    for (let chunk = await chunks.next(); chunk.done !== true; chunk = await chunks.next()) {
      for (const event of splitter.push(decoder.decode(chunk.value, { stream: true }))) {
        recordEvent(event)
        await record.append(Buffer.from(event.text))
        if (!event.isDone) continue
        discardRemainder(chunks).then(undefined, () => {})
        return 'finished'
      }
    }
    return 'ended-early'
  }

  async function tryForward (): Promise<'finished' | 'ended-early' | 'broken'> {
    try {
      return await forwardUntilEnd()
    } catch (error) {
      if (options.signal.aborted) throw error
      return 'broken'
    }
  }

  for (let resumes = 0; ; resumes += 1) {
    const ending = await tryForward()
    if (ending === 'finished') return 'finished'
    if (streamId === undefined || resumes >= MAX_RESUMES || options.signal.aborted) return ending === 'broken' ? 'crashed' : 'incomplete'
    const resumed = await resume(options, streamId, forwarded)
    if (resumed === 'refused') return 'incomplete'
    // An engine that has become unreachable crashed together with the stream.
    if (resumed === 'unreachable') return 'crashed'
    source = resumed
  }
}

/** Reads the rest of a stream so that its connection can be reused, or closes the connection above `MAX_DISCARDED_BYTES`. */
async function discardRemainder (chunks: AsyncIterator<Uint8Array>): Promise<void> {
  let discardedBytes = 0
  for (let chunk = await chunks.next(); chunk.done !== true; chunk = await chunks.next()) {
    discardedBytes += chunk.value.length
    if (discardedBytes > MAX_DISCARDED_BYTES) await chunks.return?.()
  }
}

async function resume (options: Options, streamId: string, after: number): Promise<AsyncIterable<Uint8Array> | 'refused' | 'unreachable'> {
  try {
    const response = await undici.request(`http://${options.placement.address}/v1/streams/${encodeURIComponent(streamId)}?after=${after}`, {
      dispatcher: options.httpClient,
      method: 'GET',
      signal: options.signal
    })
    if (response.statusCode === 200) return response.body
    await response.body.dump()
    return 'refused'
  } catch {
    return 'unreachable'
  }
}
