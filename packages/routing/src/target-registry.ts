/**
 * Which targets there are, from the store and from peers.
 *
 * A target that is leaving gets nothing new. One whose entry vanished gets something new for a short
 * time, and only when its service has nothing else: entries also lapse while the store is away and
 * come back when it returns.
 *
 * @module
 */

/** What a target says of itself. */
export interface Target {
  readonly id: string
  readonly service: string
  readonly address: string
  readonly availabilityZone: string
  readonly slots: number
  readonly leaving: boolean
}

/** What is known of a target as of a revision of the store; no target when its entry was removed. */
export interface Fact {
  readonly id: string
  readonly revision: number
  readonly target: Target | undefined
}

/** Time for which a target whose entry vanished is still a last resort, ms. */
const LAST_RESORT_TARGET_MS = 1_200

/** The targets of all services. */
export interface TargetRegistry {
  /** Takes a fact over unless a newer one is known; true when something changed. */
  readonly apply: (versioned: Fact, nowMs: number) => boolean
  /** Takes a whole listing: whatever it does not name has gone. */
  readonly applySnapshot: (versionedTargets: readonly Fact[], revision: number, nowMs: number) => void
  /** Targets that may get new work. */
  readonly usable: (service: string, nowMs: number) => readonly Target[]
  readonly versionedTargets: () => readonly Fact[]
  /** Revision of the store up to which everything is known. */
  readonly revision: () => number
  /** Says that everything up to a revision is known. */
  readonly advanceRevision: (revision: number) => void
}

interface RegistryEntry {
  readonly versioned: Fact
  /** The target as it was before its entry vanished. */
  readonly lastTarget: Target | undefined
  readonly removedAtMs: number
}

/**
 * Creates the registry.
 *
 * @example
 * ```ts
 * registry.learn({ id: 'i-1', revision: 7, target }, nowMs)
 * const candidates = registry.usable('support', nowMs)
 * ```
 */
export function createTargetRegistry (): TargetRegistry {
  const entries = new Map<string, RegistryEntry>()
  let appliedRevision = 0

  function advanceRevision (revision: number): void {
    appliedRevision = Math.max(appliedRevision, revision)
  }

  function apply (versioned: Fact, nowMs: number): boolean {
    const previous = entries.get(versioned.id)
    if (previous !== undefined && previous.versioned.revision >= versioned.revision) return false
    const wasLeaving = previous?.versioned.target?.leaving === true
    const lastTarget = versioned.target ?? (wasLeaving ? undefined : previous?.versioned.target)
    entries.set(versioned.id, { versioned, lastTarget, removedAtMs: nowMs })
    return true
  }

  function applySnapshot (versionedTargets: readonly Fact[], revision: number, nowMs: number): void {
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

  return { apply, applySnapshot, usable, advanceRevision, revision: () => appliedRevision, versionedTargets: () => [...entries.values()].map((entry) => entry.versioned) }
}
