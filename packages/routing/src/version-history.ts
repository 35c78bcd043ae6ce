/**
 * History of the software versions of the targets of each service, in Unix time. It outlives the daemons as a record
 * in the store, and tells a daemon that knows nothing of a stream which versions can have begun it.
 *
 * @module
 */

/** Time in which a version served; `untilMs` is null while it still does. Times are Unix ms. */
export interface VersionPeriod {
  readonly version: string
  readonly fromMs: number
  readonly untilMs: number | null
}

/** The history as it is stored. */
export interface HistoryRecord {
  /** Time from which the history is complete, Unix ms; 0 if it is complete from the first start of the fleet. */
  readonly sinceMs: number
  readonly services: Readonly<Record<string, readonly VersionPeriod[]>>
}

/** The history as one daemon knows it. */
export interface VersionHistory {
  /** Records which versions the targets of each service have now; returns whether any began or ceased to serve. */
  readonly observe: (versions: ReadonlyMap<string, ReadonlySet<string>>, nowMs: number) => boolean
  /** Adds the stored history. Without a record, the history is complete only if the fleet has never started before. */
  readonly restore: (record: HistoryRecord | undefined, isFirstStart: boolean, nowMs: number) => void
  readonly isRestored: () => boolean
  /** Returns the only version that can have begun a stream that is resumed now; undefined if there are several or the history is incomplete. */
  readonly onlyVersionOf: (service: string, nowMs: number) => string | undefined
  /** Returns whether several versions of a service can have begun streams that may still be resumed. */
  readonly hasSeveral: (nowMs: number) => boolean
  /** Returns the history to store, merged into the one that is stored. */
  readonly merge: (stored: HistoryRecord | undefined, nowMs: number) => HistoryRecord
}

/** Time for which a version that no longer serves counts: streams are resumed for 60 s, and clocks of VMs differ. */
export const VERSION_RETENTION_MS = 70_000

type Periods = ReadonlyMap<string, VersionPeriod>

function joinPeriods (period: VersionPeriod, other: VersionPeriod | undefined): VersionPeriod {
  if (other === undefined) return period
  return { version: period.version, fromMs: Math.min(period.fromMs, other.fromMs), untilMs: period.untilMs }
}

function isPeriod (value: unknown): value is VersionPeriod {
  if (typeof value !== 'object' || value === null) return false
  const { version, fromMs, untilMs } = value as Partial<VersionPeriod>
  return typeof version === 'string' && Number.isFinite(fromMs) && (untilMs === null || Number.isFinite(untilMs))
}

/**
 * Returns the history in a stored record; undefined if it is malformed.
 *
 * @example
 * ```ts
 * parseHistory({ sinceMs: 0, services: { support: [{ version: 'v1', fromMs: 1_764_841_234_567, untilMs: null }] } })
 * ```
 */
export function parseHistory (value: unknown): HistoryRecord | undefined {
  if (typeof value !== 'object' || value === null) return undefined
  const { sinceMs, services } = value as Partial<HistoryRecord>
  if (!Number.isFinite(sinceMs) || typeof services !== 'object' || services === null) return undefined
  const isComplete = Object.values(services).every((periods) => Array.isArray(periods) && periods.every(isPeriod))
  return isComplete ? value as HistoryRecord : undefined
}

/**
 * Creates the history of a daemon that has just started. `steadyNow` returns a time that only rises, ms: the time of day
 * may jump, so what this daemon has seen end is forgotten only when both say so.
 *
 * @example
 * ```ts
 * const history = createVersionHistory(() => performance.now())
 * history.observe(new Map([['support', new Set(['v1'])]]), unixMs)
 * history.restore(record, false, unixMs)
 * history.onlyVersionOf('support', unixMs) // 'v1'
 * ```
 */
export function createVersionHistory (steadyNow: () => number): VersionHistory {
  const services = new Map<string, Periods>()
  /** Steady times at which versions ceased to serve, by service and version. */
  const endedMs = new Map<string, Map<string, number>>()
  /** Undefined until the history is restored. */
  let sinceMs: number | undefined
  /** Steady time from which the history is complete if there was no record of earlier. */
  let sinceSteadyMs = -Infinity
  let hasObserved = false

  function isRetained (service: string, { version, untilMs }: VersionPeriod, nowMs: number): boolean {
    if (untilMs === null) return true
    const ageMs = Math.min(nowMs - untilMs, steadyNow() - (endedMs.get(service)?.get(version) ?? -Infinity))
    return ageMs <= VERSION_RETENTION_MS
  }

  function recordEnd (service: string, version: string): void {
    endedMs.set(service, (endedMs.get(service) ?? new Map<string, number>()).set(version, steadyNow()))
  }

  function retainedPeriods (service: string, nowMs: number): readonly VersionPeriod[] {
    return [...services.get(service)?.values() ?? []].filter((period) => isRetained(service, period, nowMs))
  }

  function observeService (service: string, versions: ReadonlySet<string>, nowMs: number): boolean {
    const periods = new Map(services.get(service))
    let hasChanged = false
    for (const [version, period] of periods) {
      if (period.untilMs !== null || versions.has(version)) continue
      periods.set(version, { ...period, untilMs: nowMs })
      recordEnd(service, version)
      hasChanged = true
    }
    for (const version of versions) {
      const period = periods.get(version)
      if (period?.untilMs === null) continue
      periods.set(version, { version, fromMs: period?.fromMs ?? nowMs, untilMs: null })
      hasChanged = true
    }
    services.set(service, periods)
    return hasChanged
  }

  function observe (versions: ReadonlyMap<string, ReadonlySet<string>>, nowMs: number): boolean {
    hasObserved = true
    const changes = [...new Set([...services.keys(), ...versions.keys()])].map((service) => observeService(service, versions.get(service) ?? new Set(), nowMs))
    return changes.includes(true)
  }

  function restore (record: HistoryRecord | undefined, isFirstStart: boolean, nowMs: number): void {
    sinceMs = record?.sinceMs ?? (isFirstStart ? 0 : nowMs)
    if (record === undefined && !isFirstStart) sinceSteadyMs = steadyNow()
    for (const [service, stored] of Object.entries(record?.services ?? {})) {
      const periods = new Map(services.get(service))
      for (const period of stored) {
        const observed = periods.get(period.version)
        if (hasObserved && observed === undefined && period.untilMs === null) recordEnd(service, period.version)
        const untilMs = hasObserved ? period.untilMs ?? nowMs : period.untilMs
        periods.set(period.version, observed === undefined ? { ...period, untilMs } : joinPeriods(observed, period))
      }
      services.set(service, periods)
    }
  }

  function onlyVersionOf (service: string, nowMs: number): string | undefined {
    if (sinceMs === undefined || Math.min(nowMs - sinceMs, steadyNow() - sinceSteadyMs) < VERSION_RETENTION_MS) return undefined
    const [period, ...others] = retainedPeriods(service, nowMs)
    return others.length === 0 ? period?.version : undefined
  }

  function merge (stored: HistoryRecord | undefined, nowMs: number): HistoryRecord {
    const merged = [...new Set([...services.keys(), ...Object.keys(stored?.services ?? {})])].map((service) => {
      const storedPeriods = new Map((stored?.services[service] ?? []).map((period) => [period.version, period]))
      const own = [...services.get(service)?.values() ?? []].map((period) => joinPeriods(period, storedPeriods.get(period.version)))
      const others = [...storedPeriods.values()].filter(({ version }) => services.get(service)?.has(version) !== true)
      return [service, [...own, ...others].filter((period) => isRetained(service, period, nowMs))] as const
    })
    return { sinceMs: Math.min(sinceMs ?? nowMs, stored?.sinceMs ?? Infinity), services: Object.fromEntries(merged) }
  }

  return {
    observe,
    restore,
    isRestored: () => sinceMs !== undefined,
    onlyVersionOf,
    hasSeveral: (nowMs) => [...services.keys()].some((service) => retainedPeriods(service, nowMs).length > 1),
    merge
  }
}
