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
export interface Head {
  readonly status: number
  readonly headers: readonly Header[]
  readonly receipt: entry.event.Receipt
  /** Whether the answer is an event stream, so that an error can still be told inside it. */
  readonly eventStream: boolean
}

/** The system's own final answer. */
export interface Refusal {
  readonly receipt: entry.event.Receipt
  readonly retryAfterMs: number
}

/** What a caller's connection has to do next. */
export type Step =
  | { readonly kind: 'head', readonly head: Head }
  | { readonly kind: 'chunk', readonly bytes: Uint8Array }
  | { readonly kind: 'end' }
  | { readonly kind: 'refused', readonly refusal: Refusal }
  | { readonly kind: 'redirected', readonly address: protocol.Address }
  /** The recorded answer was dropped to save memory. */
  | { readonly kind: 'dropped' }

/** A recorded answer. */
export interface AnswerRecord {
  readonly start: (head: Head) => void
  /** Settles when more may be appended. */
  readonly append: (bytes: Uint8Array) => Promise<void>
  readonly end: () => void
  readonly refuse: (refusal: Refusal) => void
  readonly redirect: (address: protocol.Address) => void
  /** Drops the bytes of an ended answer. */
  readonly drop: () => void
  /** Whether the whole answer was recorded. */
  readonly ended: () => boolean
  readonly heldBytes: () => number
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
export function createAnswerRecord (retain: boolean): AnswerRecord {
  let head: Head | undefined
  let chunks: Uint8Array[] = []
  let released = 0
  let heldBytes = 0
  let final: Step | undefined
  let wake: (() => void) | undefined
  let changed = nextChange()
  let allowMore: (() => void) | undefined

  function nextChange (): Promise<void> {
    return new Promise((resolve) => { wake = resolve })
  }

  function announce (): void {
    const waiting = wake
    changed = nextChange()
    waiting?.()
  }

  function finish (step: Step): void {
    if (final !== undefined) return
    final = step
    allowMore?.()
    announce()
  }

  function append (bytes: Uint8Array): Promise<void> {
    chunks.push(bytes)
    heldBytes += bytes.length
    announce()
    if (retain || heldBytes < HIGH_WATER_BYTES) return Promise.resolve()
    return new Promise((resolve) => { allowMore = resolve })
  }

  function take (index: number): Uint8Array | undefined {
    const bytes = chunks[index - released]
    if (bytes === undefined || retain) return bytes
    chunks.shift()
    released += 1
    heldBytes -= bytes.length
    if (heldBytes < HIGH_WATER_BYTES) allowMore?.()
    return bytes
  }

  async function * read (): AsyncGenerator<Step, void> {
    let index = 0
    let headSent = false
    for (;;) {
      const awaited = changed
      if (head !== undefined && !headSent) {
        headSent = true
        yield { kind: 'head', head }
      }
      for (let bytes = take(index); bytes !== undefined; bytes = take(index)) {
        index += 1
        yield { kind: 'chunk', bytes }
      }
      if (final !== undefined && index >= released + chunks.length) {
        yield final
        return
      }
      if (awaited === changed) await awaited
    }
  }

  function drop (): void {
    if (final === undefined) return
    chunks = []
    released = 0
    heldBytes = 0
    head = undefined
    if (final.kind === 'end') final = { kind: 'dropped' }
  }

  return {
    start: (value) => { head = value; announce() },
    append,
    end: () => finish({ kind: 'end' }),
    refuse: (refusal) => finish({ kind: 'refused', refusal }),
    redirect: (address) => finish({ kind: 'redirected', address }),
    drop,
    ended: () => final?.kind === 'end',
    heldBytes: () => heldBytes,
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
export function createDroppedRecord (): AnswerRecord {
  const record = createAnswerRecord(true)
  record.end()
  record.drop()
  return record
}
