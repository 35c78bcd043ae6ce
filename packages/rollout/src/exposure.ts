/**
 * Limits what one daemon sends to a version. Each request that arrives adds a share of a send, so that what all daemons
 * send together stays within that share of all requests without any message between them.
 *
 * @module
 */

/** What a daemon may send to the new version now. */
export interface Permission {
  /** Share of the requests that go to the new version. */
  readonly share: number
  /** Share of all requests since the order that may have gone there; undefined once the version is judged good. */
  readonly totalShare: number | undefined
}

/** The account of one daemon for one version. */
export interface Exposure {
  /** Counts a request that has arrived for the service. */
  readonly arrived: (permission: Permission) => void
  /** Counts a request that is sent to the version. */
  readonly sent: () => void
  /** Returns whether a request may be sent now; one that only this version can serve may anticipate what arrives next. */
  readonly isAllowed: (permission: Permission, isBound: boolean) => boolean
  readonly arrivals: () => number
  readonly sends: () => number
}

/** Sends that may accumulate while the version has no room, so that they don't go there at once afterwards. */
const MAX_CREDIT = 2

/** Requests bound to the version that a daemon may send in advance. */
const MAX_ADVANCE = 2

/**
 * Creates the account of a daemon. `random` is at least 0 and below 1: the fraction of a send that the account starts with, so that
 * daemons that each see few requests together still send the share, and restarts add nothing on average.
 *
 * @example
 * ```ts
 * const exposure = createExposure(Math.random())
 * exposure.arrived(permission)
 * if (exposure.isAllowed(permission, false)) exposure.sent()
 * ```
 */
export function createExposure (random: number): Exposure {
  let credit = random
  let arrivals = 0
  let sends = 0

  return {
    arrived: ({ share }) => {
      arrivals += 1
      credit = Math.min(MAX_CREDIT, credit + share)
    },
    sent: () => {
      sends += 1
      credit -= 1
    },
    isAllowed: ({ share, totalShare }, isBound) => {
      if (share <= 0) return false
      const advance = isBound ? MAX_ADVANCE : 0
      const hasTotal = totalShare === undefined || random + totalShare * arrivals - sends + advance >= 1
      return hasTotal && (share >= 1 || isBound || credit >= 1)
    },
    arrivals: () => arrivals,
    sends: () => sends
  }
}
