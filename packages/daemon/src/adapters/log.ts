/**
 * Logs changes of state as JSON lines on standard output.
 *
 * @module
 */
import * as winston from 'winston'

/** Fields of one log line. */
export type Details = Readonly<Record<string, unknown>>

/** Writes log lines. The change is a fixed phrase; everything variable goes into the fields. */
export interface Log {
  readonly info: (change: string, details?: Details) => void
  readonly warn: (change: string, details?: Details) => void
  readonly error: (change: string, details?: Details) => void
}

/**
 * Opens the log of one daemon; `fields` are added to every line.
 *
 * @example
 * ```ts
 * openLog('info', { daemon: 'entry-1' }).info('started', { address: '127.0.0.1:7400' })
 * ```
 */
export function openLog (level: string, fields: Details): Log {
  const logger = winston.createLogger({
    level,
    defaultMeta: fields,
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    transports: [new winston.transports.Console()]
  })
  return {
    info: (change, details) => { logger.info(change, details) },
    warn: (change, details) => { logger.warn(change, details) },
    error: (change, details) => { logger.error(change, details) }
  }
}
