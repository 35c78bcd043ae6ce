/**
 * Creates the tasks of one daemon and connects them to each other.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'
import * as entry from '@persimmonhatch/entry'
import type * as protocol from '@persimmonhatch/protocol'
import type * as undici from 'undici'
import type * as log from '../adapters/log.js'
import type * as metrics from '../adapters/metrics.js'
import * as readReports from '../adapters/read-reports.js'
import type * as readArrival from '../http/read-arrival.js'
import type * as settingsModule from '../settings/settings.js'
import * as burnTask from './burn.js'
import * as documentsTask from './documents.js'
import * as election from './election.js'
import * as membersTask from './members.js'
import type * as platformCalls from './platform-calls.js'
import * as poolsTask from './pools.js'
import * as requestsTask from './requests.js'
import * as router from './router.js'
import * as suspension from './suspension.js'
import * as targetStates from './target-states.js'

/** Dependencies of the tasks. */
export interface Options {
  readonly settings: settingsModule.Settings
  readonly incarnation: protocol.Incarnation
  readonly clock: protocol.Clock
  /** Milliseconds since the Unix epoch, for records that outlive this process. */
  readonly wallClock: () => number
  readonly random: protocol.Random
  readonly hashes: readArrival.Hashes
  readonly log: log.Log
  readonly metrics: metrics.Metrics
  readonly calls: platformCalls.PlatformCalls
  readonly httpClient: undici.Dispatcher
  /** Sends a message to another daemon. */
  readonly sendToPeer: (outbound: protocol.Outbound) => void
  /** Closes the connection to a dead daemon. */
  readonly disconnectPeer: (incarnation: protocol.Incarnation) => void
  readonly onDrained: () => void
}

/** The running tasks. */
export interface Tasks {
  readonly members: membersTask.Members
  readonly entry: entry.entry.Entry
  readonly requests: requestsTask.Requests
  readonly pools: poolsTask.Pools
  readonly documents: documentsTask.Documents
  readonly burn: burnTask.BurnRecorder
  readonly targetStates: targetStates.TargetStates
  readonly route: router.Route
  /** Handles a newly opened connection to a daemon. */
  readonly handlePeerConnected: (member: protocol.MemberUpdate) => void
  readonly tick: () => void
}

/** Dependencies shared by all tasks. */
interface SharedOptions extends Options {
  readonly count: (counter: string, value: number) => void
  readonly beforeEvent: () => void
  readonly send: (outbound: protocol.Outbound) => void
  readonly tasks: () => Tasks
}

function createLocalMember (options: Options): protocol.MemberUpdate {
  const { settings, incarnation } = options
  const advertised = settings.advertise ?? settings.listen
  const { availabilityZone, region } = settings
  return { kind: 'member', incarnation, address: advertised.callers, peerAddress: advertised.peers, availabilityZone, region, beat: 0, state: 'alive', load: 0 }
}

function applyUpdate (shared: SharedOptions, update: protocol.Update): void {
  const { requests, pools, documents, targetStates: states } = shared.tasks()
  switch (update.kind) {
    case 'member':
      if (update.state === 'gone') shared.disconnectPeer(update.incarnation)
      return
    case 'target':
      states.applyUpdate(update)
      requests.post({ kind: 'target', update })
      return pools.applyUpdate(update)
    case 'suspect':
      requests.post({ kind: 'suspect', update })
      return pools.applyUpdate(update)
    case 'revision': return documents.handleRevision(update)
  }
}

function startMembers (shared: SharedOptions, updateView: () => void): membersTask.Members {
  return membersTask.startMembers({
    ...shared,
    localMember: createLocalMember(shared),
    onUpdate: (update) => applyUpdate(shared, update),
    onMembers: updateView,
    onHeartbeat: (heartbeat) => shared.tasks().requests.post({ kind: 'heartbeat', heartbeat }),
    onEvicted: () => shared.log.error('the other daemons hold this one for gone', { remedy: 'Restart this daemon.' })
  })
}

function startEntry (shared: SharedOptions): entry.entry.Entry {
  return entry.entry.createEntry({
    incarnation: shared.incarnation,
    random: shared.random,
    findMember: (incarnation) => shared.tasks().members.findLive(incarnation),
    requestLimit: shared.settings.limits.requests,
    isEligiblePool: (pool) => shared.tasks().pools.isLocal(pool)
  })
}

function otherAddresses (shared: SharedOptions): readonly protocol.Address[] {
  const others = shared.tasks().members.core.members().filter((member) => member.state === 'alive' && member.incarnation !== shared.incarnation)
  return others.map((member) => member.address)
}

function startRequests (shared: SharedOptions, core: entry.entry.Entry): requestsTask.Requests {
  return requestsTask.startRequests({
    ...shared,
    core,
    heldAnswerBytes: shared.settings.limits.heldAnswerBytes,
    addresses: () => otherAddresses(shared),
    onSettled: (receipt) => {
      shared.metrics.timing('requests.waited', receipt.waitedMs)
      shared.tasks().burn.recordReceipt(receipt)
    }
  })
}

function startPools (shared: SharedOptions): poolsTask.Pools {
  return poolsTask.startPools({
    ...shared,
    region: shared.settings.region,
    onUpdate: (update) => shared.tasks().members.post({ kind: 'update', update }),
    onAuthorities: (authorities) => shared.tasks().requests.post({ kind: 'authorities', authorities, reconnected: [] }),
    readReports: readReports.createReadReports(shared.httpClient),
    updates: () => shared.tasks().members.core.updates()
  })
}

function startDocuments (shared: SharedOptions, onDocuments: (documents: readonly document.serviceDocument.ServiceDocument[]) => void): documentsTask.Documents {
  return documentsTask.startDocuments({
    ...shared,
    keyValue: shared.calls.keyValue,
    peers: () => shared.tasks().members.peers(),
    onDocuments,
    onRevision: (update) => shared.tasks().members.post({ kind: 'update', update })
  })
}

function createRoute (tasks: () => Tasks): router.Route {
  return router.createRoute({
    authority: (from, message) => tasks().pools.handleMessage(from, message),
    entry: (from, message) => tasks().requests.post({ kind: 'message', from, message }),
    membership: (from, message) => tasks().members.post({ kind: 'message', from, message }),
    documents: (from, message) => tasks().documents.handleMessage(from, message)
  })
}

function startSuspensionDetector (options: Options, tasks: () => Tasks): suspension.SuspensionDetector {
  return suspension.createSuspensionDetector(options.clock, (suspendedMs) => {
    options.log.warn('process was suspended', { silentMs: Math.round(suspendedMs) })
    options.metrics.count('daemon.resumed', 1)
    tasks().members.post({ kind: 'resumed' })
    tasks().requests.post({ kind: 'resumed' })
    tasks().pools.resumed()
  })
}

/**
 * Starts all tasks of a daemon.
 *
 * @example
 * ```ts
 * const tasks = startTasks(options)
 * setInterval(tasks.tick, 100)
 * ```
 */
export function startTasks (options: Options): Tasks {
  let documents: readonly document.serviceDocument.ServiceDocument[] = []
  let wasConfirmed = false
  let electableCount = 0
  const tasks = (): Tasks => started
  const route = createRoute(tasks)
  const suspensionDetector = startSuspensionDetector(options, tasks)

  function send (outbound: protocol.Outbound): void {
    if (outbound.to === options.incarnation) route(options.incarnation, outbound.message)
    else options.sendToPeer(outbound)
  }

  function updateView (): void {
    const { core } = started.members
    wasConfirmed = core.isConfirmed()
    electableCount = election.electableMembers(core.members()).length
    started.pools.update({ members: core.members(), documents, confirmed: wasConfirmed })
  }

  function updateDocuments (next: readonly document.serviceDocument.ServiceDocument[]): void {
    documents = next
    started.requests.post({ kind: 'documents', documents })
    started.burn.updateDocuments(documents)
    updateView()
  }

  /** Whether the view must be updated: heartbeats and the local confirmation change without member updates. */
  function isViewOutdated (): boolean {
    const { core } = started.members
    return core.isConfirmed() !== wasConfirmed || election.electableMembers(core.members()).length !== electableCount
  }

  function tick (): void {
    suspensionDetector.tick()
    const { waiting, running } = started.entry.status()
    started.members.post({ kind: 'load', load: (waiting + running) / options.settings.limits.requests })
    started.members.post({ kind: 'tick' })
    if (isViewOutdated()) updateView()
    started.pools.tick()
    started.requests.post({ kind: 'tick' })
    started.documents.tick()
  }

  function handlePeerConnected (member: protocol.MemberUpdate): void {
    started.members.post({ kind: 'members-discovered', members: [member] })
    started.requests.post({ kind: 'authorities', authorities: started.pools.authorities(), reconnected: [member.incarnation] })
  }

  const shared: SharedOptions = { ...options, count: options.metrics.count, beforeEvent: suspensionDetector.check, send, tasks }
  const core = startEntry(shared)
  const started: Tasks = {
    members: startMembers(shared, updateView),
    entry: core,
    requests: startRequests(shared, core),
    pools: startPools(shared),
    documents: startDocuments(shared, updateDocuments),
    burn: burnTask.startBurnRecorder({ ...shared, keyValue: shared.calls.keyValue, availabilityZone: shared.settings.availabilityZone }),
    targetStates: targetStates.createTargetStates(),
    route,
    handlePeerConnected,
    tick
  }
  return started
}
