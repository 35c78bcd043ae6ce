/**
 * Polls the load and cache reports of the targets of a pool.
 *
 * @module
 */
import type * as authority from '@persimmonhatch/authority'
import type * as document from '@persimmonhatch/document'
import type * as protocol from '@persimmonhatch/protocol'

/** Polling interval of a target, milliseconds. */
const READ_INTERVAL_MS = 1_000

/** Reports of one target. */
export interface Reports {
  readonly load: authority.event.LoadReport | undefined
  readonly cache: readonly authority.event.CacheReport[]
}

/** A target to poll. Only model engines publish cache reports. */
export interface WatchedTarget {
  readonly name: string
  readonly address: protocol.Address
  readonly kind: document.serviceDocument.ServiceDocument['kind']
}

/** Fetches the reports of a target; `afterSequence` is the last cache event received. The reports are empty when the target does not respond. */
export type ReadReports = (target: WatchedTarget, afterSequence: number) => Promise<Reports>

/** Polls the targets of one pool. */
export interface TargetReports {
  readonly watch: (targets: readonly WatchedTarget[]) => void
  readonly stop: () => void
}

/**
 * Starts polling, at first without targets.
 *
 * @example
 * ```ts
 * const reports = startTargetReports(readReports, authorityTask.post)
 * reports.watch(document.targets)
 * ```
 */
export function startTargetReports (readReports: ReadReports, post: (event: authority.event.Event) => void): TargetReports {
  let watched: ReadonlyMap<string, WatchedTarget> = new Map()
  const lastSequences = new Map<string, number>()
  const inProgress = new Set<string>()

  async function read (target: WatchedTarget): Promise<void> {
    inProgress.add(target.name)
    const reports = await readReports(target, lastSequences.get(target.name) ?? 0)
    inProgress.delete(target.name)
    if (watched.get(target.name)?.address !== target.address) return
    if (reports.load !== undefined) post({ kind: 'load', report: reports.load })
    for (const report of reports.cache) {
      lastSequences.set(target.name, report.sequence)
      post({ kind: 'cache', report })
    }
  }

  const timer = setInterval(() => {
    for (const target of watched.values()) {
      if (!inProgress.has(target.name)) read(target).then(undefined, () => inProgress.delete(target.name))
    }
  }, READ_INTERVAL_MS)

  return {
    watch: (targets) => {
      watched = new Map(targets.map((target) => [target.name, target]))
      for (const name of lastSequences.keys()) if (!watched.has(name)) lastSequences.delete(name)
    },
    stop: () => {
      clearInterval(timer)
      watched = new Map()
    }
  }
}
