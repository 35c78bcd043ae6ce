/**
 * Writes a job's answer to a connection.
 *
 * @module
 */
import type * as http from 'node:http'
import * as completionFormat from './completion-format.js'
import type * as engine from './engine.js'
import type * as engineFaults from './engine-faults.js'
import type * as engineJob from './engine-job.js'

/** A job, the engine that runs it, and the connection that gets its answer. */
export interface Options {
  readonly engine: engine.Engine
  readonly job: engineJob.Job
  readonly outgoing: http.ServerResponse
  readonly now: () => number
}

function markFirstByte ({ job, now }: Options): void {
  job.firstByteAtMs ??= now()
}

// A connection that the caller closes cancels the request.
function cancelOnClose (options: Options, isCutHere: () => boolean): void {
  options.outgoing.on('close', () => {
    if (!isCutHere() && !options.outgoing.writableFinished) options.engine.stop(options.job, 'cancelled')
  })
}

/**
 * Streams the events of a job, from an index on.
 *
 * @example
 * ```ts
 * streamAnswer({ engine, job, outgoing, now }, 0, 'none')
 * ```
 */
export function streamAnswer (options: Options, after: number, fault: engineFaults.StreamFault): void {
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
    if (fault === 'extra-bytes') outgoing.write(completionFormat.chunkEvent(job.content('after the end', false)))
    outgoing.end()
  }

  outgoing.writeHead(200, { 'content-type': 'text/event-stream' })
  outgoing.flushHeaders()
  cancelOnClose(options, () => hasEndedEarly && fault === 'cut')
  const stop = job.read(after, {
    onEvent: (event) => {
      if (hasEndedEarly) return
      hasEndedEarly = endsEarly
      job.sequence.stalled ||= fault === 'stall'
      markFirstByte(options)
      // The fault waits until the bytes before it are out.
      outgoing.write(event, () => { if (endsEarly) endEarly() })
    },
    onEnd: end
  })
  outgoing.on('close', stop)
}

/**
 * Sends the answer of a job in one piece when it is finished.
 *
 * @example
 * ```ts
 * sendWholeAnswer({ engine, job, outgoing, now })
 * ```
 */
export function sendWholeAnswer (options: Options): void {
  const { job, outgoing } = options
  cancelOnClose(options, () => false)
  const stop = job.read(0, {
    onEvent: () => undefined,
    onEnd: () => {
      if (job.outcome !== 'finished') {
        outgoing.socket?.destroy()
        return
      }
      markFirstByte(options)
      outgoing.writeHead(200, { 'content-type': 'application/json' })
      outgoing.end(JSON.stringify(completionFormat.wholeAnswer(job.content(job.answer, true))))
    }
  })
  outgoing.on('close', stop)
}
