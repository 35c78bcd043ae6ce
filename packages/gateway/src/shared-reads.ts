/**
 * Reads that several requests wait for. Each of them gets the result of a read that was sent after it had asked, since
 * the answer to an earlier one, however late it arrives, says nothing of what has changed since that was sent.
 *
 * @module
 */

/** Dependencies of the reads. */
export interface Options {
  /** Steady time, ms. */
  readonly now: () => number
  /** Sends a read, and calls `done` with whether it has succeeded. */
  readonly read: (done: (isRead: boolean) => void) => void
  /** Whether a read is needed although nobody waits for it. */
  readonly isNeeded: () => boolean
}

/** Reads that are shared by those who wait for them. */
export interface SharedReads {
  /** Calls `done` once, with whether a read that was sent after this call has succeeded; false after a short time without one. */
  readonly request: (done: (isRead: boolean) => void) => void
  /** Sends a read that is due and ends waits that have lasted too long; called several times a second. */
  readonly tick: () => void
}

/** Minimum time from the start of a read to that of the next one, ms. */
const INTERVAL_MS = 300

/** Maximum time for which a request waits, ms. */
export const MAX_WAIT_MS = 800

interface Waiting {
  readonly done: (isRead: boolean) => void
  readonly sinceMs: number
}

/**
 * Creates reads of which none has been sent yet.
 *
 * @example
 * ```ts
 * const reads = createSharedReads({ now, read: (done) => { load((result) => { done(result.isOk()) }) }, isNeeded: () => false })
 * reads.request((isRead) => { if (isRead) proceed() })
 * ```
 */
export function createSharedReads ({ now, read, isNeeded }: Options): SharedReads {
  let waiting: readonly Waiting[] = []
  let isReading = false
  let nextReadMs = -Infinity

  /** Ends the waits for which the function returns true. */
  function release (isReleased: (each: Waiting) => boolean, isRead: boolean): void {
    const released = waiting.filter(isReleased)
    waiting = waiting.filter((each) => !released.includes(each))
    for (const { done } of released) done(isRead)
  }

  function readWhenDue (): void {
    const begunMs = now()
    if (isReading || begunMs < nextReadMs || (waiting.length === 0 && !isNeeded())) return
    isReading = true
    nextReadMs = begunMs + INTERVAL_MS
    read((isRead) => {
      isReading = false
      if (isRead) release(({ sinceMs }) => sinceMs <= begunMs, true)
    })
  }

  return {
    request: (done) => {
      waiting = [...waiting, { done, sinceMs: now() }]
      readWhenDue()
    },
    tick: () => {
      const nowMs = now()
      release(({ sinceMs }) => nowMs - sinceMs > MAX_WAIT_MS, false)
      readWhenDue()
    }
  }
}
