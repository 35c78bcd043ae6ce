/**
 * Limits which versions of a service's targets requests may go to, while a version is rolled out.
 *
 * @module
 */

/** The limits of one service. */
export interface VersionGate {
  /** Counts a request that has arrived for the service. */
  readonly arrived: (nowMs: number) => void
  /** Counts a request that is sent to a target of a version. */
  readonly sent: (version: string, nowMs: number) => void
  /** Returns whether a version gets no request now; one that is bound to it can go to no other. */
  readonly isWithheld: (version: string, isBound: boolean, nowMs: number) => boolean
  /** Returns whether requests go to a version if it has room. */
  readonly isPreferred: (version: string, nowMs: number) => boolean
}
