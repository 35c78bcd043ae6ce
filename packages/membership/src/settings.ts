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

/** Time after which an unanswered probe is repeated through other members, milliseconds. */
export const PROBE_TIMEOUT_MS = 500

/** Time after which a probe has failed, indirect probes included, milliseconds. */
export const PROBE_FAILURE_MS = 1_500

/** Members asked to repeat an unanswered probe: `k` in SWIM, section 3.1. */
export const INDIRECT_PROBES = 3

/** Of this many probes one goes to another region. */
export const PROBES_PER_CROSS_REGION_PROBE = 4

/** Interval at which a suspected member is probed again, milliseconds. */
export const SUSPECT_PROBE_INTERVAL_MS = 500

/** Factor of the suspicion time-out. */
export const SUSPICION_MULTIPLIER = 3

/** Factor of the number of times that a rumor is sent. */
export const RETRANSMIT_MULTIPLIER = 4

/** Highest local health score; 0 is healthy. */
export const MAX_HEALTH_SCORE = 4

/** Bytes of news, as JSON, on one probe or ack. */
export const MESSAGE_NEWS_BYTES = 1_000

/** Bytes of news, as JSON, on one page of a full synchronisation. */
export const PAGE_NEWS_BYTES = 1_000

/** Interval between two pages of a synchronisation, milliseconds. */
export const PAGE_INTERVAL_MS = 200

/** Interval at which a daemon sends all that it knows to a random member, milliseconds. */
export const SYNCHRONISATION_INTERVAL_MS = 60_000

/** The same for a daemon that started or met a daemon again, from the end of one to the start of the next, milliseconds. */
export const CATCH_UP_INTERVAL_MS = 5_000

/** Time for which synchronisations recur at the short interval, milliseconds. */
export const CATCH_UP_MS = 30_000

/** Members that urgent news is sent to at once, by each daemon that learns it. */
export const URGENT_FANOUT = 4

/** Times that a daemon sends urgent news to `URGENT_FANOUT` members. */
export const URGENT_ROUNDS = 2

/** Interval between the urgent rounds of one daemon, milliseconds. */
export const URGENT_INTERVAL_MS = 300

/** Urgent rounds that a daemon may send in one burst. */
export const URGENT_BURST = 10

/** Allowance above which news is also sent in later rounds; below it is kept for news that was not sent yet. */
export const URGENT_RESERVE = 5

/** Interval at which the allowance for urgent rounds grows by one, milliseconds. */
export const URGENT_REFILL_MS = 1_000

/** Interval at which one member held as gone is probed, so that separated regions meet again, milliseconds. */
export const GONE_PROBE_INTERVAL_MS = 5_000

/** Time for which a gone member is remembered, milliseconds. Longer than a partition between regions. */
export const GONE_RETENTION_MS = 7_200_000

/** Time for which a gone member is still sent with sampled news, milliseconds. */
export const GONE_SPREAD_MS = 120_000

/** Most gone members remembered. */
export const MAX_GONE = 1_024

/** Most targets, services and suspects remembered, each. */
export const MAX_NEWS_PER_KIND = 2_048

/** Time for which the version of an expired suspect is remembered, milliseconds. */
export const EXPIRED_SUSPECT_RETENTION_MS = 60_000

/** Seeds probed at once when they are introduced. */
export const SEED_PROBES = 3

/** Probes after which a silent seed is dropped. */
export const MAX_SEED_PROBES = 10

/** Gap between two ticks above which the process counts as suspended, milliseconds. */
export const SUSPENDED_GAP_MS = 2_000

/** Members probed after a suspension. */
export const RESUME_PROBES = 8

/** Time after which verdicts resume without a majority of acks, milliseconds. */
export const RESUME_HOLD_MS = 10_000

/** Time without new members after which a daemon that started counts as confirmed, milliseconds. */
export const SETTLE_MS = 3_000
