/**
 * Bounds the bytes of request bodies that a daemon holds at once. Reading pauses beyond the bound, so that callers are slowed down by
 * their connections.
 *
 * @module
 */

/** Maximum size of all bodies, bytes: a fraction of a VM's memory, since buffers take more until they are collected. */
const MAX_HELD_BYTES = 50_331_648

/** A body that is being read. */
export interface Reader {
  readonly pause: () => void
  readonly resume: () => void
}

/** The share of one body. */
export interface Account {
  readonly count: (bytes: number) => void
  /** Says that the body is complete, so that nothing of it must be read for its bytes to be released. */
  readonly complete: () => void
  /** Releases the bytes. */
  readonly end: () => void
}

/** The bytes that are held. */
export interface BodyBudget {
  readonly open: (reader: Reader) => Account
}

/** What is known of a body; a change replaces it. */
interface State {
  readonly bytes: number
  readonly isPaused: boolean
}

/**
 * Creates a budget of which nothing is used.
 *
 * @example
 * ```ts
 * const account = budget.open(incoming)
 * account.count(chunk.length)
 * ```
 */
export function createBodyBudget (maxBytes = MAX_HELD_BYTES): BodyBudget {
  /** In the order of their arrival. */
  const bodies = new Map<Reader, State>()
  let heldBytes = 0

  function update (reader: Reader, changes: Partial<State>): void {
    const state = bodies.get(reader)
    if (state !== undefined) bodies.set(reader, { ...state, ...changes })
  }

  function resume (reader: Reader): void {
    update(reader, { isPaused: false })
    reader.resume()
  }

  /** Resumes readers if there is room, or one of them if none of the bodies is complete, as nothing would be released otherwise. */
  function resumeReaders (): void {
    const paused = [...bodies].filter(([, { isPaused }]) => isPaused).map(([reader]) => reader)
    const [oldest] = paused
    if (heldBytes <= maxBytes) for (const reader of paused) resume(reader)
    else if (oldest !== undefined && paused.length === bodies.size) resume(oldest)
  }

  function count (reader: Reader, bytes: number): void {
    const state = bodies.get(reader)
    if (state === undefined) return
    heldBytes += bytes
    update(reader, { bytes: state.bytes + bytes, isPaused: heldBytes > maxBytes })
    if (heldBytes <= maxBytes) return
    reader.pause()
    resumeReaders()
  }

  function end (reader: Reader): void {
    heldBytes -= bodies.get(reader)?.bytes ?? 0
    if (bodies.delete(reader)) resumeReaders()
  }

  return {
    open: (reader) => {
      bodies.set(reader, { bytes: 0, isPaused: false })
      return {
        count: (bytes) => { count(reader, bytes) },
        complete: () => { update(reader, { isPaused: false }) },
        end: () => { end(reader) }
      }
    }
  }
}
