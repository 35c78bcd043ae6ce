/**
 * Writes structured log lines to standard output, limited in rate and without blocking.
 *
 * @module
 */
import * as stream from 'node:stream'
import * as winston from 'winston'

/** Sustained rate and burst of lines, which need a tenth of a VM's spare processor time. */
const LINES_PER_S = 60
const BURST_LINES = 200

/** Bytes that are buffered for a slow reader of standard output before lines are dropped. */
const MAX_WAITING_BYTES = 262_144

const MS_PER_S = 1_000

/** Fields of one line. */
export type Details = Readonly<Record<string, unknown>>

/** Writes lines; the event of each is a fixed phrase. */
export interface EventLog {
  /** Logs a decision on one request; dropped first under load. */
  readonly request: (event: string, details: Details) => void
  /** Logs a change of the state of the process; dropped only if the buffer of standard output is full. */
  readonly change: (event: string, details?: Details) => void
}

/** Output, clock and counter of dropped lines. */
export interface Options {
  readonly fields: Details
  readonly now: () => number
  readonly output: stream.Writable
  readonly countDropped: (lines: number) => void
}

/**
 * Opens the log.
 *
 * @example
 * ```ts
 * const log = openEventLog({ fields: { daemon: 'front-1' }, now, output: process.stdout, countDropped: () => {} })
 * log.change('document adopted', { version: 7 })
 * ```
 */
export function openEventLog (options: Options): EventLog {
  let tokens = BURST_LINES
  let filledMs = options.now()
  // Standard output fails when its reader is gone; the process goes on without a log.
  if (options.output.listenerCount('error') === 0) options.output.on('error', () => { options.countDropped(1) })
  const bounded = new stream.Writable({
    decodeStrings: false,
    write: (line: string | Buffer, _, done) => {
      if (options.output.writableLength > MAX_WAITING_BYTES) options.countDropped(1)
      else options.output.write(line)
      done()
    }
  })
  const logger = winston.createLogger({
    level: 'info',
    format: winston.format.json(),
    transports: [new winston.transports.Stream({ stream: bounded })]
  })

  function write (event: string, details: Details): void {
    logger.info({ at: new Date().toISOString(), ...options.fields, ...details, message: event })
  }

  function admit (): boolean {
    const nowMs = options.now()
    tokens = Math.min(BURST_LINES, tokens + (nowMs - filledMs) * LINES_PER_S / MS_PER_S)
    filledMs = nowMs
    if (tokens < 1) return false
    tokens -= 1
    return true
  }

  return {
    request: (event, details) => {
      if (admit()) write(event, details)
      else options.countDropped(1)
    },
    change: (event, details = {}) => { write(event, details) }
  }
}
