/**
 * Registry of the targets of all services, from the store and from peers.
 *
 * A target that is leaving receives no new requests. One whose store entry was removed receives new requests
 * for a short time, but only if its service has no other target: entries also expire while the store is
 * unavailable and reappear when it is available again.
 *
 * A store that was restored from a copy holds earlier states of targets. Positions of different eras say nothing
 * about which of two states is later, so the targets' own reports decide between them, until the store has been
 * listed again.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** A target as it is registered in the store. */
export interface Target {
  readonly id: string
  readonly service: string
  readonly address: string
  readonly availabilityZone: string
  /** Version of its software; a stream can go on only at the version that began it. */
  readonly version: string
  readonly slots: number
  readonly leaving: boolean
}

/** Point in the history of the store. */
export type Position = protocol.StorePosition

/** A target's report about itself, on which its state in the store is based. */
export interface SelfReport {
  /** Time at which the target started, Unix ms. */
  readonly startedMs: number
  /** Rises with each report since the start. */
  readonly sequence: number
}

/** State of a target at a position of the store; `target` is undefined if its entry was removed. */
export interface VersionedTarget extends Position {
  readonly id: string
  /** Latest report that this state takes into account; undefined if the target numbers none. */
  readonly report?: SelfReport | undefined
  readonly target: Target | undefined
}

/** Says that a target leaves, in one of its responses rather than in its entry. */
export interface Departure {
  readonly id: string
  /** Start of the target that leaves, Unix ms; 0 if its entry states none. */
  readonly startedMs: number
}

/** A listing of all targets. */
export interface TargetListing extends Position {
  readonly targets: readonly VersionedTarget[]
  /**
   * Whether the store has just been restored from a copy. Until targets have written again, entries may be older
   * than what is known of them, and absent ones need not be gone.
   */
  readonly isProvisional: boolean
  /** Whether the changes after it are watched, so that this daemon's position moves on to it. */
  readonly isWatched: boolean
}

/** Time for which a target is used as a last resort after its entry was removed, ms. */
const LAST_RESORT_TARGET_MS = 1_200

/** Maximum number of recorded departures, which bounds the memory. */
const MAX_DEPARTURES = 2_000

/** The targets of all services. */
export interface TargetRegistry {
  /** Applies a state from a peer unless it is outdated; returns whether it was applied. */
  readonly apply: (versioned: VersionedTarget, nowMs: number) => boolean
  /** Applies a change that the store has delivered unless it is outdated; returns whether it was applied. */
  readonly applyChange: (versioned: VersionedTarget, nowMs: number) => boolean
  /** Applies a complete listing: targets that are not in it are removed. */
  readonly applyListing: (listing: TargetListing, nowMs: number) => void
  /** Returns the targets that may receive new requests. */
  readonly usable: (service: string, nowMs: number) => readonly Target[]
  readonly versionedTargets: () => readonly VersionedTarget[]
  /** Records that a target leaves, whatever its entry says until its next start; returns whether this was not known. */
  readonly depart: (departure: Departure) => boolean
  /** Returns whether the current start of a target is known to leave, by its responses or its entry. */
  readonly isLeaving: (id: string) => boolean
  /** Returns the departures of targets whose entries don't show them. */
  readonly departures: () => readonly Departure[]
  /** Returns the start that a target has reported, Unix ms; 0 if it has reported none. */
  readonly startOf: (id: string) => number
  /** Returns the software version in the entry of a target; undefined if it has none. */
  readonly versionOf: (id: string) => string | undefined
  /** Returns the position of the store up to which all changes are applied. */
  readonly position: () => Position
  /** Records that all changes up to a position are applied. */
  readonly advanceTo: (position: Position) => void
}

interface RegistryEntry {
  readonly versioned: VersionedTarget
  /** The target before its entry was removed. */
  readonly lastTarget: Target | undefined
  readonly removedAtMs: number
}

const INITIAL_POSITION: Position = { era: 0, revision: 0 }

/**
 * Returns whether a position is later than another in the history of the store.
 *
 * @example
 * ```ts
 * isLater({ era: 2, revision: 7 }, { era: 1, revision: 90 }) // true
 * ```
 */
export function isLater (position: Position, other: Position): boolean {
  return position.era === other.era ? position.revision > other.revision : position.era > other.era
}

/** Returns a positive number if the first report is later, a negative one if the second is. */
function compareReports (report: SelfReport, other: SelfReport): number {
  return report.startedMs - other.startedMs || report.sequence - other.sequence
}

/** Returns how far a target has got in leaving, which it does not take back before its next start. */
function departureOf (target: Target | undefined): number {
  if (target === undefined) return 2
  return target.leaving ? 1 : 0
}

/** Returns whether a state is later than another whose era may differ. */
function isLaterState (next: VersionedTarget, held: VersionedTarget): boolean {
  if (next.era === held.era || next.report === undefined || held.report === undefined) return isLater(next, held)
  const order = compareReports(next.report, held.report) || departureOf(next.target) - departureOf(held.target)
  return order === 0 ? isLater(next, held) : order > 0
}

/**
 * Creates a registry without targets.
 *
 * @example
 * ```ts
 * registry.applyChange({ id: 'i-1', era: 1, revision: 7, report: { startedMs, sequence: 4 }, target }, nowMs)
 * const candidates = registry.usable('support', nowMs)
 * ```
 */
export function createTargetRegistry (): TargetRegistry {
  const entries = new Map<string, RegistryEntry>()
  /** Starts of the targets whose responses have said that they leave, by id. */
  const departed = new Map<string, number>()
  let applied = INITIAL_POSITION

  function advanceTo ({ era, revision }: Position): void {
    if (isLater({ era, revision }, applied)) applied = { era, revision }
  }

  function applyIf (isApplied: (next: VersionedTarget, held: VersionedTarget) => boolean, versioned: VersionedTarget, nowMs: number): boolean {
    const previous = entries.get(versioned.id)
    if (previous !== undefined && !isApplied(versioned, previous.versioned)) return false
    const wasLeaving = previous?.versioned.target?.leaving === true
    const lastTarget = versioned.target ?? (wasLeaving ? undefined : previous?.versioned.target)
    const report = versioned.report ?? (versioned.target === undefined ? previous?.versioned.report : undefined)
    entries.set(versioned.id, { versioned: { ...versioned, report }, lastTarget, removedAtMs: nowMs })
    return true
  }

  const apply = (versioned: VersionedTarget, nowMs: number): boolean => applyIf(isLaterState, versioned, nowMs)
  const applyChange = (versioned: VersionedTarget, nowMs: number): boolean => applyIf(isLater, versioned, nowMs)

  function applyListing (listing: TargetListing, nowMs: number): void {
    const { era, revision, targets, isProvisional, isWatched } = listing
    if (isWatched) advanceTo(listing)
    const listedIds = new Set(targets.map((versioned) => versioned.id))
    for (const versioned of targets) applyIf(isProvisional ? isLaterState : isLater, versioned, nowMs)
    for (const [id, { versioned }] of [...entries]) {
      const mayBeWrittenAgain = isProvisional && versioned.era < era
      if (listedIds.has(id) || versioned.target === undefined || mayBeWrittenAgain) continue
      applyChange({ id, era, revision, target: undefined }, nowMs)
    }
  }

  const startOf = (id: string): number => entries.get(id)?.versioned.report?.startedMs ?? 0

  const hasDeparted = (id: string): boolean => (departed.get(id) ?? -Infinity) >= startOf(id)

  function depart ({ id, startedMs }: Departure): boolean {
    if (startedMs <= (departed.get(id) ?? -Infinity)) return false
    departed.delete(id)
    departed.set(id, startedMs)
    const oldest = departed.keys().next().value
    if (departed.size > MAX_DEPARTURES && oldest !== undefined) departed.delete(oldest)
    return hasDeparted(id)
  }

  function departures (): readonly Departure[] {
    return [...departed].flatMap(([id, startedMs]) => hasDeparted(id) && entries.get(id)?.versioned.target?.leaving === false ? [{ id, startedMs }] : [])
  }

  function usable (service: string, nowMs: number): readonly Target[] {
    const ready: Target[] = []
    const lastResort: Target[] = []
    for (const { versioned, lastTarget, removedAtMs } of entries.values()) {
      if (hasDeparted(versioned.id)) continue
      if (versioned.target?.service === service && !versioned.target.leaving) ready.push(versioned.target)
      else if (versioned.target === undefined && lastTarget?.service === service && nowMs - removedAtMs < LAST_RESORT_TARGET_MS) lastResort.push(lastTarget)
    }
    return ready.length > 0 ? ready : lastResort
  }

  return {
    apply,
    applyChange,
    applyListing,
    usable,
    depart,
    departures,
    isLeaving: (id) => hasDeparted(id) || entries.get(id)?.versioned.target?.leaving === true,
    advanceTo,
    startOf,
    versionOf: (id) => entries.get(id)?.versioned.target?.version,
    position: () => applied,
    versionedTargets: () => [...entries.values()].map((entry) => entry.versioned)
  }
}
