/**
 * What the commands need of their surroundings.
 *
 * @module
 */
import type * as backing from '@persimmonhatch/backing-services'
import type * as protocol from '@persimmonhatch/protocol'
import type * as clipanion from 'clipanion'
import type * as neverthrow from 'neverthrow'
import type * as burnPage from './burn-page.js'
import type * as failure from './failure.js'
import type * as settings from './settings.js'

/** An answer of a daemon. */
export interface DaemonResponse {
  readonly status: number
  /** The parsed JSON body; undefined when it is no JSON. */
  readonly body: unknown
}

/** Connections to the platform and the daemons, and the process's own clock and random numbers. */
export interface Ports {
  readonly keyValue: backing.keyValue.KeyValue
  /** Sends `GET http://ADDRESS/PATH`. */
  readonly queryDaemon: (address: protocol.Address, path: string) => neverthrow.ResultAsync<DaemonResponse, failure.Failure>
  /** Milliseconds since 1970. */
  readonly nowMs: () => number
  readonly sleep: (durationMs: number) => Promise<void>
  readonly random: protocol.Random
  readonly createChangeId: () => string
  readonly hash: (content: string) => string
  readonly close: () => Promise<void>
}

/** Files on the operator's machine. */
export interface Files {
  readonly exists: (path: string) => boolean
  readonly read: (path: string) => neverthrow.Result<string, failure.Failure>
  readonly write: (path: string, text: string) => neverthrow.Result<void, failure.Failure>
}

/** What every command is given beside its arguments. */
export type Context = clipanion.BaseContext & {
  readonly files: Files
  /** Name of the user who runs the tool. */
  readonly userName: string
  /** Draws curves for HTML pages; undefined for pages with tables only. */
  readonly plot: burnPage.Plot | undefined
  readonly connect: (settings: settings.Settings) => Ports
}
