/**
 * Records the response to one request while it arrives, for one or more readers that each read it from the
 * first byte.
 *
 * @module
 */
import type * as entry from '@persimmonhatch/entry'
import type * as protocol from '@persimmonhatch/protocol'

/** Bytes buffered for a slow caller at which reading from the target pauses, when the record is not retained. */
const HIGH_WATER_BYTES = 1_048_576

/** One response header. */
export interface Header {
  readonly name: string
  readonly value: string
}

/** Status and headers of a target's response. */
export interface ResponseHead {
  readonly status: number
  readonly headers: readonly Header[]
  readonly receipt: entry.event.Receipt
  /** Whether the response is an event stream, so that an error can be sent inside it. */
  readonly isEventStream: boolean
}

/** A refusal by the daemon itself. */
export interface Refusal {
  readonly receipt: entry.event.Receipt
  readonly retryAfterMs: number
}

/** The next step of writing a response to a caller. */
export type Step =
  | { readonly kind: 'head', readonly head: ResponseHead }
  | { readonly kind: 'chunk', readonly bytes: Uint8Array }
  | { readonly kind: 'end' }
  | { readonly kind: 'refused', readonly refusal: Refusal }
  | { readonly kind: 'redirected', readonly address: protocol.Address }
  /** The recorded response was dropped to save memory. */
  | { readonly kind: 'dropped' }

/** A recorded response. */
export interface ResponseRecord {
  readonly start: (head: ResponseHead) => void
  /** Appends bytes; settles when more can be appended. */
  readonly append: (bytes: Uint8Array) => Promise<void>
  readonly end: () => void
  readonly refuse: (refusal: Refusal) => void
  readonly redirect: (address: protocol.Address) => void
  /** Drops the bytes of a finished response. */
  readonly drop: () => void
  /** Whether the complete response was recorded. */
  readonly isComplete: () => boolean
  readonly bufferedBytes: () => number
  /** Yields all steps from the first one; ends after the final step. */
  readonly read: () => AsyncGenerator<Step, void>
}

/**
 * Creates an empty record. Unless `isRetained` is set, there is one reader, and chunks are released once
 * it has read them.
 *
 * @example
 * ```ts
 * const record = createResponseRecord(true)
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
    const notifyWaiting = notify
    changed = nextChange()
    notifyWaiting?.()
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

  function nextChunk (index: number): Uint8Array | undefined {
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
      const pendingChange = changed
      if (head !== undefined && !headSent) {
        headSent = true
        yield { kind: 'head', head }
      }
      for (let bytes = nextChunk(index); bytes !== undefined; bytes = nextChunk(index)) {
        index += 1
        yield { kind: 'chunk', bytes }
      }
      if (finalStep !== undefined && index >= releasedChunks + chunks.length) {
        yield finalStep
        return
      }
      if (pendingChange === changed) await pendingChange
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
 * Creates the record of a response that is no longer retained.
 *
 * @example
 * ```ts
 * const record = retained.get(original)?.record ?? createDroppedRecord()
 * ```
 */
export function createDroppedRecord (): ResponseRecord {
  const record = createResponseRecord(true)
  record.end()
  record.drop()
  return record
}
