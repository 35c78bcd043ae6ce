/**
 * Dependencies of the commands on their environment.
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

/** HTTP response of a daemon. */
export interface DaemonResponse {
  readonly status: number
  /** Parsed JSON body; undefined if the body is not JSON. */
  readonly body: unknown
}

/** Access to the platform and the daemons, and the clock and random numbers of the process. */
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

/** The operator's local files. */
export interface Files {
  readonly exists: (path: string) => boolean
  readonly read: (path: string) => neverthrow.Result<string, failure.Failure>
  readonly write: (path: string, text: string) => neverthrow.Result<void, failure.Failure>
}

/** Context of every command, besides its arguments. */
export type Context = clipanion.BaseContext & {
  readonly files: Files
  /** Name of the operating-system user who runs the tool. */
  readonly userName: string
  /** Renders curves for HTML pages; undefined for pages with tables only. */
  readonly plot: burnPage.Plot | undefined
  readonly connect: (settings: settings.Settings) => Ports
}
