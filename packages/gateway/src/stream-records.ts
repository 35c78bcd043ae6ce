/**
 * Connects what a daemon knows of the versions at which streams began: its own records and those of its peers, the
 * versions in service, and what the fleet has stored.
 *
 * @module
 */
import * as routing from '@persimmonhatch/routing'
import type * as eventLog from './event-log.js'
import * as lastingState from './lasting-state.js'
import type * as metricsModule from './metrics.js'
import type * as peerTable from './peer-table.js'
import type * as recordStore from './record-store.js'
import * as streamDirectory from './stream-directory.js'

/** Dependencies of the records. */
export interface Options extends Pick<streamDirectory.Options, 'address' | 'now' | 'ask' | 'answer' | 'changed'> {
  /** Unique for each start of the process. */
  readonly incarnation: string
  /** Whether the fleet starts for the first time. */
  readonly isFirstStart: boolean
  /** Undefined if nothing outlives all daemons. */
  readonly records: recordStore.RecordStore | undefined
  /** Time of day, Unix ms. */
  readonly unixNow: () => number
  readonly peers: peerTable.PeerTable
  readonly caps: routing.tokenCap.TokenCaps
  readonly log: Pick<eventLog.EventLog, 'change'>
  readonly metrics: metricsModule.Metrics
}

/** The records of one daemon. */
export interface StreamRecords {
  readonly streams: routing.streamVersions.StreamVersions
  readonly directory: streamDirectory.StreamDirectory
  /** Records which versions the targets have now. */
  readonly observe: (targets: readonly routing.targetRegistry.VersionedTarget[]) => void
  /** Records that the store has just answered, so that the versions in service are current. */
  readonly recordStoreContact: () => void
  /** Loads or writes what is due; called several times a second. */
  readonly tick: () => void
}

/** Name by which the daemons agree on the one that writes. */
const WRITER = 'lasting-state'

/** Maximum time since the last answer of the store for the versions in service to be certain, ms. */
const MAX_STORE_CONTACT_AGE_MS = 3_000

function versionsOf (targets: readonly routing.targetRegistry.VersionedTarget[]): ReadonlyMap<string, ReadonlySet<string>> {
  const versions = new Map<string, Set<string>>()
  for (const { target } of targets) {
    if (target !== undefined) versions.set(target.service, (versions.get(target.service) ?? new Set()).add(target.version))
  }
  return versions
}

/**
 * Creates the records of a daemon that has just started.
 *
 * @example
 * ```ts
 * const { directory } = createStreamRecords(options)
 * directory.find({ requestId: 'r-1', service: 'support' }, (found) => { resume(found?.beginning) })
 * ```
 */
export function createStreamRecords (options: Options): StreamRecords {
  const { now, unixNow, peers, records, log } = options
  const history = routing.versionHistory.createVersionHistory()
  const streams = routing.streamVersions.createStreamVersions((beginning) => { lasting?.note(beginning) })
  let lastStoreContactMs = -Infinity
  const lasting = records === undefined
    ? undefined
    : lastingState.createLastingState({
      ...options,
      records,
      history,
      streams,
      writesForFleet: () => peers.isArbiterOf(WRITER, now()),
      writesForCell: () => peers.isCellArbiterOf(WRITER, now())
    })
  const directory = streamDirectory.createStreamDirectory({
    ...options,
    streams,
    askedPeers: () => peers.askedPeers(now()),
    schedule: (delayMs, run) => { setTimeout(run, delayMs) },
    onlyVersionOf: (service) => now() - lastStoreContactMs > MAX_STORE_CONTACT_AGE_MS ? undefined : history.onlyVersionOf(service, unixNow()),
    afterLoading: (done) => {
      if (lasting === undefined) done()
      else lasting.afterLoading(done)
    },
    reload: (done) => {
      if (lasting === undefined) done()
      else lasting.reload(done)
    }
  })

  function observe (targets: readonly routing.targetRegistry.VersionedTarget[]): void {
    const versions = versionsOf(targets)
    if (!history.observe(versions, unixNow())) return
    log.change('versions in service changed', { versions: Object.fromEntries([...versions].map(([service, each]) => [service, [...each]])) })
  }

  return {
    streams,
    directory,
    observe,
    recordStoreContact: () => { lastStoreContactMs = now() },
    tick: () => { lasting?.tick() }
  }
}
