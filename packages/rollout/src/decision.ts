/**
 * Decides the next step of a roll-out from the outcomes of both versions.
 *
 * @module
 */
import * as comparison from './comparison.js'
import type * as exposure from './exposure.js'
import * as outcomesModule from './outcomes.js'

/** Bounds of the operator. Times are ms. */
export interface Bounds {
  /** Share of the requests between the order and its time limit that a bad version may get. */
  readonly exposureShare: number
  /** Number of requests beyond that share. */
  readonly exposureSlack: number
  /** Time from the 50th bad answer to the last request that is sent to the version. */
  readonly rollbackMs: number
}

/** The stages of a roll-out. */
export const STAGES = ['trial', 'load', 'full', 'completed', 'rolled_back'] as const

/**
 * `trial`: a small share, to find what is bad at once, later or on some routes. `load`: all requests for a short time, within
 * the total that the trial has left. `full`: the version is judged good and gets everything.
 */
export type Stage = typeof STAGES[number]

/** What is known of a roll-out now. Times are ms. */
export interface Observation {
  readonly stage: Stage
  /** Time since the order. */
  readonly ageMs: number
  /** Time since the stage began. */
  readonly stageAgeMs: number
  /** Time that the roll-out may take, from the order. */
  readonly durationMs: number
  readonly outcomes: outcomesModule.Outcomes
  readonly oldOutcomes: outcomesModule.Outcomes
  /** Requests that have reached the service since the order, and those of them that were sent to the new version. */
  readonly arrivals: number
  readonly sends: number
  /** Requests that all daemons still have at targets of the old version. */
  readonly oldInFlight: number
  /** Live daemons that don't send everything to the new version yet. */
  readonly laggingDaemons: number
  readonly hasTargets: boolean
  readonly hasOldTargets: boolean
}

/** The stage to be in, and why. */
export interface Step {
  readonly stage: Stage
  readonly reason: 'unchanged' | 'sound' | 'failures' | 'times' | 'no-answers' | 'no-target' | 'moved' | 'no-old-target' | 'time-limit' | 'few-samples'
  /** Whether nothing may be sent to the version in this stage until more requests have arrived. */
  readonly isHeld: boolean
  readonly finding: comparison.Finding
}

type Transition = Pick<Step, 'stage' | 'reason'>

/** Share of the exposure bound that a trial uses. The rest pays for the load stage. */
const TRIAL_SHARE = 0.3

/**
 * Share of the requests in the load stage: all, so that a version that is bad only under its later load shows it. With 0.75, one
 * that failed from 0.8 of the load on got 13% of all requests. What the trial has left lasts for about 4% of the duration.
 */
const LOAD_SHARE = 1

/** Times as shares of the duration: the trial's end, its end if there are few samples, the latest start of the full stage. */
const TRIAL_END = 0.5
const SPARSE_TRIAL_END = 0.55
const LATEST_FULL_START = 0.65

/** Samples of the new version from which a trial or a load stage tells something. */
const MIN_TRIAL_SAMPLES = 30
const MIN_LOAD_SAMPLES = 30

/** Sends beyond twice the samples from which the version does not answer in a trial: fewer are in flight or not reported yet. */
const MAX_UNANSWERED = 20

/** Time in which what is sent in a stage has come back and all cells have reported it, ms; less of a short duration. */
const REPORT_MS = 2_000
const MAX_REPORT_SHARE = 0.15

/** Time at full load as a share of the duration, in which failures at that load are found while the old targets can still serve. */
const FULL_SHARE = 0.12

/** Time before the limit at which streams of the old version are no longer waited for: the store must still confirm the state. */
const LIMIT_MARGIN = 0.06
const MIN_LIMIT_MARGIN_MS = 800
const MAX_LIMIT_MARGIN = 0.1

/** Time without any target of the new version after which the order is given up, ms: targets restart and reconnect. */
const ABSENCE_MS = 3_000

function limitMs ({ durationMs }: Observation): number {
  return durationMs - Math.min(MAX_LIMIT_MARGIN * durationMs, Math.max(MIN_LIMIT_MARGIN_MS, LIMIT_MARGIN * durationMs))
}

function reportMs ({ durationMs }: Observation): number {
  return Math.min(REPORT_MS, MAX_REPORT_SHARE * durationMs)
}

function stepOfTrial ({ ageMs, durationMs, outcomes }: Observation): Transition {
  if (ageMs < TRIAL_END * durationMs) return { stage: 'trial', reason: 'unchanged' }
  if (outcomesModule.sampleCount(outcomes) >= MIN_TRIAL_SAMPLES) return { stage: 'load', reason: 'sound' }
  return ageMs < SPARSE_TRIAL_END * durationMs ? { stage: 'trial', reason: 'unchanged' } : { stage: 'load', reason: 'few-samples' }
}

function stepOfLoad (observation: Observation): Transition {
  const { ageMs, stageAgeMs, durationMs, outcomes } = observation
  if (stageAgeMs < reportMs(observation)) return { stage: 'load', reason: 'unchanged' }
  if (outcomesModule.sampleCount(outcomes) >= MIN_TRIAL_SAMPLES + MIN_LOAD_SAMPLES) return { stage: 'full', reason: 'sound' }
  return ageMs < LATEST_FULL_START * durationMs ? { stage: 'load', reason: 'unchanged' } : { stage: 'full', reason: 'few-samples' }
}

function stepOfFull (observation: Observation): Transition {
  const { ageMs, stageAgeMs, durationMs, oldInFlight, laggingDaemons } = observation
  const isTested = stageAgeMs >= Math.max(reportMs(observation), FULL_SHARE * durationMs)
  if (isTested && oldInFlight === 0 && laggingDaemons === 0) return { stage: 'completed', reason: 'moved' }
  return isTested && ageMs >= limitMs(observation) ? { stage: 'completed', reason: 'time-limit' } : { stage: 'full', reason: 'unchanged' }
}

function stepOfSound (observation: Observation): Transition {
  switch (observation.stage) {
    case 'trial': return stepOfTrial(observation)
    case 'load': return stepOfLoad(observation)
    case 'full': return stepOfFull(observation)
    case 'completed':
    case 'rolled_back': return { stage: observation.stage, reason: 'unchanged' }
  }
}

/** Returns whether a roll-out in this stage has ended. */
export function isFinal (stage: Stage): boolean {
  return stage === 'completed' || stage === 'rolled_back'
}

/** Whether the version leaves most of what it gets without an answer, which no comparison of answers shows. */
function isSilent ({ sends, outcomes }: Observation): boolean {
  return sends > 2 * outcomesModule.sampleCount(outcomes) + MAX_UNANSWERED
}

/** Whether more was sent than half of the slack allows, before the version is judged good. */
function isOverExposed ({ stage, arrivals, sends }: Observation, { exposureShare, exposureSlack }: Bounds): boolean {
  return (stage === 'trial' || stage === 'load') && sends > exposureShare * arrivals + exposureSlack / 2
}

function transitionOf (observation: Observation, finding: comparison.Finding): Transition {
  const { stage, stageAgeMs, ageMs, hasTargets, hasOldTargets } = observation
  if (isFinal(stage)) return { stage, reason: 'unchanged' }
  if (finding.kind !== 'no-difference') return { stage: 'rolled_back', reason: finding.kind }
  if (!hasTargets) return stageAgeMs < ABSENCE_MS ? { stage, reason: 'unchanged' } : { stage: 'rolled_back', reason: 'no-target' }
  if (!hasOldTargets) return { stage: 'completed', reason: 'no-old-target' }
  const next = stepOfSound(observation)
  if (isFinal(next.stage)) return next
  if (ageMs >= limitMs(observation)) return { stage: 'rolled_back', reason: 'time-limit' }
  return stage === 'trial' && next.stage === 'load' && isSilent(observation) ? { stage: 'rolled_back', reason: 'no-answers' } : next
}

/**
 * Returns the next step of a roll-out.
 *
 * @example
 * ```ts
 * const { stage } = nextStep(observation, { exposureShare: 0.1, exposureSlack: 50, rollbackMs: 5_000 })
 * ```
 */
export function nextStep (observation: Observation, bounds: Bounds): Step {
  const finding = comparison.compare(observation.outcomes, observation.oldOutcomes)
  const { stage, reason } = transitionOf(observation, finding)
  return { stage, reason, isHeld: stage === observation.stage && isOverExposed(observation, bounds), finding }
}

/** Time for which a permission holds, ms: within the time for a roll-back, so that silence stops the exposure in time. */
export function permissionMs ({ rollbackMs }: Bounds): number {
  return rollbackMs * 0.6
}

/**
 * Returns what the daemons may send in a stage while a permission is in force.
 *
 * @example
 * ```ts
 * permissionOf('trial', { exposureShare: 0.1, exposureSlack: 50, rollbackMs: 5_000 }).share // 0.03
 * ```
 */
export function permissionOf (stage: Stage, { exposureShare }: Pick<Bounds, 'exposureShare'>): exposure.Permission {
  switch (stage) {
    case 'trial': return { share: TRIAL_SHARE * exposureShare, totalShare: exposureShare }
    case 'load': return { share: LOAD_SHARE, totalShare: exposureShare }
    case 'full':
    case 'completed': return { share: 1, totalShare: undefined }
    case 'rolled_back': return { share: 0, totalShare: 0 }
  }
}
