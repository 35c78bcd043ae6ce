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

/** Time after which the next read is sent although one has no result, ms. */
const READ_TIMEOUT_MS = 2_000

/** Time between two ticks beyond which the process was suspended, ms. */
const MAX_TICK_INTERVAL_MS = 400

interface Waiting {
  readonly done: (isRead: boolean) => void
  readonly sinceMs: number
  readonly untilMs: number
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
  let nextReadMs = -Infinity
  let lastTickMs = now()

  /** Ends the waits for which the function returns true. */
  function release (isReleased: (each: Waiting) => boolean, isRead: boolean): void {
    const released = waiting.filter(isReleased)
    waiting = waiting.filter((each) => !released.includes(each))
    for (const { done } of released) done(isRead)
  }

  function readWhenDue (): void {
    const begunMs = now()
    if (begunMs < nextReadMs || (waiting.length === 0 && !isNeeded())) return
    const timeoutMs = begunMs + READ_TIMEOUT_MS
    nextReadMs = timeoutMs
    read((isRead) => {
      if (nextReadMs === timeoutMs) nextReadMs = begunMs + INTERVAL_MS
      if (isRead) release(({ sinceMs }) => sinceMs <= begunMs, true)
      readWhenDue()
    })
  }

  /** Extends the waits by the time in which the process was suspended, as the answers to their reads may wait in sockets. */
  function extendBySuspension (nowMs: number): void {
    const suspendedMs = nowMs - lastTickMs - MAX_TICK_INTERVAL_MS
    lastTickMs = nowMs
    if (suspendedMs > 0) waiting = waiting.map((each) => ({ ...each, untilMs: each.untilMs + suspendedMs + MAX_WAIT_MS }))
  }

  return {
    request: (done) => {
      const sinceMs = now()
      waiting = [...waiting, { done, sinceMs, untilMs: sinceMs + MAX_WAIT_MS }]
      readWhenDue()
    },
    tick: () => {
      const nowMs = now()
      extendBySuspension(nowMs)
      release(({ untilMs }) => nowMs > untilMs, false)
      readWhenDue()
    }
  }
}
