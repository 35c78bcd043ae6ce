/**
 * Decides one round of placements for an adaptive service: which requests go to a target now, which wait, and which can't be
 * served in time.
 *
 * Requests are taken in their order. Each is given the slot at which it is expected to begin in time and that delays others
 * least; a slot that is still occupied is expected to become free when the work in it ends. So a request waits for a fast
 * target instead of missing its latency target at a slow one that is free, and a wait follows from the work ahead.
 *
 * @module
 */
import * as memoryUse from './memory-use.js'
import type * as poolEvent from './pool-event.js'
import type * as requestSizes from './request-sizes.js'
import * as slotSchedule from './slot-schedule.js'
import type * as snapshotModule from './snapshot.js'
import * as targetChoice from './target-choice.js'
import type * as targetRecord from './target-record.js'
import * as targetSpeed from './target-speed.js'
import type * as versionGate from './version-gate.js'
import * as waitingOrder from './waiting-order.js'

/** The state of the pool that a round depends on. */
export interface Conditions {
  readonly isEngine: boolean
  /** Whether the targets fall over when they have to reject many requests. */
  readonly isBrittle: boolean
  /** Tokens that an engine holds at most; undefined for a plain service. */
  readonly memoryTokens: number | undefined
  /** Daemons of the cell. */
  readonly members: number
  /** Share of a target's memory that this daemon's cell may use, as far as the daemon is connected to it. */
  readonly memoryShareOf: (record: targetRecord.TargetRecord) => number
  readonly sizes: requestSizes.RequestSizes
  /** Limits of versions; without them, all are served alike. */
  readonly versions?: versionGate.VersionGate | undefined
  readonly random: () => number
}

/** What becomes of a request. */
export type Verdict =
  | { readonly kind: 'dispatch', readonly record: targetRecord.TargetRecord }
  | { readonly kind: 'wait', readonly waitMs: number }
  | { readonly kind: 'refuse', readonly waitMs: number }

/** Requests that wait at peers. */
export interface PeerRequests {
  /** Those that are placed before a request. */
  readonly ahead: number
  /** Those of the others whose daemons don't know of the request yet. */
  readonly unaware: number
  /** Whether all peers know of the request. */
  readonly isReported: boolean
}

/** One round; requests must be decided in their order. */
export interface Round {
  /** Returns the expected time to the first event, or to a plain response, at the fastest target while it is idle, ms. */
  readonly fastestFirstMs: (promptTokens: number) => number
  readonly decide: (request: poolEvent.PlacementRequest, atPeers: PeerRequests) => Verdict
  readonly freeSlots: () => number
}

/** Weight of the generation time relative to the time to the first event when targets are compared. */
const GENERATION_WEIGHT = 0.15

/** Weight of the time for which the prefill of a request slows each of the others at the target. */
const PREFILL_DELAY_WEIGHT = 0.3

/** Maximum share of a request's remaining time that it may be expected to take at a target. */
const MAX_DURATION_SHARE = 0.9

/** Random difference between equal targets, ms: daemons that choose within one report interval should not choose the same one. */
const SPREAD_MS = 40

/** Penalty for the last free slot of a target, ms: a peer may have used it since its last report. */
const LAST_SLOT_PENALTY_MS = 100

/** Penalty for a target at which every request fails, ms. */
const FAILURE_PENALTY_MS = 400

/** Time for which a disturbance of a host lasts, by which a generation is prolonged, ms. */
const DISTURBANCE_MS = 600

/** Expected remaining time of a request that has taken longer than expected, as a share of the expected time. */
const OVERDUE_SHARE = 0.1

const MS_PER_S = 1_000

interface Slot {
  readonly candidate: snapshotModule.Candidate
  readonly speed: targetSpeed.Speed
  readonly schedule: slotSchedule.SlotSchedule
  readonly workFactor: number
  /** Time between requests that a limit of the request rate allows, ms. */
  readonly sendIntervalMs: number
  /** Time until the first of the requests there ends, ms; 0 if there is none. */
  readonly firstEndMs: number
  /** Free slots that no peer knows of. */
  readonly unsharedSlots: number
}

interface Position {
  /** Requests at peers whose daemons don't know of the request. */
  readonly unaware: number
  /** Whether the daemons of the cell place the request before all others. */
  readonly isFirst: boolean
}

/** A request at one target. */
interface Option {
  readonly slot: Slot
  /** Time until the request can begin there, ms. */
  readonly releaseMs: number
  /** Time from the beginning to the first event, ms. */
  readonly firstMs: number
  readonly generationMs: number
}

function remainingTimes (record: targetRecord.TargetRecord, speed: targetSpeed.Speed, nowMs: number): readonly number[] {
  return record.ownRequests().map(({ startMs, promptTokens, outputTokens }) => {
    const expectedMs = targetSpeed.slotMs(speed, { promptTokens, outputTokens })
    return Math.max(startMs + expectedMs - nowMs, OVERDUE_SHARE * expectedMs)
  })
}

function slotOf (candidate: snapshotModule.Candidate, serviceSums: targetSpeed.SpeedSums, { isBrittle, sizes }: Conditions, nowMs: number): Slot {
  const { record, freeSlots } = candidate
  const speed = targetSpeed.speedOf(record.speed.sums(), serviceSums)
  const ownRemainingMs = remainingTimes(record, speed, nowMs)
  const peerRequests = isBrittle ? 0 : Math.max(0, candidate.inFlight - ownRemainingMs.length)
  const meanMs = targetSpeed.slotMs(speed, sizes.mean())
  const releases = slotSchedule.releaseTimes({ slots: 0, ownRemainingMs, peerRequests, meanMs })
  const excess = isBrittle ? 0 : Math.max(0, candidate.inFlight - record.target.slots)
  const schedule = slotSchedule.createSlotSchedule([...Array.from({ length: Math.min(freeSlots, record.target.slots) }, () => 0), ...releases.slice(excess)])
  const sendIntervalMs = record.limit === undefined ? 0 : MS_PER_S / record.limit.ownRequestsPerS
  return { candidate, speed, schedule, workFactor: record.workFactor.current(nowMs), sendIntervalMs, firstEndMs: releases[0] ?? 0, unsharedSlots: isBrittle ? freeSlots : Math.min(freeSlots, record.unreportedFreeSlots) }
}

function memoryOf ({ candidate: { record } }: Slot, boundTokens: number, { members, memoryShareOf, sizes }: Conditions, nowMs: number): memoryUse.EngineMemory {
  const unreportedTokens = record.ownHeldTokens(nowMs - memoryUse.REPORTED_MS)
  return { boundTokens: memoryShareOf(record) * boundTokens, usedTokens: record.tokensInUse(sizes.mean()) - unreportedTokens, unreportedTokens, members }
}

const durationMs = ({ releaseMs, firstMs, generationMs }: Option): number => releaseMs + firstMs + generationMs
const beginMs = ({ releaseMs, firstMs }: Option): number => releaseMs + firstMs

function least<Item> (options: readonly Item[], valueOf: (option: Item) => number): Item | undefined {
  let best: { readonly option: Item, readonly value: number } | undefined
  for (const option of options) {
    const value = valueOf(option)
    if (best === undefined || value < best.value) best = { option, value }
  }
  return best?.option
}

/** Returns the time that a generation takes if the work factor returns to the usual after a disturbance. */
function disturbedMs (usualMs: number, workFactor: number): number {
  return usualMs + (workFactor - 1) * Math.min(usualMs, DISTURBANCE_MS)
}

/** Returns the candidates that are not ejected; all of them if each is. */
function usableAmong (candidates: readonly snapshotModule.Candidate[]): readonly snapshotModule.Candidate[] {
  const notEjected = candidates.filter(({ isEjected }) => !isEjected)
  return notEjected.length > 0 ? notEjected : candidates
}

/** Returns whether the target may get the request at all: it has not failed there, and the version is not withheld. */
function mayGet ({ candidate: { record } }: Slot, request: poolEvent.PlacementRequest, versions: Conditions['versions'], nowMs: number): boolean {
  return !request.excludedTargets.has(record.target.id) && targetChoice.isOfVersion(record, request.version) && versions?.isWithheld(record.target.version, request.version !== undefined, nowMs) !== true
}

/** Returns the targets of the version that new requests go to if it has room; none while all versions are served alike. */
function preferredVersion (among: readonly Slot[], request: poolEvent.PlacementRequest, versions: Conditions['versions'], nowMs: number): readonly Slot[] {
  if (versions === undefined || request.version !== undefined || request.isRetry) return []
  return among.filter(({ candidate: { record, isEjected } }) => !isEjected && versions.isPreferred(record.target.version, nowMs))
}

/**
 * Begins a round for the targets of a snapshot.
 *
 * @example
 * ```ts
 * const round = createRound(snapshot, conditions)
 * const verdict = round.decide(request, { ahead: 2, unaware: 0, isReported: true })
 * ```
 */
export function createRound ({ candidates, nowMs }: snapshotModule.PoolSnapshot, conditions: Conditions): Round {
  const { isEngine, memoryTokens, sizes, random, versions } = conditions
  const serviceSums = candidates.reduce((sums, { record }) => targetSpeed.addSums(sums, record.speed.sums()), targetSpeed.NO_SAMPLES)
  const slots = usableAmong(candidates).map((candidate) => slotOf(candidate, serviceSums, conditions, nowMs))
  const assigned = new Map<targetRecord.TargetRecord, number>()
  let takenByPeers = 0
  let hasWaiting = false
  /** Free slots that peers know of too, less those that are used in this round. */
  let sharedFreeSlots = slots.reduce((sum, { candidate: { freeSlots }, unsharedSlots }) => sum + freeSlots - unsharedSlots, 0)

  function isFree ({ candidate: { record, freeSlots } }: Slot): boolean {
    return freeSlots > (assigned.get(record) ?? 0)
  }

  /** Returns whether no peer is likely to use a free slot of the target at the same time. */
  function isUncontended ({ candidate: { record }, unsharedSlots }: Slot, unaware: number): boolean {
    return unsharedSlots > (assigned.get(record) ?? 0) || sharedFreeSlots > unaware
  }

  function optionOf (slot: Slot, request: poolEvent.PlacementRequest, { unaware, isFirst }: Position): Option {
    const { candidate: { record, pauseMs, inFlight }, speed, schedule, workFactor, sendIntervalMs, firstEndMs } = slot
    const sendMs = record.sendWaitMs(nowMs) + (sendIntervalMs === 0 ? 0 : sendIntervalMs * (assigned.get(record) ?? 0))
    const memory = memoryTokens === undefined ? undefined : memoryOf(slot, memoryTokens, conditions, nowMs)
    const canBegin = isFree(slot) && (request.isRetry || (schedule.nextFreeMs() === 0 && isUncontended(slot, unaware))) && (memory === undefined || memoryUse.fits(request.promptTokens + request.outputTokens, memory, isFirst))
    const releaseMs = canBegin ? 0 : Math.max(1, pauseMs, sendMs, schedule.nextFreeMs() || firstEndMs)
    if (!isEngine) return { slot, releaseMs, firstMs: workFactor * speed.baseMs * (1 + inFlight / record.target.slots), generationMs: 0 }
    const prefillTokens = record.hasCachedPrompt(request.promptSegments, nowMs) ? 0 : request.promptTokens
    // The prompts that are pending now will have been read when an occupied slot becomes free.
    const pendingTokens = releaseMs > 0 ? 0 : record.pendingPrefillTokens()
    const generationMs = disturbedMs(speed.decodeMsPerToken * request.outputTokens, workFactor)
    return { slot, releaseMs, firstMs: (releaseMs > DISTURBANCE_MS ? 1 : workFactor) * targetSpeed.firstEventMs(speed, pendingTokens + prefillTokens), generationMs }
  }

  function costMs ({ slot: { candidate, speed, workFactor }, firstMs, generationMs }: Option, request: poolEvent.PlacementRequest): number {
    const { record, inFlight } = candidate
    const lastSlotMs = candidate.freeSlots - (assigned.get(record) ?? 0) <= 1 ? LAST_SLOT_PENALTY_MS : 0
    const delayMs = isEngine ? PREFILL_DELAY_WEIGHT * inFlight * workFactor * speed.prefillMsPerToken * request.promptTokens : 0
    return firstMs + GENERATION_WEIGHT * generationMs + delayMs + FAILURE_PENALTY_MS * record.failureShare + lastSlotMs + SPREAD_MS * random()
  }

  function best (among: readonly Slot[], request: poolEvent.PlacementRequest, position: Position): Option | undefined {
    const options = among.map((slot) => optionOf(slot, request, position))
    const unconfirmed = options.find(({ releaseMs, slot: { candidate: { record } } }) => releaseMs === 0 && record.isLimitUnconfirmed(nowMs))
    if (unconfirmed !== undefined) return unconfirmed
    const capable = options.filter((option) => durationMs(option) < MAX_DURATION_SHARE * (request.limitMs - nowMs))
    if (capable.length === 0) return least(options, durationMs)
    const inTime = capable.filter((option) => nowMs + beginMs(option) <= request.arrivedMs + request.targetLatencyMs)
    const now = inTime.filter(({ releaseMs }) => releaseMs === 0)
    if (now.length > 0) return least(now, (option) => costMs(option, request))
    return least(inTime, beginMs) ?? least(capable, beginMs)
  }

  function takeForPeers (aheadAtPeers: number): void {
    for (; takenByPeers < aheadAtPeers; takenByPeers += 1) {
      const first = least(slots, ({ schedule }) => schedule.nextFreeMs())
      first?.schedule.take(targetSpeed.slotMs(first.speed, sizes.mean()))
    }
  }

  function fastestFirstMs (promptTokens: number): number {
    return slots.length === 0 ? 0 : Math.min(...slots.map(({ speed }) => targetSpeed.firstEventMs(speed, isEngine ? promptTokens : 0)))
  }

  function decide (request: poolEvent.PlacementRequest, { ahead, unaware, isReported }: PeerRequests): Verdict {
    takeForPeers(ahead)
    const position = { unaware, isFirst: isReported && ahead === 0 && !hasWaiting }
    const eligible = slots.filter((slot) => mayGet(slot, request, versions, nowMs) && (memoryTokens === undefined || memoryUse.fitsEmpty(request.promptTokens + request.outputTokens, memoryOf(slot, memoryTokens, conditions, nowMs))))
    const ofVersion = best(preferredVersion(eligible, request, versions, nowMs), request, position)
    const chosen = ofVersion?.releaseMs === 0 ? ofVersion : best(eligible, request, position)
    if (chosen === undefined) return { kind: 'refuse', waitMs: 0 }
    const { slot: { candidate: { record }, schedule, speed }, releaseMs, firstMs } = chosen
    const fastestMs = fastestFirstMs(request.promptTokens)
    const waitMs = releaseMs + Math.max(0, firstMs - fastestMs)
    if (releaseMs > 0 && nowMs - request.arrivedMs + waitMs > waitingOrder.maxWaitMs(request, fastestMs, nowMs)) return { kind: 'refuse', waitMs }
    schedule.take(targetSpeed.slotMs(speed, request))
    if (releaseMs > 0) {
      hasWaiting = true
      return { kind: 'wait', waitMs }
    }
    if (chosen.slot.unsharedSlots <= (assigned.get(record) ?? 0)) sharedFreeSlots -= 1
    assigned.set(record, (assigned.get(record) ?? 0) + 1)
    return { kind: 'dispatch', record }
  }

  return {
    fastestFirstMs,
    decide,
    freeSlots: () => slots.reduce((sum, { candidate: { record, freeSlots } }) => sum + Math.max(0, freeSlots - (assigned.get(record) ?? 0)), 0)
  }
}
