/**
 * One run of a command: its settings, its ports and its report.
 *
 * @module
 */
import type * as neverthrow from 'neverthrow'
import type * as exitCode from './exit-code.js'
import type * as failure from './failure.js'
import type * as ports from './ports.js'
import type * as settings from './settings.js'

/** What a command works with. */
export interface Session {
  readonly settings: settings.Settings
  readonly ports: ports.Ports
  readonly files: ports.Files
  /** Name under which changes are recorded. */
  readonly operator: string
}

/** What a command prints, for a reader and for a program. */
export interface Report {
  readonly exit: exitCode.ExitName
  readonly text: string
  readonly json: unknown
}

/** A further sentence of a report. */
export interface Note {
  readonly exit: exitCode.ExitName
  readonly text: string
}

/** A command's report, later. */
export type Outcome = neverthrow.ResultAsync<Report, failure.Failure>
