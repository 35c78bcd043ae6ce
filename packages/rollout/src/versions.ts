/**
 * Decides, for one service at one daemon, which versions a request may go to now.
 *
 * A roll-out's grants decide about its version. Without an order, a version that appears beside the one in service gets the share of a
 * trial as long as all targets of the version in service stay. Once one of them leaves, the targets are being replaced, and all
 * versions are served alike.
 *
 * @module
 */
import * as decision from './decision.js'
import * as exposureModule from './exposure.js'
import * as grants from './grants.js'

/** A target that may get requests. */
export interface VersionedTarget {
  readonly id: string
  readonly version: string
  /** Time at which it started, Unix ms; 0 if it is unknown. */
  readonly startedMs: number
}

/** Options of the versions of a service. */
export interface Options {
  readonly bounds: () => Pick<decision.Bounds, 'exposureShare'>
  /** Returns a number that is at least 0 and below 1. */
  readonly random: () => number
}

/** Time for which a target that has left shows that targets are being replaced, ms: its successor starts meanwhile. */
const REPLACEMENT_MS = 15_000

const NOTHING: exposureModule.Permission = { share: 0, totalShare: 0 }

/**
 * The versions of one service.
 *
 * @example
 * ```ts
 * const versions = new Versions({ bounds, random: Math.random })
 * versions.observe(targets, nowMs)
 * versions.arrived(nowMs)
 * const usable = targets.filter(({ version }) => !versions.isWithheld(version, false, nowMs))
 * ```
 */
export class Versions {
  private readonly holder = grants.createGrantHolder()
  private targets: ReadonlyMap<string, VersionedTarget> = new Map()
  /** The version in service, beside which others are new. */
  private established: string | undefined
  private lastLossMs = -Infinity
  /** Versions that replace the one in service without an order. */
  private replacing: ReadonlySet<string> = new Set()
  /** Versions that a completed order has replaced and whose targets stop. */
  private retired: ReadonlySet<string> = new Set()
  /** The latest order, for whose version nothing holds but its grants. */
  private order: { readonly number: number, readonly to: string } | undefined
  /** Versions that were rolled back and whose targets have not gone yet. */
  private rolledBack: ReadonlySet<string> = new Set()
  /** Accounts of limited versions, one for each order. */
  private readonly accounts = new Map<string, { readonly order: number, readonly exposure: exposureModule.Exposure }>()
  private isStopped = false

  constructor (private readonly options: Options) {}

  /** Records the targets that may get requests now. */
  observe (current: readonly VersionedTarget[], nowMs: number): void {
    const next = new Map(current.map((target) => [target.id, target]))
    for (const { id, version } of this.targets.values()) {
      if (version === this.established && next.get(id)?.version !== version) this.lastLossMs = nowMs
    }
    this.targets = next
    if (this.established === undefined || !this.hasTargetsOf(this.established)) this.established = this.oldestVersion()
    const versions = new Set(current.map(({ version }) => version))
    const isReplacement = nowMs - this.lastLossMs < REPLACEMENT_MS
    this.replacing = new Set([...versions].filter((version) => version !== this.established && (isReplacement || this.replacing.has(version))))
    this.retired = new Set([...this.retired].filter((version) => versions.has(version)))
    this.rolledBack = new Set([...this.rolledBack].filter((version) => versions.has(version)))
    for (const version of this.accounts.keys()) if (!versions.has(version) && version !== this.order?.to) this.accounts.delete(version)
  }

  /** Prepares for an order: nothing goes to its version until a grant arrives. */
  expect (number: number, to: string): void {
    if (number > (this.order?.number ?? 0)) this.order = { number, to }
  }

  /** Applies a grant unless it is older; returns whether it is new. */
  applyGrant (grant: grants.Grant, nowMs: number): boolean {
    if (!this.holder.apply(grant, nowMs)) return false
    this.expect(grant.order, grant.to)
    if (this.order?.number !== grant.order || !decision.isFinal(grant.stage)) return true
    this.order = undefined
    if (grant.stage === 'completed') {
      this.established = grant.to
      this.retired = new Set([...this.targets.values()].map(({ version }) => version).filter((version) => version !== grant.to))
    } else if (this.hasTargetsOf(grant.to)) {
      this.rolledBack = new Set([...this.rolledBack, grant.to])
    }
    return true
  }

  /** Returns the latest grant with what is left of it. */
  grant (nowMs: number): grants.Grant | undefined {
    return this.holder.latest(nowMs)
  }

  /** Counts a request that has arrived for the service. */
  arrived (nowMs: number): void {
    for (const version of new Set([...this.targets.values()].map((target) => target.version))) {
      const permission = this.permissionFor(version, nowMs)
      if (permission !== undefined) this.accountOf(version).arrived(permission)
    }
  }

  /** Counts a request that is sent to a target of a version. */
  sent (version: string, nowMs: number): void {
    if (this.permissionFor(version, nowMs) !== undefined) this.accountOf(version).sent()
  }

  /** Returns whether a version gets no request now; a bound one can go to no other version. */
  isWithheld (version: string, isBound: boolean, nowMs: number): boolean {
    const permission = this.permissionFor(version, nowMs)
    if (permission !== undefined) return !this.accountOf(version).isAllowed(permission, isBound)
    // Streams that began at the old version go on there as long as it serves.
    return !isBound && (this.retired.has(version) || this.isMovedFrom(version, nowMs))
  }

  /** Returns whether requests should go to a version if it has room. */
  isPreferred (version: string, nowMs: number): boolean {
    return this.permissionFor(version, nowMs) !== undefined && !this.isWithheld(version, false, nowMs)
  }

  /** Returns whether this daemon sends everything to the version of the order. */
  hasMoved (nowMs: number): boolean {
    const { order } = this
    return order === undefined || (this.hasTargetsOf(order.to) && (!this.hasTargetsBeside(order.to) || this.isJudgedGood(nowMs)))
  }

  /** Returns the requests since the order, and those of them that were sent to its version. */
  counts (): { readonly arrivals: number, readonly sends: number } {
    const exposure = this.order === undefined ? undefined : this.accounts.get(this.order.to)?.exposure
    return { arrivals: exposure?.arrivals() ?? 0, sends: exposure?.sends() ?? 0 }
  }

  /** Stops sending to the version of the order for now, or allows it again, because of what this daemon knows itself. */
  setStopped (isStopped: boolean): void {
    this.isStopped = isStopped
  }

  hasTargetsOf (version: string): boolean {
    return [...this.targets.values()].some((target) => target.version === version)
  }

  hasTargetsBeside (version: string): boolean {
    return [...this.targets.values()].some((target) => target.version !== version)
  }

  private oldestVersion (): string | undefined {
    return [...this.targets.values()].sort((a, b) => a.startedMs - b.startedMs || (a.version < b.version ? -1 : 1))[0]?.version
  }

  private permissionOfOrder (nowMs: number): exposureModule.Permission {
    const grant = this.holder.latest(nowMs)
    if (grant === undefined || grant.order !== this.order?.number || grant.isHeld || !this.holder.isInForce(nowMs)) return NOTHING
    return this.isStopped ? NOTHING : decision.permissionOf(grant.stage, this.options.bounds())
  }

  private isJudgedGood (nowMs: number): boolean {
    return this.permissionOfOrder(nowMs).totalShare === undefined
  }

  private isMovedFrom (version: string, nowMs: number): boolean {
    const { order } = this
    return order !== undefined && version !== order.to && this.hasTargetsOf(order.to) && this.isJudgedGood(nowMs)
  }

  /** Returns what may be sent to a version; undefined if it is not limited. */
  private permissionFor (version: string, nowMs: number): exposureModule.Permission | undefined {
    if (!this.hasTargetsBeside(version)) return undefined
    if (version === this.order?.to) return this.permissionOfOrder(nowMs)
    if (this.rolledBack.has(version)) return NOTHING
    if (version === this.established || this.replacing.has(version) || this.retired.has(version)) return undefined
    // While an order is in progress, only its version is exposed.
    return this.order === undefined ? decision.permissionOf('trial', this.options.bounds()) : NOTHING
  }

  /** Returns the account of a limited version, a new one for each order. */
  private accountOf (version: string): exposureModule.Exposure {
    const order = this.order?.number ?? 0
    const existing = this.accounts.get(version)
    if (existing?.order === order) return existing.exposure
    const exposure = exposureModule.createExposure(this.options.random())
    this.accounts.set(version, { order, exposure })
    return exposure
  }
}
