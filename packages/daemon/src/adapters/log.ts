/**
 * Log lines for changes of state, as JSON on standard output.
 *
 * @module
 */
import * as winston from 'winston'

/** Details of one line. */
export type Details = Readonly<Record<string, unknown>>

/** Writes lines; each names the change in a fixed phrase and carries its details as fields. */
export interface Log {
  readonly info: (change: string, details?: Details) => void
  readonly warn: (change: string, details?: Details) => void
  readonly error: (change: string, details?: Details) => void
}

/**
 * Opens the log of one daemon.
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
