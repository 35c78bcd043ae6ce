/**
 * The answer to one request, recorded while it arrives, read by one or more callers from its first byte.
 *
 * @module
 */
import type * as entry from '@persimmonhatch/entry'
import type * as protocol from '@persimmonhatch/protocol'

/** Bytes waiting for a slow caller above which the target is read no further, when nobody else can join. */
const HIGH_WATER_BYTES = 1_048_576

/** One response header. */
export interface Header {
  readonly name: string
  readonly value: string
}

/** Status and headers of a target's answer. */
export interface ResponseHead {
  readonly status: number
  readonly headers: readonly Header[]
  readonly receipt: entry.event.Receipt
  /** Whether the answer is an event stream, so that an error can still be told inside it. */
  readonly isEventStream: boolean
}

/** The system's own final answer. */
export interface Refusal {
  readonly receipt: entry.event.Receipt
  readonly retryAfterMs: number
}

/** What a caller's connection has to do next. */
export type Step =
  | { readonly kind: 'head', readonly head: ResponseHead }
  | { readonly kind: 'chunk', readonly bytes: Uint8Array }
  | { readonly kind: 'end' }
  | { readonly kind: 'refused', readonly refusal: Refusal }
  | { readonly kind: 'redirected', readonly address: protocol.Address }
  /** The recorded answer was dropped to save memory. */
  | { readonly kind: 'dropped' }

/** A recorded answer. */
export interface ResponseRecord {
  readonly start: (head: ResponseHead) => void
  /** Settles when more may be appended. */
  readonly append: (bytes: Uint8Array) => Promise<void>
  readonly end: () => void
  readonly refuse: (refusal: Refusal) => void
  readonly redirect: (address: protocol.Address) => void
  /** Drops the bytes of an ended answer. */
  readonly drop: () => void
  /** Whether the whole answer was recorded. */
  readonly isComplete: () => boolean
  readonly bufferedBytes: () => number
  /** All steps from the first; ends after a final step. */
  readonly read: () => AsyncGenerator<Step, void>
}

/**
 * Starts recording. Unless `retain` is set, chunks are given to the only reader and then let go.
 *
 * @example
 * ```ts
 * const record = createAnswerRecord(true)
 * for await (const step of record.read()) write(step)
 * ```
 */
export function createResponseRecord (isRetained: boolean): ResponseRecord {
  let head: ResponseHead | undefined
  let chunks: Uint8Array[] = []
  let releasedChunks = 0
  let bufferedBytes = 0
  let finalStep: Step | undefined
  let notify: (() => void) | undefined
  let changed = nextChange()
  let allowAppend: (() => void) | undefined

  function nextChange (): Promise<void> {
    return new Promise((resolve) => { notify = resolve })
  }

  function notifyReaders (): void {
    const waiting = notify
    changed = nextChange()
    waiting?.()
  }

  function finish (step: Step): void {
    if (finalStep !== undefined) return
    finalStep = step
    allowAppend?.()
    notifyReaders()
  }

  function append (bytes: Uint8Array): Promise<void> {
    chunks.push(bytes)
    bufferedBytes += bytes.length
    notifyReaders()
    if (isRetained || bufferedBytes < HIGH_WATER_BYTES) return Promise.resolve()
    return new Promise((resolve) => { allowAppend = resolve })
  }

  function takeChunk (index: number): Uint8Array | undefined {
    const bytes = chunks[index - releasedChunks]
    if (bytes === undefined || isRetained) return bytes
    chunks.shift()
    releasedChunks += 1
    bufferedBytes -= bytes.length
    if (bufferedBytes < HIGH_WATER_BYTES) allowAppend?.()
    return bytes
  }

  async function * read (): AsyncGenerator<Step, void> {
    let index = 0
    let headSent = false
    for (;;) {
      const lastChange = changed
      if (head !== undefined && !headSent) {
        headSent = true
        yield { kind: 'head', head }
      }
      for (let bytes = takeChunk(index); bytes !== undefined; bytes = takeChunk(index)) {
        index += 1
        yield { kind: 'chunk', bytes }
      }
      if (finalStep !== undefined && index >= releasedChunks + chunks.length) {
        yield finalStep
        return
      }
      if (lastChange === changed) await lastChange
    }
  }

  function drop (): void {
    if (finalStep === undefined) return
    chunks = []
    releasedChunks = 0
    bufferedBytes = 0
    head = undefined
    if (finalStep.kind === 'end') finalStep = { kind: 'dropped' }
  }

  return {
    start: (value) => { head = value; notifyReaders() },
    append,
    end: () => finish({ kind: 'end' }),
    refuse: (refusal) => finish({ kind: 'refused', refusal }),
    redirect: (address) => finish({ kind: 'redirected', address }),
    drop,
    isComplete: () => finalStep?.kind === 'end',
    bufferedBytes: () => bufferedBytes,
    read
  }
}

/**
 * A record whose answer is no longer held.
 *
 * @example
 * ```ts
 * const record = held.get(original)?.record ?? createDroppedRecord()
 * ```
 */
export function createDroppedRecord (): ResponseRecord {
  const record = createResponseRecord(true)
  record.end()
  record.drop()
  return record
}
