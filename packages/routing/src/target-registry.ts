/**
 * Registry of the targets of all services, from the store and from peers.
 *
 * A target that is leaving receives no new requests. One whose store entry was removed receives new requests
 * for a short time, but only if its service has no other target: entries also expire while the store is
 * unavailable and reappear when it is available again.
 *
 * @module
 */

/** A target as it is registered in the store. */
export interface Target {
  readonly id: string
  readonly service: string
  readonly address: string
  readonly availabilityZone: string
  readonly slots: number
  readonly leaving: boolean
}

/** State of a target at a revision of the store; `target` is undefined if its entry was removed. */
export interface VersionedTarget {
  readonly id: string
  readonly revision: number
  readonly target: Target | undefined
}

/** Time for which a target is used as a last resort after its entry was removed, ms. */
const LAST_RESORT_TARGET_MS = 1_200

/** The targets of all services. */
export interface TargetRegistry {
  /** Applies the state of a target unless it is outdated; returns whether it was applied. */
  readonly apply: (versioned: VersionedTarget, nowMs: number) => boolean
  /** Applies a complete listing: targets that are not in it are removed. */
  readonly applyListing: (versionedTargets: readonly VersionedTarget[], revision: number, nowMs: number) => void
  /** Returns the targets that may receive new requests. */
  readonly usable: (service: string, nowMs: number) => readonly Target[]
  readonly versionedTargets: () => readonly VersionedTarget[]
  /** Returns the revision of the store up to which all changes are applied. */
  readonly revision: () => number
  /** Records that all changes up to a revision are applied. */
  readonly advanceRevision: (revision: number) => void
}

interface RegistryEntry {
  readonly versioned: VersionedTarget
  /** The target before its entry was removed. */
  readonly lastTarget: Target | undefined
  readonly removedAtMs: number
}

/**
 * Creates a registry without targets.
 *
 * @example
 * ```ts
 * registry.apply({ id: 'i-1', revision: 7, target }, nowMs)
 * const candidates = registry.usable('support', nowMs)
 * ```
 */
export function createTargetRegistry (): TargetRegistry {
  const entries = new Map<string, RegistryEntry>()
  let appliedRevision = 0

  function advanceRevision (revision: number): void {
    appliedRevision = Math.max(appliedRevision, revision)
  }

  function apply (versioned: VersionedTarget, nowMs: number): boolean {
    const previous = entries.get(versioned.id)
    if (previous !== undefined && previous.versioned.revision >= versioned.revision) return false
    const wasLeaving = previous?.versioned.target?.leaving === true
    const lastTarget = versioned.target ?? (wasLeaving ? undefined : previous?.versioned.target)
    entries.set(versioned.id, { versioned, lastTarget, removedAtMs: nowMs })
    return true
  }

  function applyListing (versionedTargets: readonly VersionedTarget[], revision: number, nowMs: number): void {
    advanceRevision(revision)
    const listedIds = new Set(versionedTargets.map((versioned) => versioned.id))
    for (const versioned of versionedTargets) apply(versioned, nowMs)
    for (const [id, { versioned }] of [...entries]) {
      if (!listedIds.has(id) && versioned.target !== undefined) apply({ id, revision, target: undefined }, nowMs)
    }
  }

  function usable (service: string, nowMs: number): readonly Target[] {
    const ready: Target[] = []
    const lastResort: Target[] = []
    for (const { versioned, lastTarget, removedAtMs } of entries.values()) {
      if (versioned.target?.service === service && !versioned.target.leaving) ready.push(versioned.target)
      else if (versioned.target === undefined && lastTarget?.service === service && nowMs - removedAtMs < LAST_RESORT_TARGET_MS) lastResort.push(lastTarget)
    }
    return ready.length > 0 ? ready : lastResort
  }

  return { apply, applyListing, usable, advanceRevision, revision: () => appliedRevision, versionedTargets: () => [...entries.values()].map((entry) => entry.versioned) }
}
