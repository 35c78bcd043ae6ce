/**
 * State retained for each request: the record of its response, the request to the target, and its abort
 * controller.
 *
 * @module
 */
import type * as responseRecord from '../dispatch/response-record.js'
import type * as dispatcher from '../dispatch/dispatcher.js'

/** State of one request. */
export interface RetainedRequest {
  readonly record: responseRecord.ResponseRecord
  readonly targetRequest: dispatcher.TargetRequest
  readonly abort: AbortController
}

/** The retained requests, by their number. */
export interface RetainedRequests {
  readonly add: (request: number, retained: RetainedRequest) => void
  readonly get: (request: number) => RetainedRequest | undefined
  /** Releases the request body and counts the finished response against the limit; drops the oldest responses above it. */
  readonly retainResponse: (request: number) => void
  readonly remove: (request: number) => void
}

/** Replaces the request to the target when its body is no longer needed. */
const EMPTY_TARGET_REQUEST: dispatcher.TargetRequest = { method: '', path: '', headers: {}, body: new Uint8Array(0), promptTokens: 0 }

/**
 * Creates an empty collection.
 *
 * @example
 * ```ts
 * const retained = createRetainedRequests(67_108_864, () => metrics.count('answers.dropped', 1))
 * ```
 */
export function createRetainedRequests (limitBytes: number, onDropped: () => void): RetainedRequests {
  const requests = new Map<number, RetainedRequest>()
  /** Sizes of the finished responses, oldest first. */
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
