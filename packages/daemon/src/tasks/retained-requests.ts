/**
 * What a daemon holds for each request: its answer's record, what to send, and how to stop it.
 *
 * @module
 */
import type * as responseRecord from '../dispatch/response-record.js'
import type * as dispatcher from '../dispatch/dispatcher.js'

/** What is held for one request. */
export interface RetainedRequest {
  readonly record: responseRecord.ResponseRecord
  readonly targetRequest: dispatcher.TargetRequest
  readonly abort: AbortController
}

/** All requests held. */
export interface RetainedRequests {
  readonly add: (request: number, retained: RetainedRequest) => void
  readonly get: (request: number) => RetainedRequest | undefined
  /** Lets the body go and counts the ended answer against the limit; the oldest answers over it are dropped. */
  readonly retainResponse: (request: number) => void
  readonly remove: (request: number) => void
}

/** Stands for a request whose body will not be sent any more. */
const EMPTY_TARGET_REQUEST: dispatcher.TargetRequest = { method: '', path: '', headers: {}, body: new Uint8Array(0), promptTokens: 0 }

/**
 * Starts with nothing held.
 *
 * @example
 * ```ts
 * const held = createHeldRequests(67_108_864, () => metrics.count('answers.dropped', 1))
 * ```
 */
export function createRetainedRequests (limitBytes: number, onDropped: () => void): RetainedRequests {
  const requests = new Map<number, RetainedRequest>()
  /** Bytes of ended answers, oldest first. */
  const endedBytes = new Map<number, number>()
  let totalBytes = 0

  function discountBytes (request: number): void {
    totalBytes -= endedBytes.get(request) ?? 0
    endedBytes.delete(request)
  }

  function retainResponse (request: number): void {
    const retained = requests.get(request)
    if (retained === undefined) return
    requests.set(request, { ...retained, targetRequest: EMPTY_TARGET_REQUEST })
    const bytes = retained.record.bufferedBytes()
    endedBytes.set(request, bytes)
    totalBytes += bytes
    for (const oldest of endedBytes.keys()) {
      if (totalBytes <= limitBytes) return
      requests.get(oldest)?.record.drop()
      discountBytes(oldest)
      onDropped()
    }
  }

  function remove (request: number): void {
    requests.delete(request)
    discountBytes(request)
  }

  return {
    add: (request, retained) => { requests.set(request, retained) },
    get: (request) => requests.get(request),
    retainResponse,
    remove
  }
}
