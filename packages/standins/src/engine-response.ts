/**
 * Writes the response of a job to a connection.
 *
 * @module
 */
import type * as http from 'node:http'
import * as completionFormat from './completion-format.js'
import type * as engine from './engine.js'
import type * as engineFaults from './engine-faults.js'
import type * as engineJob from './engine-job.js'

/** A job, the engine that runs it, and the response to write to. */
export interface Options {
  readonly engine: engine.Engine
  readonly job: engineJob.Job
  readonly outgoing: http.ServerResponse
  readonly now: () => number
}

function recordFirstByte ({ job, now }: Options): void {
  job.firstByteAtMs ??= now()
}

// Cancels the request when the caller closes the connection.
function cancelOnClose (options: Options, isCutByFault: () => boolean): void {
  options.outgoing.on('close', () => {
    if (!isCutByFault() && !options.outgoing.writableFinished) options.engine.stop(options.job, 'cancelled')
  })
}

/**
 * Streams the events of a job from an index on.
 *
 * @example
 * ```ts
 * streamResponse({ engine, job, outgoing, now }, 0, 'none')
 * ```
 */
export function streamResponse (options: Options, after: number, fault: engineFaults.StreamFault): void {
  const { engine, job, outgoing } = options
  const endsEarly = fault === 'cut' || fault === 'close-early'
  let hasEndedEarly = false

  function endEarly (): void {
    if (fault === 'cut') {
      outgoing.socket?.destroy()
      return
    }
    engine.stop(job, 'closed-early')
    outgoing.end()
  }

  function end (): void {
    if (hasEndedEarly) return
    if (job.outcome === 'finished') outgoing.write(completionFormat.DONE_EVENT)
    if (fault === 'extra-bytes') outgoing.write(completionFormat.chunkEvent(job.toContent('after the end', false)))
    outgoing.end()
  }

  outgoing.writeHead(200, { 'content-type': 'text/event-stream' })
  outgoing.flushHeaders()
  cancelOnClose(options, () => hasEndedEarly && fault === 'cut')
  const stop = job.subscribe(after, {
    onEvent: (event) => {
      if (hasEndedEarly) return
      hasEndedEarly = endsEarly
      job.sequence.isStalled ||= fault === 'stall'
      recordFirstByte(options)
      // The fault waits until the bytes before it have been sent.
      outgoing.write(event, () => { if (endsEarly) endEarly() })
    },
    onEnd: end
  })
  outgoing.on('close', stop)
}

/**
 * Sends the complete response of a job when it is finished.
 *
 * @example
 * ```ts
 * sendCompleteResponse({ engine, job, outgoing, now })
 * ```
 */
export function sendCompleteResponse (options: Options): void {
  const { job, outgoing } = options
  cancelOnClose(options, () => false)
  const stop = job.subscribe(0, {
    onEvent: () => undefined,
    onEnd: () => {
      if (job.outcome !== 'finished') {
        outgoing.socket?.destroy()
        return
      }
      recordFirstByte(options)
      outgoing.writeHead(200, { 'content-type': 'application/json' })
      outgoing.end(JSON.stringify(completionFormat.completionBody(job.toContent(job.answerText, true))))
    }
  })
  outgoing.on('close', stop)
}
