/**
 * Types of one run of a command: its inputs and its report.
 *
 * @module
 */
import type * as neverthrow from 'neverthrow'
import type * as exitCode from './exit-code.js'
import type * as failure from './failure.js'
import type * as ports from './ports.js'
import type * as settings from './settings.js'

/** Settings and dependencies of one run of a command. */
export interface Session {
  readonly settings: settings.Settings
  readonly ports: ports.Ports
  readonly files: ports.Files
  /** Operator recorded with each change. */
  readonly operator: string
}

/** Result of a command: text for people, JSON for programs, and the exit code. */
export interface Report {
  readonly exit: exitCode.ExitName
  readonly text: string
  readonly json: unknown
}

/** Additional remark in a report. */
export interface Note {
  readonly exit: exitCode.ExitName
  readonly text: string
}

/** Asynchronous result of a command. */
export type Outcome = neverthrow.ResultAsync<Report, failure.Failure>
