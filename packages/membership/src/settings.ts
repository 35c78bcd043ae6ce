/**
 * Intervals, time-outs and bounds of membership.
 *
 * The failure detector is SWIM (A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
 * Infection-style Process Group Membership Protocol", DSN 2002) with the local health score of Lifeguard
 * (A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
 * Detection", DSN-W 2018).
 *
 * @module
 */

/** Interval at which a daemon probes one member, milliseconds. */
export const PROBE_INTERVAL_MS = 1_000

/** Time without an ack after which indirect probes are sent, milliseconds. */
export const PROBE_TIMEOUT_MS = 500

/** Time without an ack, direct or indirect, after which a probe has failed, milliseconds. */
export const PROBE_FAILURE_MS = 1_500

/** Members that an indirect probe is requested from: `k` in SWIM, section 3.1. */
export const INDIRECT_PROBES = 3

/** One in this many probes goes to another region. */
export const PROBES_PER_CROSS_REGION_PROBE = 4

/** Interval at which a suspected member is probed again, milliseconds. */
export const SUSPECT_PROBE_INTERVAL_MS = 500

/** Factor of the suspicion time-out. */
export const SUSPICION_MULTIPLIER = 3

/** Factor of the retransmission limit of a rumor. */
export const RETRANSMIT_MULTIPLIER = 4

/** Highest (worst) local health score; 0 is healthy. */
export const MAX_HEALTH_SCORE = 4

/** Maximum size of the updates on one probe or ack, bytes of JSON. */
export const MAX_MESSAGE_UPDATES_BYTES = 1_000

/** Maximum size of the updates on one page of a full synchronisation, bytes of JSON. */
export const MAX_PAGE_UPDATES_BYTES = 1_000

/** Interval between two pages of a synchronisation, milliseconds. */
export const PAGE_INTERVAL_MS = 200

/** Interval at which a daemon sends its full state to random members, milliseconds. */
export const SYNCHRONISATION_INTERVAL_MS = 60_000

/** Pause between full synchronisations after a start or after a member became reachable again, milliseconds. */
export const CATCH_UP_INTERVAL_MS = 5_000

/** Time for which synchronisations recur at `CATCH_UP_INTERVAL_MS`, milliseconds. */
export const CATCH_UP_MS = 30_000

/** Members that each daemon sends an urgent update to immediately after applying it. */
export const URGENT_FANOUT = 4

/** Number of times that a daemon sends an urgent update to `URGENT_FANOUT` members. */
export const URGENT_ROUNDS = 2

/** Interval between the urgent rounds of one daemon, milliseconds. */
export const URGENT_INTERVAL_MS = 300

/** Urgent rounds that a daemon may send in one burst. */
export const URGENT_BURST = 10

/** Allowance, in rounds, at or below which only updates that have not been sent yet are sent. */
export const URGENT_RESERVE = 5

/** Interval at which the allowance for urgent rounds grows by one, milliseconds. */
export const URGENT_REFILL_MS = 1_000

/** Interval at which one dead member is probed, so that regions merge again after a partition, milliseconds. */
export const DEAD_PROBE_INTERVAL_MS = 5_000

/** Time for which a dead member is retained, milliseconds. Must exceed the length of a partition between regions. */
export const DEAD_RETENTION_MS = 7_200_000

/** Time for which a dead member is still sampled for messages, milliseconds. */
export const DEAD_DISSEMINATION_MS = 120_000

/** Maximum number of dead members retained. */
export const MAX_DEAD_MEMBERS = 1_024

/** Maximum number of updates retained for each of targets, services and suspects. */
export const MAX_UPDATES_PER_KIND = 2_048

/** Time for which the version of an expired suspect is retained, milliseconds. */
export const EXPIRED_SUSPECT_RETENTION_MS = 60_000

/** Seeds probed immediately after discovery. */
export const SEED_PROBES = 3

/** Number of probes after which an unresponsive seed is removed. */
export const MAX_SEED_PROBES = 10

/** Gap between two ticks above which the process counts as suspended, milliseconds. */
export const MIN_SUSPENSION_GAP_MS = 2_000

/** Members probed after a suspension. */
export const RESUME_PROBES = 8

/** Time after which failure detection resumes without a majority of acks, milliseconds. */
export const RESUME_HOLD_MS = 10_000

/** Time without new members after which the view of a starting daemon counts as confirmed, milliseconds. */
export const SETTLE_MS = 3_000
