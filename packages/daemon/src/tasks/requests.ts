/**
 * The requests of this daemon's callers: joins the entry core to connections and dispatches.
 *
 * @module
 */
import type * as http from 'node:http'
import type * as entry from '@persimmonhatch/entry'
import * as protocol from '@persimmonhatch/protocol'
import type * as undici from 'undici'
import * as answerRecord from '../dispatch/answer-record.js'
import * as dispatcher from '../dispatch/dispatcher.js'
import * as answerWriter from '../http/answer-writer.js'
import * as readArrival from '../http/read-arrival.js'
import * as refusalBody from '../http/refusal-body.js'
import * as heldRequests from './held-requests.js'
import * as task from './task.js'

/** What the task needs of its surroundings. */
export interface Options {
  readonly core: entry.entry.Entry
  readonly clock: protocol.Clock
  readonly beforeEvent: () => void
  readonly httpClient: undici.Dispatcher
  readonly hashes: readArrival.Hashes
  readonly heldAnswerBytes: number
  readonly send: (outbound: protocol.Outbound) => void
  /** Other addresses to name in refusals. */
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
  const held = heldRequests.createHeldRequests(options.heldAnswerBytes, () => options.count('answers.dropped', 1))
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
      case 'cancel': return held.get(output.request)?.abort.abort()
      case 'refuse': return held.get(output.request)?.record.refuse({ receipt: output.receipt, retryAfterMs: output.retryAfterMs })
      case 'join':
        joined.set(output.request, output.original)
        return
      case 'redirect': return held.get(output.request)?.record.redirect(output.address)
      case 'settled': return options.onSettled(output.receipt)
      case 'forget': return held.forget(output.request)
      case 'count': return options.count(output.counter, output.value)
      case 'drained': return options.onDrained()
    }
  }

  function startDispatch (request: number, placement: entry.event.Placement, receipt: entry.event.Receipt): void {
    const state = held.get(request)
    if (state === undefined) return
    const { job, record, abort } = state
    dispatcher.dispatch({ httpClient: options.httpClient, clock: options.clock, placement, receipt, job, record, signal: abort.signal }).then((end) => {
      if (end.outcome === 'finished' || end.outcome === 'failed') record.end()
      // An unreachable target leads to another dispatch, which needs the body.
      if (end.outcome !== 'unreachable') held.keep(request)
      entryTask.post({ kind: 'ended', request, end })
    }, (error: Error) => {
      options.count('requests.faults', 1)
      entryTask.post({ kind: 'ended', request, end: { outcome: 'crashed', detail: error.message, promptTokens: 0, cachedTokens: 0, answerTokens: 0, firstTokenMs: 0, totalMs: 0 } })
    })
  }

  function refuseUnread (response: http.ServerResponse, error: readArrival.MalformedRequest, isNamed: boolean): void {
    options.count('requests.malformed', 1)
    const reply = refusalBody.plainReply('malformed-request', { detail: error.detail }, isNamed ? 'unknown' : 'not-run')
    response.writeHead(reply.status, reply.headers)
    response.end(reply.body)
  }

  /** The record of the request that this one joined; undefined when it stands alone. */
  function joinedRecord (request: number): answerRecord.AnswerRecord | undefined {
    const original = joined.get(request)
    if (original === undefined) return undefined
    joined.delete(request)
    held.forget(request)
    return held.get(original)?.record ?? answerRecord.createDroppedRecord()
  }

  async function submit (unnumbered: Omit<readArrival.CallerRequest, 'request'>, response: http.ServerResponse, url: string): Promise<void> {
    const request = nextRequest
    nextRequest += 1
    const arrival = readArrival.readArrival({ ...unnumbered, request }, options.hashes)
    if (arrival.isErr()) return refuseUnread(response, arrival.error, unnumbered.headers[protocol.HEADERS.identity] !== undefined)
    const retained = arrival.value.identity !== undefined
    const own: heldRequests.HeldRequest = {
      record: answerRecord.createAnswerRecord(retained),
      job: { method: unnumbered.method, path: unnumbered.path, headers: unnumbered.headers, body: unnumbered.body, promptTokens: arrival.value.promptTokens },
      abort: new AbortController()
    }
    held.add(request, own)
    response.once('close', () => { if (!response.writableFinished) entryTask.post({ kind: 'caller-gone', request }) })
    entryTask.post({ kind: 'arrival', arrival: arrival.value })
    const record = joinedRecord(request) ?? own.record
    await answerWriter.writeAnswer({ response, record, url, addresses: options.addresses })
    if (!retained) held.forget(request)
  }

  return { post: entryTask.post, submit }
}
