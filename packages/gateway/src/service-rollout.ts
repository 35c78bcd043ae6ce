/**
 * The roll-out of one service at one daemon: takes the orders, gathers outcomes, and decides if this daemon is the deciding one.
 *
 * @module
 */
import * as rollout from '@persimmonhatch/rollout'
import type * as routing from '@persimmonhatch/routing'
import type * as eventLog from './event-log.js'
import type * as metricsModule from './metrics.js'
import type * as peerMessages from './peer-messages.js'
import * as rolloutRows from './rollout-rows.js'
import type * as rolloutStore from './rollout-store.js'

/** Dependencies of a service's roll-out. */
export interface Options {
  readonly service: string
  readonly bounds: rollout.decision.Bounds
  readonly store: rolloutStore.RolloutStore
  /** Steady time, ms. */
  readonly now: () => number
  /** Time of day, Unix ms. */
  readonly unixNow: () => number
  readonly random: () => number
  /** Whether this daemon decides. */
  readonly isArbiter: () => boolean
  /** Whether the document in force has the service. */
  readonly isKnownService: () => boolean
  /** Returns the requests that this daemon has at targets of other versions. */
  readonly oldInFlight: (to: string) => number
  readonly log: Pick<eventLog.EventLog, 'change'>
  readonly metrics: metricsModule.Metrics
  /** Called when something has to reach all cells at once. */
  readonly announce: () => void
}

/** Interval at which the deciding daemon renews the permission, ms; three renewals fit into the time for which one holds. */
const RENEWAL_MS = 900

/** Interval at which a failed call to the store is tried again, ms. */
const RETRY_MS = 500

/** Time after which an order whose service or version is not known is logged as invalid, ms: targets register and documents arrive meanwhile. */
const UNKNOWN_MS = 3_000

/** Time for which the end of a roll-out is reported to peers, ms. */
const END_REPORTED_MS = 60_000

/** Time after its limit from which a roll-out whose end no peer has reported is looked up in the store, ms. */
const OVERDUE_MS = 3_000

/** Minimum interval at which failures of the new version are reported to all cells out of turn, ms. */
const ALARM_MS = 1_000

interface OrderInProgress extends Pick<rolloutStore.Progress, 'to' | 'durationMs' | 'startedMs'> {
  readonly number: number
  /** Steady time of the order, ms. */
  readonly fromMs: number
}

/** The roll-outs of one service, one after the other. */
export class ServiceRollout {
  readonly versions: rollout.versions.Versions
  private readonly received = new rolloutRows.ReceivedParts()
  private outcomes: rollout.outcomes.Outcomes = {}
  private oldOutcomes: rollout.outcomes.Outcomes = {}
  private stored: rolloutStore.StoredProgress | undefined
  /** An order that has not been checked against the store, the document and the targets yet. */
  private pending: { readonly order: rolloutStore.Order, readonly sinceMs: number, readonly isReported: boolean } | undefined
  private current: OrderInProgress | undefined
  private ignored = 0
  private stageSinceMs = 0
  private endedMs = -Infinity
  private isCalling = false
  private nextCallMs = -Infinity
  private isStopped = false
  private alarmedFailures = 0
  private lastAlarmMs = -Infinity

  constructor (private readonly options: Options) {
    this.versions = new rollout.versions.Versions({ bounds: () => options.bounds, random: options.random })
  }

  /** Takes an order; it is checked with the next ticks. */
  takeOrder (order: rolloutStore.Order): void {
    const lastNumber = Math.max(this.pending?.order.number ?? 0, this.current?.number ?? 0, this.ignored)
    if (order.number <= lastNumber) return
    this.pending = { order, sinceMs: this.options.now(), isReported: false }
    this.stored = undefined
    this.nextCallMs = -Infinity
  }

  /** Records what a request experienced at a target of a version. */
  record (version: string, sample: rollout.outcomes.Sample): void {
    const { metrics, service } = this.options
    if (this.current === undefined || this.isEnded()) return
    const isNew = version === this.current.to
    if (isNew) this.outcomes = rollout.outcomes.addSample(this.outcomes, sample)
    else this.oldOutcomes = rollout.outcomes.addSample(this.oldOutcomes, sample)
    metrics.count('rollout_samples_total', { service, version: isNew ? 'new' : 'old', result: sample.elapsedMs === undefined ? 'failed' : 'answered' })
  }

  /** Returns this daemon's or its cell's part, for reports; undefined if no roll-out is in progress or has ended recently. */
  row (scope: peerMessages.Report['scope']): rolloutRows.RolloutRow | undefined {
    const nowMs = this.options.now()
    const { current } = this
    if (current === undefined || (this.isEnded() && nowMs - this.endedMs > END_REPORTED_MS)) return undefined
    const grant = this.versions.grant(nowMs)
    const known = grant?.order === current.number ? grant : { order: current.number, to: current.to, sequence: 0, stage: 'trial' as const, isHeld: false, remainingMs: 0 }
    const own = this.ownPart()
    return { ...known, ...scope === 'cell' ? own : this.received.sumCell(own, nowMs), ...this.isEnded() ? { outcomes: {}, oldOutcomes: {} } : {} }
  }

  /** Applies a peer's or another cell's part. */
  applyRow (report: peerMessages.Report, row: rolloutRows.RolloutRow, cell: string | undefined): void {
    const nowMs = this.options.now()
    const { order, to, sequence, stage, isHeld, remainingMs } = row
    if (sequence > 0) this.applyGrant({ order, to, sequence, stage, isHeld, remainingMs }, report.from)
    if (row.order === this.current?.number) this.received.apply(report, row, cell, nowMs)
  }

  /** Does what is due; called several times a second. */
  tick (): void {
    const nowMs = this.options.now()
    this.lookUp(nowMs)
    this.checkPending(nowMs)
    const { current } = this
    if (current === undefined) return
    if (this.isEnded()) {
      this.confirmEnd(current, nowMs)
      return
    }
    const fleet = this.received.sumFleet(this.ownPart(), nowMs)
    const observation = this.observe(current, fleet, nowMs)
    const step = rollout.decision.nextStep(observation, this.options.bounds)
    this.stopIfWorse(step)
    this.alarm(nowMs)
    if (this.options.isArbiter()) this.decide(current, observation, step, nowMs)
  }

  private isEnded (): boolean {
    return this.endedMs > -Infinity
  }

  private ownPart (): rolloutRows.Part {
    const { arrivals, sends } = this.versions.counts()
    const { to = '' } = this.current ?? {}
    return { arrivals, sends, oldInFlight: this.options.oldInFlight(to), lagging: this.versions.hasMoved(this.options.now()) ? 0 : 1, outcomes: this.outcomes, oldOutcomes: this.oldOutcomes }
  }

  private observe (current: OrderInProgress, fleet: rolloutRows.Part, nowMs: number): rollout.decision.Observation {
    return {
      ...fleet,
      laggingDaemons: fleet.lagging,
      stage: this.stage(nowMs),
      ageMs: nowMs - current.fromMs,
      stageAgeMs: nowMs - this.stageSinceMs,
      durationMs: current.durationMs,
      hasTargets: this.versions.hasTargetsOf(current.to),
      hasOldTargets: this.versions.hasTargetsBeside(current.to)
    }
  }

  private stage (nowMs: number): rollout.decision.Stage {
    const grant = this.versions.grant(nowMs)
    return grant?.order === this.current?.number ? grant?.stage ?? 'trial' : 'trial'
  }

  /** Stops this daemon's part at once if what it knows already shows that the version is worse; the deciding daemon ends the roll-out. */
  private stopIfWorse ({ stage, reason, finding }: rollout.decision.Step): void {
    const isStopped = stage === 'rolled_back' && finding.kind !== 'no-difference'
    if (isStopped === this.isStopped) return
    this.isStopped = isStopped
    this.versions.setStopped(isStopped)
    this.options.log.change(isStopped ? 'roll-out stopped here' : 'roll-out no longer stopped here', { service: this.options.service, to: this.current?.to, reason, ...finding })
  }

  /** Reports failures to all cells out of turn. */
  private alarm (nowMs: number): void {
    const failures = Object.values(this.outcomes).reduce((sum, [count]) => sum + count, 0)
    if (failures <= this.alarmedFailures || nowMs - this.lastAlarmMs < ALARM_MS) return
    this.alarmedFailures = failures
    this.lastAlarmMs = nowMs
    this.options.announce()
  }

  private applyGrant (grant: rollout.grants.Grant, source: string): void {
    const { log, metrics, now, service } = this.options
    const nowMs = now()
    if (grant.order < (this.current?.number ?? 0)) return
    const previousStage = this.current?.number === grant.order ? this.stage(nowMs) : undefined
    if (!this.versions.applyGrant(grant, nowMs)) return
    if ((this.current?.number ?? 0) < grant.order) this.begin(this.orderOf(grant, nowMs))
    if (previousStage === grant.stage) return
    this.stageSinceMs = nowMs
    if (rollout.decision.isFinal(grant.stage) && !this.isEnded()) this.endedMs = nowMs
    log.change('roll-out stage changed', { service, to: grant.to, order: grant.order, stage: grant.stage, previousStage, source })
    metrics.count('rollout_stages_total', { service, stage: grant.stage })
  }

  /** Returns the order of a grant. A daemon that has not seen it reads its duration from the store before it decides. */
  private orderOf ({ order: number, to }: rollout.grants.Grant, nowMs: number): OrderInProgress {
    const order = this.pending?.order.number === number ? this.pending.order : undefined
    return { number, to, durationMs: order?.durationMs ?? Infinity, startedMs: this.options.unixNow(), fromMs: nowMs }
  }

  private begin (current: OrderInProgress): void {
    this.current = current
    this.endedMs = -Infinity
    this.stageSinceMs = this.options.now()
    this.outcomes = {}
    this.oldOutcomes = {}
    this.alarmedFailures = 0
    this.received.clear()
    this.isStopped = false
    this.versions.setStopped(false)
    this.versions.expect(current.number, current.to)
  }

  /** Reads the progress from the store if it is needed and not known. */
  private lookUp (nowMs: number): void {
    const { current } = this
    const isOverdue = current !== undefined && !this.isEnded() && nowMs > current.fromMs + current.durationMs + OVERDUE_MS && !this.options.isArbiter()
    const isUnknown = this.stored === undefined && (this.pending !== undefined || (current !== undefined && this.options.isArbiter()))
    if ((!isOverdue && !isUnknown) || this.isCalling || nowMs < this.nextCallMs) return
    this.isCalling = true
    this.nextCallMs = nowMs + (isOverdue ? OVERDUE_MS : RETRY_MS)
    this.options.store.load(this.options.service, (loaded) => {
      this.isCalling = false
      if (loaded.isOk()) this.adopt(loaded.value)
      else this.options.log.change('roll-out progress not loaded', { service: this.options.service, detail: loaded.error.message })
    })
  }

  /** Takes over what is stored, unless an order after it is in progress here. */
  private adopt (stored: rolloutStore.StoredProgress): void {
    this.stored = stored
    const { progress } = stored
    if (progress === undefined) return
    this.ignored = Math.max(this.ignored, progress.ignored)
    const { now, unixNow } = this.options
    if (progress.order < (this.current?.number ?? 0)) return
    // A roll-out that had been completed before this daemon knew of it says nothing about the versions that serve now.
    if (progress.stage === 'completed' && this.current?.number !== progress.order) {
      this.ignored = Math.max(this.ignored, progress.order)
      return
    }
    if (this.current?.number !== progress.order) {
      const { order, to, durationMs, startedMs } = progress
      this.begin({ number: order, to, durationMs, startedMs, fromMs: now() - Math.max(0, unixNow() - startedMs) })
    } else if (this.current.durationMs === Infinity) {
      this.current = { ...this.current, durationMs: progress.durationMs, startedMs: progress.startedMs, fromMs: now() - Math.max(0, unixNow() - progress.startedMs) }
    }
    if (this.pending !== undefined && this.pending.order.number <= progress.order) this.pending = undefined
    this.applyGrant({ order: progress.order, to: progress.to, sequence: progress.sequence, stage: progress.stage, isHeld: false, remainingMs: 0 }, 'store')
  }

  /** Begins the pending order once it is valid, or logs why it is not carried out. */
  private checkPending (nowMs: number): void {
    const { pending, stored, current } = this
    if (pending === undefined || stored === undefined) return
    const { order, sinceMs, isReported } = pending
    const { log, service } = this.options
    if (order.number <= Math.max(this.ignored, current?.number ?? 0)) {
      this.pending = undefined
      return
    }
    if (current !== undefined && !this.isEnded()) {
      log.change('roll-out order ignored', { service, to: order.to, order: order.number, reason: 'another one is in progress', inProgress: current.to })
      this.ignored = order.number
      this.pending = undefined
      return
    }
    const reason = this.problemOf(order)
    if (reason === undefined) {
      this.pending = undefined
      const fromMs = order.isFresh ? sinceMs : nowMs
      this.begin({ number: order.number, to: order.to, durationMs: order.durationMs, startedMs: this.options.unixNow() - Math.round(nowMs - fromMs), fromMs })
      log.change('roll-out order taken', { service, to: order.to, order: order.number, durationMs: order.durationMs })
    } else if (!isReported && nowMs - sinceMs > UNKNOWN_MS) {
      log.change('roll-out order invalid', { service, to: order.to, order: order.number, reason })
      this.pending = { ...pending, isReported: true }
    } else if (nowMs - sinceMs > order.durationMs) {
      this.pending = undefined
    }
  }

  private problemOf ({ to }: rolloutStore.Order): string | undefined {
    if (!this.options.isKnownService()) return 'the service is unknown'
    return this.versions.hasTargetsOf(to) ? undefined : 'no target of the service has the version'
  }

  private decide (current: OrderInProgress, observation: rollout.decision.Observation, step: rollout.decision.Step, nowMs: number): void {
    const isChange = step.stage !== observation.stage
    if (this.stored === undefined || current.durationMs === Infinity || this.isCalling || (nowMs < this.nextCallMs && !isChange)) return
    const grant = { order: current.number, to: current.to, sequence: this.nextSequence(current, nowMs), stage: step.stage, isHeld: step.isHeld, remainingMs: 0 }
    if (isChange) {
      const { finding, reason } = step
      const { sends, arrivals, outcomes } = observation
      this.options.log.change('roll-out decided', { service: this.options.service, to: current.to, stage: step.stage, reason, ageMs: Math.round(observation.ageMs), sends, arrivals, samples: rollout.outcomes.sampleCount(outcomes), ...finding.kind === 'no-difference' ? {} : { finding } })
      // A roll-back takes effect without the store, as it only ends the exposure.
      if (step.stage === 'rolled_back') this.applyGrant(grant, 'decision')
      this.options.announce()
    }
    this.write(current, grant, this.stored.revision, nowMs)
  }

  private nextSequence (current: OrderInProgress, nowMs: number): number {
    const progress = this.stored?.progress
    const grant = this.versions.grant(nowMs)
    return 1 + Math.max(progress?.order === current.number ? progress.sequence : 0, grant?.order === current.number ? grant.sequence : 0)
  }

  /** Writes the end of a roll-out that took effect before the store had it, also if the daemon that decided it has died since. */
  private confirmEnd (current: OrderInProgress, nowMs: number): void {
    const { stored } = this
    const grant = this.versions.grant(nowMs)
    if (stored === undefined || grant === undefined || grant.order !== current.number || this.isCalling || nowMs < this.nextCallMs) return
    const isConfirmed = stored.progress !== undefined && (stored.progress.order > current.number || (stored.progress.order === current.number && rollout.decision.isFinal(stored.progress.stage)))
    if (isConfirmed || current.durationMs === Infinity || !this.options.isArbiter()) return
    this.write(current, { ...grant, sequence: this.nextSequence(current, nowMs) }, stored.revision, nowMs)
  }

  /** Writes the progress. The grant is in force once the store has confirmed it. */
  private write (current: OrderInProgress, grant: rollout.grants.Grant, revision: number, nowMs: number): void {
    const { bounds, log, metrics, now, service, store } = this.options
    this.isCalling = true
    this.nextCallMs = nowMs + RENEWAL_MS
    const { number: order, to, durationMs, startedMs } = current
    store.write(service, { order, to, durationMs, startedMs, stage: grant.stage, sequence: grant.sequence, ignored: this.ignored }, revision, (written) => {
      this.isCalling = false
      metrics.count('rollout_writes_total', { service, result: written.isErr() ? 'failed' : written.value.isWritten ? 'written' : 'outdated' })
      if (written.isErr()) {
        log.change('roll-out progress not written', { service, to, stage: grant.stage, detail: written.error.message })
        this.nextCallMs = now() + RETRY_MS
        // The write may have taken effect.
        this.stored = undefined
      } else if (written.value.isWritten) {
        this.stored = written.value
        // The permission counts from the call, since the answer may have waited.
        this.applyGrant({ ...grant, remainingMs: Math.max(0, rollout.decision.permissionMs(bounds) - (now() - nowMs)) }, 'decision')
        this.options.announce()
      } else {
        this.adopt(written.value)
        this.nextCallMs = now()
      }
    })
  }
}

/** Returns what a pool needs to know of the versions of a service. */
export function gateOf ({ versions }: ServiceRollout): routing.versionGate.VersionGate {
  return {
    arrived: (nowMs) => { versions.arrived(nowMs) },
    sent: (version, nowMs) => { versions.sent(version, nowMs) },
    isWithheld: (version, isBound, nowMs) => versions.isWithheld(version, isBound, nowMs),
    isPreferred: (version, nowMs) => versions.isPreferred(version, nowMs)
  }
}
