/**
 * Messages between daemons.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import * as rollout from '@persimmonhatch/rollout'
import * as reportChecks from './report-checks.js'
import type * as rolloutRows from './rollout-rows.js'
import type * as streamDirectory from './stream-directory.js'

/** A member as reported by a peer, with the time since its last report. */
export type Member = readonly [address: string, frontAddress: string, ready: boolean, ageMs: number]

/** Position and report of a leaving target, whose other fields the recipient knows from the store; `started` is in ms, base 36. */
export type LeavingTarget = readonly [id: string, era: number, revision: number, ...report: readonly [started: string, sequence: number] | readonly []]

/** A target's limit of requests per second, null for none; `started` is in ms, base 36. */
export type LimitRow = readonly [target: string, started: string, revision: number, requestsPerS: number | null]

/** A target that has said in a response that it leaves, and its start in ms, base 36. */
export type DepartureRow = readonly [target: string, started: string]

/** A pause that a target asks for, what is left of it, and the endpoint of the daemon that was told. */
export type PauseRow = readonly [target: string, remainingMs: number, told: string]

/** Load and state of a daemon, sent to its peers several times a second. */
export interface Report {
  /** Format of the sender's reports, in those with a listing; builds before format 2 send none. */
  readonly format?: number
  /** Endpoint of the sender's peer port, as `host:port`. */
  readonly from: string
  /** Unique for every start of the process. */
  readonly incarnation: string
  readonly sequence: number
  /** `cell`: about the sender alone, for its cell; `fleet`: about the sender's cell, for the rest of the fleet. */
  readonly scope: 'cell' | 'fleet'
  readonly frontAddress: string
  readonly ready: boolean
  readonly documentVersion: number
  /** Position of the store up to which the sender has applied the changes of targets. */
  readonly targetsPosition: readonly [era: number, revision: number]
  readonly pools: Readonly<Record<string, routing.poolEvent.PeerLoad>>
  /** Tokens admitted since the start of the process minus refunds, by organisation: of the sender, or of its cell as far as reported to it. */
  readonly usedTokens: Readonly<Record<string, number>>
  /** Tokens refused because of the caps since the start of the process, like `usedTokens`; from fleets of several cells. */
  readonly refusedTokens: Readonly<Record<string, number>>
  /** Caps that a document has lowered and that the sender still applies, with the time left, ms. */
  readonly formerCaps: readonly routing.capTransition.FormerCapRow[]
  /** Whether `usedTokens` has every organisation that has used tokens; otherwise it has those whose totals have changed since the last report. */
  readonly complete: boolean
  readonly leavingTargets: readonly LeavingTarget[]
  /** Targets that leave though their entries don't show it, new ones in each report and all of them with a listing. */
  readonly departures: readonly DepartureRow[]
  /** Pauses that concern VMs which carry connections or have theirs carried. */
  readonly pauses: readonly PauseRow[]
  readonly suspects: routing.suspects.SuspectReport
  /** Streams of the sender that have begun since its last report to the cell. */
  readonly streams: routing.streamVersions.StreamReport
  /** Limits that targets have named, those learned recently in each report and others in turn. */
  readonly limits: readonly LimitRow[]
  /** Roll-outs in progress or ended recently: the part of the sender or its cell, by service. */
  readonly rollouts: Readonly<Record<string, rolloutRows.RolloutRow>>
  /** Targets to which the sender's direct paths are lost. */
  readonly lostTargets: readonly string[]
  /** Peers from which or about which the sender has received reports recently; empty in most reports. */
  readonly members: readonly Member[]
}

/** All state from the store, for peers that can't reach it. */
export interface SharedState {
  readonly document: routing.document.RoutingDocument | undefined
  readonly targetsPosition: routing.targetRegistry.Position
  readonly targets: readonly routing.targetRegistry.VersionedTarget[]
}

/**
 * Format of reports. It rises when a field is added or changes. A build ignores fields that it does not know, and takes
 * missing ones as empty, so that builds of different formats run side by side.
 */
export const REPORT_FORMAT = 3

const EMPTY_FIELDS = { pools: {}, usedTokens: {}, refusedTokens: {}, formerCaps: [], leavingTargets: [], departures: [], pauses: [], suspects: {}, limits: [], streams: {}, rollouts: {}, lostTargets: [], members: [] }

const { either, fieldsOf, isAmount, isEndpoint, isFlag, isNull, isNumber, isStart, isText, listOf, mapOf, optional, rowOf } = reportChecks

/** Rows of either length; a target without a report of its own has the shorter one. */
const isLeavingTarget = either(rowOf([isText, isAmount, isAmount]), rowOf([isText, isAmount, isAmount, isStart, isAmount]))

const isCurves = listOf(rowOf([isAmount], isNumber))

/** Rows of either length; a daemon that doesn't join the samples of a target has the shorter one. */
const isLimitOfTarget = either(rowOf([isCurves]), rowOf([isCurves, isAmount, isAmount, isAmount]))

/** Sums over measured times; see `routing.targetSpeed.SpeedSums`. */
const isSpeedRow = rowOf([isAmount, isAmount, isAmount, isAmount, isAmount, isAmount, isAmount])

const isOutcomes = mapOf(rowOf([isAmount, mapOf(isAmount)]))

const isReport = fieldsOf({
  from: isEndpoint,
  incarnation: isText,
  sequence: isAmount,
  scope: (value) => value === 'cell' || value === 'fleet',
  frontAddress: isEndpoint,
  ready: isFlag,
  documentVersion: isAmount,
  targetsPosition: rowOf([isAmount, isAmount]),
  pools: mapOf(fieldsOf({ targets: mapOf(rowOf([isAmount, isAmount])), waiting: listOf(rowOf([isAmount, isAmount, isAmount])), factors: optional(mapOf(rowOf([isAmount, isAmount]))), limits: optional(mapOf(isLimitOfTarget)), held: optional(mapOf(isAmount)), prefixes: optional(mapOf(listOf(isText))), speeds: optional(mapOf(isSpeedRow)) })),
  usedTokens: mapOf(isNumber),
  refusedTokens: mapOf(isAmount),
  formerCaps: listOf(rowOf([isText, isAmount, isAmount, isAmount, isAmount])),
  complete: isFlag,
  leavingTargets: listOf(isLeavingTarget),
  departures: listOf(rowOf([isText, isStart])),
  pauses: listOf(rowOf([isText, isAmount, isEndpoint])),
  suspects: fieldsOf({
    crashes: optional(listOf(rowOf([isText, isAmount, isAmount, isText], isText))),
    answered: optional(listOf(rowOf([isText, isAmount]))),
    refused: optional(listOf(rowOf([isText, isAmount, isAmount])))
  }),
  streams: mapOf(mapOf(listOf(isText))),
  limits: listOf(rowOf([isText, isStart, isAmount, either(isAmount, isNull)])),
  rollouts: mapOf(fieldsOf({
    order: isAmount,
    to: isText,
    sequence: isAmount,
    stage: (value) => rollout.decision.STAGES.some((stage) => stage === value),
    isHeld: isFlag,
    remainingMs: isAmount,
    arrivals: isAmount,
    sends: isAmount,
    oldInFlight: isAmount,
    lagging: isAmount,
    outcomes: isOutcomes,
    oldOutcomes: isOutcomes
  })),
  lostTargets: listOf(isText),
  members: listOf(rowOf([isEndpoint, isEndpoint, isFlag, isAmount]))
})

const STARTED_RADIX = 36

/**
 * Returns a leaving target for a report.
 *
 * @example
 * ```ts
 * toLeavingTarget({ id: 'i-1', era: 1, revision: 30, report: { startedMs: 1_764_841_234_567, sequence: 7 }, target })
 * ```
 */
export function toLeavingTarget ({ id, era, revision, report }: routing.targetRegistry.VersionedTarget): LeavingTarget {
  return report === undefined ? [id, era, revision] : [id, era, revision, report.startedMs.toString(STARTED_RADIX), report.sequence]
}

/**
 * Returns a leaving target's own report; undefined if it states none.
 *
 * @example
 * ```ts
 * selfReportOf(['i-1', 1, 30, 'mis1g9x3', 7])
 * ```
 */
export function selfReportOf ([,,, started, sequence]: LeavingTarget): routing.targetRegistry.SelfReport | undefined {
  return started === undefined || sequence === undefined ? undefined : { startedMs: parseInt(started, STARTED_RADIX), sequence }
}

/**
 * Returns a departure for a report.
 *
 * @example
 * ```ts
 * toDepartureRow({ id: 'i-1', startedMs: 1_764_841_234_567 })
 * ```
 */
export function toDepartureRow ({ id, startedMs }: routing.targetRegistry.Departure): DepartureRow {
  return [id, startedMs.toString(STARTED_RADIX)]
}

/**
 * Returns the departure in a row of a report.
 *
 * @example
 * ```ts
 * departureOf(['i-1', 'mis1g9x3'])
 * ```
 */
export function departureOf ([id, started]: DepartureRow): routing.targetRegistry.Departure {
  return { id, startedMs: parseInt(started, STARTED_RADIX) }
}

/**
 * Returns a statement about a limit for a report.
 *
 * @example
 * ```ts
 * toLimitRow({ target: 'i-1', startedMs: 1_764_841_234_567, revision: 2, requestsPerS: 2.8 })
 * ```
 */
export function toLimitRow ({ target, startedMs, revision, requestsPerS }: routing.targetLimits.LimitStatement): LimitRow {
  return [target, startedMs.toString(STARTED_RADIX), revision, requestsPerS ?? null]
}

/**
 * Returns the statement in a row of a report.
 *
 * @example
 * ```ts
 * limitStatementOf(['i-1', 'mis1g9x3', 2, 2.8])
 * ```
 */
export function limitStatementOf ([target, started, revision, requestsPerS]: LimitRow): routing.targetLimits.LimitStatement {
  return { target, startedMs: parseInt(started, STARTED_RADIX), revision, requestsPerS: requestsPerS ?? undefined }
}

/**
 * Returns the message for a report, without empty fields.
 *
 * @example
 * ```ts
 * socket.send(JSON.stringify(toMessage(report)))
 * ```
 */
export function toMessage (report: Report): object {
  return Object.fromEntries(Object.entries(report).filter(([name, value]) => !(name in EMPTY_FIELDS) || Object.keys(value as object).length > 0))
}

/**
 * Returns the report in a message; undefined if anything in it is malformed.
 *
 * @example
 * ```ts
 * const report = parseReport(params)
 * if (report !== undefined) handle(report)
 * ```
 */
export function parseReport (message: unknown): Report | undefined {
  if (typeof message !== 'object' || message === null) return undefined
  const report = { ...EMPTY_FIELDS, ...message }
  return isReport(report) ? report as unknown as Report : undefined
}

const isStreamQuestion = fieldsOf({ from: isEndpoint, requestId: isText })
const isStreamAnswer = fieldsOf({ from: isEndpoint, requestId: isText, beginning: optional(fieldsOf({ requestId: isText, service: isText, version: isText })) })

/**
 * Returns the question in a message; undefined if it is malformed.
 *
 * @example
 * ```ts
 * parseStreamQuestion({ from: '10.1.0.25:7600', requestId: 'r-1' })
 * ```
 */
export function parseStreamQuestion (message: unknown): streamDirectory.StreamQuestion | undefined {
  return isStreamQuestion(message) ? message as streamDirectory.StreamQuestion : undefined
}

/**
 * Returns the answer in a message; undefined if it is malformed.
 *
 * @example
 * ```ts
 * parseStreamAnswer({ from: '10.1.0.25:7600', requestId: 'r-1', beginning })
 * ```
 */
export function parseStreamAnswer (message: unknown): streamDirectory.StreamAnswer | undefined {
  return isStreamAnswer(message) ? message as streamDirectory.StreamAnswer : undefined
}
