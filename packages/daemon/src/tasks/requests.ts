/**
 * Handles the requests of this daemon's callers: connects the entry core to caller connections and
 * dispatches.
 *
 * @module
 */
import type * as http from 'node:http'
import type * as entry from '@persimmonhatch/entry'
import * as protocol from '@persimmonhatch/protocol'
import type * as undici from 'undici'
import * as responseRecord from '../dispatch/response-record.js'
import * as dispatcher from '../dispatch/dispatcher.js'
import * as responseWriter from '../http/response-writer.js'
import * as readArrival from '../http/read-arrival.js'
import * as localResponses from '../http/local-responses.js'
import * as retainedRequests from './retained-requests.js'
import * as task from './task.js'

/** Dependencies of the task. */
export interface Options {
  readonly core: entry.entry.Entry
  readonly clock: protocol.Clock
  readonly beforeEvent: () => void
  readonly httpClient: undici.Dispatcher
  readonly hashes: readArrival.Hashes
  readonly heldAnswerBytes: number
  readonly send: (outbound: protocol.Outbound) => void
  /** Returns the addresses of other daemons, for refusals. */
  readonly addresses: () => readonly protocol.Address[]
  readonly count: (counter: string, value: number) => void
  readonly onSettled: (receipt: entry.event.Receipt) => void
  readonly onDrained: () => void
}

/** The running task. */
export interface Requests {
  readonly post: (event: entry.event.Event) => void
  readonly submit: (request: Omit<readArrival.CallerRequest, 'request'>, response: http.ServerResponse, url: string) => Promise<void>
}

/**
 * Starts the task.
 *
 * @example
 * ```ts
 * const requests = startRequests(options)
 * await requests.submit(request, response, url)
 * ```
 */
export function startRequests (options: Options): Requests {
  const retained = retainedRequests.createRetainedRequests(options.heldAnswerBytes, () => options.count('answers.dropped', 1))
  const joined = new Map<number, number>()
  let nextRequest = 1

  const entryTask = task.startTask<entry.event.Event, entry.event.Output>({
    core: options.core,
    clock: options.clock,
    beforeEvent: options.beforeEvent,
    perform
  })

  function perform (output: entry.event.Output): void {
    switch (output.kind) {
      case 'send': return options.send(output.outbound)
      case 'dispatch': return startDispatch(output.request, output.placement, output.receipt)
      case 'cancel': return retained.get(output.request)?.abort.abort()
      case 'refuse': return retained.get(output.request)?.record.refuse({ receipt: output.receipt, retryAfterMs: output.retryAfterMs })
      case 'join':
        joined.set(output.request, output.original)
        return
      case 'redirect': return retained.get(output.request)?.record.redirect(output.address)
      case 'settled': return options.onSettled(output.receipt)
      case 'forget': return retained.remove(output.request)
      case 'count': return options.count(output.counter, output.value)
      case 'drained': return options.onDrained()
    }
  }

  function startDispatch (request: number, placement: entry.event.Placement, receipt: entry.event.Receipt): void {
    const retainedRequest = retained.get(request)
    if (retainedRequest === undefined) return
    const { targetRequest, record, abort } = retainedRequest
    dispatcher.dispatch({ httpClient: options.httpClient, clock: options.clock, placement, receipt, targetRequest, record, signal: abort.signal }).then((end) => {
      if (end.outcome === 'finished' || end.outcome === 'failed') record.end()
      // A request whose target was unreachable is dispatched again, so its body is still needed.
      if (end.outcome !== 'unreachable') retained.retainResponse(request)
      entryTask.post({ kind: 'ended', request, end })
    }, (error: Error) => {
      options.count('requests.faults', 1)
      entryTask.post({ kind: 'ended', request, end: { outcome: 'crashed', detail: error.message, promptTokens: 0, cachedTokens: 0, answerTokens: 0, firstTokenMs: 0, totalMs: 0 } })
    })
  }

  function refuseMalformed (response: http.ServerResponse, error: readArrival.MalformedRequest, hasIdentity: boolean): void {
    options.count('requests.malformed', 1)
    const localResponse = localResponses.errorResponse('malformed-request', { detail: error.detail }, hasIdentity ? 'unknown' : 'not-run')
    response.writeHead(localResponse.status, localResponse.headers)
    response.end(localResponse.body)
  }

  /** Returns the record of the original request that this one joined; undefined when it joined none. */
  function joinedRecord (request: number): responseRecord.ResponseRecord | undefined {
    const original = joined.get(request)
    if (original === undefined) return undefined
    joined.delete(request)
    retained.remove(request)
    return retained.get(original)?.record ?? responseRecord.createDroppedRecord()
  }

  async function submit (callerRequest: Omit<readArrival.CallerRequest, 'request'>, response: http.ServerResponse, url: string): Promise<void> {
    const request = nextRequest
    nextRequest += 1
    const arrival = readArrival.readArrival({ ...callerRequest, request }, options.hashes)
    if (arrival.isErr()) return refuseMalformed(response, arrival.error, callerRequest.headers[protocol.HEADERS.identity] !== undefined)
    const isRetained = arrival.value.identity !== undefined
    const retainedRequest: retainedRequests.RetainedRequest = {
      record: responseRecord.createResponseRecord(isRetained),
      targetRequest: { method: callerRequest.method, path: callerRequest.path, headers: callerRequest.headers, body: callerRequest.body, promptTokens: arrival.value.promptTokens },
      abort: new AbortController()
    }
    retained.add(request, retainedRequest)
    response.once('close', () => { if (!response.writableFinished) entryTask.post({ kind: 'caller-gone', request }) })
    entryTask.post({ kind: 'arrival', arrival: arrival.value })
    const record = joinedRecord(request) ?? retainedRequest.record
    await responseWriter.writeResponse({ response, record, url, addresses: options.addresses })
    if (!isRetained) retained.remove(request)
  }

  return { post: entryTask.post, submit }
}
