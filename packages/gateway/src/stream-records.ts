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
import * as sharedReads from './shared-reads.js'
import * as streamDirectory from './stream-directory.js'

/** Dependencies of the records. */
export interface Options extends Pick<streamDirectory.Options, 'address' | 'now' | 'ask' | 'answer' | 'changed'> {
  /** Unique for each start of the process. */
  readonly incarnation: string
  /** Whether the fleet starts for the first time. */
  readonly isFirstStart: boolean
  /** Undefined if nothing outlives all daemons. */
  readonly records: recordStore.RecordStore | undefined
  /** Lists the targets again, and calls `done` with whether what is known of them is now complete; undefined if they can't be listed. */
  readonly listTargets: ((done: (isListed: boolean) => void) => void) | undefined
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
  /** Loads or writes what is due; called several times a second. */
  readonly tick: () => void
}

/** Name by which the daemons agree on the one that writes. */
const WRITER = 'lasting-state'

/** Time after the start in which a daemon does not know its peers yet, so that each would take itself for the writer, ms. */
const INTRODUCTION_MS = 3_000

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
  const startMs = now()
  const knowsPeers = (): boolean => now() - startMs >= INTRODUCTION_MS
  const history = routing.versionHistory.createVersionHistory(now)
  const streams = routing.streamVersions.createStreamVersions((beginning) => { lasting?.note(beginning) })
  const lasting = records === undefined
    ? undefined
    : lastingState.createLastingState({
      ...options,
      records,
      history,
      streams,
      writesForFleet: () => knowsPeers() && peers.isArbiterOf(WRITER, now()),
      writesForCell: () => knowsPeers() && peers.isCellArbiterOf(WRITER, now())
    })
  const listings = sharedReads.createSharedReads({ now, read: options.listTargets ?? ((done) => { done(false) }), isNeeded: () => false })

  /** Loads the records and lists the targets at the same time. */
  function reload (done: (isCurrent: boolean) => void): void {
    let pending = 2
    let isCurrent = true
    const finish = (isRead: boolean): void => {
      pending -= 1
      isCurrent &&= isRead
      if (pending === 0) done(isCurrent)
    }
    listings.request(finish)
    if (lasting === undefined) finish(true)
    else lasting.reload(finish)
  }

  const directory = streamDirectory.createStreamDirectory({
    ...options,
    streams,
    askedPeers: () => peers.askedPeers(now()),
    schedule: (delayMs, run) => { setTimeout(run, delayMs) },
    onlyVersionOf: (service) => history.onlyVersionOf(service, unixNow()),
    afterLoading: (done) => {
      if (lasting === undefined) done()
      else lasting.afterLoading(done)
    },
    reload,
    listTargets: (done) => {
      if (options.listTargets === undefined) done()
      else listings.request(() => { done() })
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
    tick: () => {
      lasting?.tick()
      listings.tick()
    }
  }
}
