/**
 * Records at which software version each stream began, so that it goes on only there.
 *
 * @module
 */

/** The beginning of a stream. */
export interface StreamBeginning {
  /** Request id of the attempt that brought the stream's first event. */
  readonly requestId: string
  readonly service: string
  readonly version: string
}

/** Request ids of streams by the version at which they began, by service. */
export type StreamReport = Readonly<Record<string, Readonly<Record<string, readonly string[]>>>>

/** The beginnings of streams. */
export interface StreamVersions {
  /** Records the beginning of a stream of this daemon. */
  readonly record: (beginning: StreamBeginning, nowMs: number) => void
  /** Records the beginnings that a peer has reported. */
  readonly applyReport: (report: StreamReport, nowMs: number) => void
  /** Records beginnings that were stored before this daemon started. */
  readonly restore: (report: StreamReport, nowMs: number) => void
  readonly find: (requestId: string, nowMs: number) => StreamBeginning | undefined
  /** Returns the versions at which the recorded streams of a service began. */
  readonly versionsOf: (service: string, nowMs: number) => ReadonlySet<string>
  /** Removes and returns up to `maxRows` beginnings of this daemon that no report had yet, the oldest first. */
  readonly takeUnreported: (maxRows: number) => StreamReport
}

/** Time after its beginning in which a stream may be resumed, ms. */
const RETENTION_MS = 60_000

/** Maximum number of recorded streams, which bounds the memory. */
const MAX_STREAMS = 20_000

/** Maximum length of a request id that is recorded, characters. */
const MAX_ID_LENGTH = 64

interface RecordedBeginning {
  readonly beginning: StreamBeginning
  readonly recordedMs: number
}

/**
 * Groups beginnings by service and version.
 *
 * @example
 * ```ts
 * toStreamReport([{ requestId: 'r-1', service: 'support', version: 'v1.2' }]) // { support: { 'v1.2': ['r-1'] } }
 * ```
 */
export function toStreamReport (beginnings: readonly StreamBeginning[]): StreamReport {
  const services = new Map<string, Map<string, string[]>>()
  for (const { requestId, service, version } of beginnings) {
    const versions = services.get(service) ?? new Map<string, string[]>()
    services.set(service, versions.set(version, [...versions.get(version) ?? [], requestId]))
  }
  return Object.fromEntries([...services].map(([service, versions]) => [service, Object.fromEntries(versions)]))
}

/**
 * Creates the records. `onBeginning` is called for each new beginning of this daemon and of the peers that report to it.
 *
 * @example
 * ```ts
 * streams.record({ requestId: 'r-1', service: 'support', version: 'v1.2' }, nowMs)
 * streams.find('r-1', nowMs)?.version // 'v1.2'
 * ```
 */
export function createStreamVersions (onBeginning: (beginning: StreamBeginning) => void = () => {}): StreamVersions {
  const recorded = new Map<string, RecordedBeginning>()
  let unreported: readonly StreamBeginning[] = []

  function evict (nowMs: number): void {
    for (const [requestId, { recordedMs }] of recorded) {
      if (recorded.size <= MAX_STREAMS && nowMs - recordedMs <= RETENTION_MS) return
      recorded.delete(requestId)
    }
  }

  /** Returns whether the beginning was not known. */
  function add (beginning: StreamBeginning, nowMs: number): boolean {
    const { requestId } = beginning
    if (requestId === '' || requestId.length > MAX_ID_LENGTH || recorded.has(requestId)) return false
    recorded.set(requestId, { beginning, recordedMs: nowMs })
    evict(nowMs)
    return true
  }

  function find (requestId: string, nowMs: number): StreamBeginning | undefined {
    const found = recorded.get(requestId)
    return found === undefined || nowMs - found.recordedMs > RETENTION_MS ? undefined : found.beginning
  }

  function versionsOf (service: string, nowMs: number): ReadonlySet<string> {
    const versions = new Set<string>()
    for (const { beginning, recordedMs } of recorded.values()) {
      if (beginning.service === service && nowMs - recordedMs <= RETENTION_MS) versions.add(beginning.version)
    }
    return versions
  }

  function addAll (report: StreamReport, nowMs: number, onAdded: (beginning: StreamBeginning) => void): void {
    for (const [service, versions] of Object.entries(report)) {
      for (const [version, requestIds] of Object.entries(versions)) {
        for (const requestId of requestIds) {
          const beginning = { requestId, service, version }
          if (add(beginning, nowMs)) onAdded(beginning)
        }
      }
    }
  }

  function takeUnreported (maxRows: number): StreamReport {
    const taken = unreported.slice(0, maxRows)
    unreported = unreported.slice(maxRows)
    return toStreamReport(taken)
  }

  function record (beginning: StreamBeginning, nowMs: number): void {
    if (!add(beginning, nowMs)) return
    unreported = [...unreported, beginning]
    onBeginning(beginning)
  }

  return {
    record,
    applyReport: (report, nowMs) => { addAll(report, nowMs, onBeginning) },
    restore: (report, nowMs) => { addAll(report, nowMs, () => {}) },
    find,
    versionsOf,
    takeUnreported
  }
}
