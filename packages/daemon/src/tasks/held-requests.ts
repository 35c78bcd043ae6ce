/**
 * What a daemon holds for each request: its answer's record, what to send, and how to stop it.
 *
 * @module
 */
import type * as answerRecord from '../dispatch/answer-record.js'
import type * as dispatcher from '../dispatch/dispatcher.js'

/** What is held for one request. */
export interface HeldRequest {
  readonly record: answerRecord.AnswerRecord
  readonly job: dispatcher.Job
  readonly abort: AbortController
}

/** All requests held. */
export interface HeldRequests {
  readonly add: (request: number, held: HeldRequest) => void
  readonly get: (request: number) => HeldRequest | undefined
  /** Lets the body go and counts the ended answer against the limit; the oldest answers over it are dropped. */
  readonly keep: (request: number) => void
  readonly forget: (request: number) => void
}

/** Stands for a request whose body will not be sent any more. */
const EMPTY_JOB: dispatcher.Job = { method: '', path: '', headers: {}, body: new Uint8Array(0), promptTokens: 0 }

/**
 * Starts with nothing held.
 *
 * @example
 * ```ts
 * const held = createHeldRequests(67_108_864, () => metrics.count('answers.dropped', 1))
 * ```
 */
export function createHeldRequests (limitBytes: number, onDropped: () => void): HeldRequests {
  const requests = new Map<number, HeldRequest>()
  /** Bytes of ended answers, oldest first. */
  const endedBytes = new Map<number, number>()
  let totalBytes = 0

  function release (request: number): void {
    totalBytes -= endedBytes.get(request) ?? 0
    endedBytes.delete(request)
  }

  function keep (request: number): void {
    const held = requests.get(request)
    if (held === undefined) return
    requests.set(request, { ...held, job: EMPTY_JOB })
    const bytes = held.record.heldBytes()
    endedBytes.set(request, bytes)
    totalBytes += bytes
    for (const oldest of endedBytes.keys()) {
      if (totalBytes <= limitBytes) return
      requests.get(oldest)?.record.drop()
      release(oldest)
      onDropped()
    }
  }

  function forget (request: number): void {
    requests.delete(request)
    release(request)
  }

  return {
    add: (request, held) => { requests.set(request, held) },
    get: (request) => requests.get(request),
    keep,
    forget
  }
}
