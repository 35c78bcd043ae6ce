/**
 * The tasks of one daemon and what each tells the others.
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

/** What the tasks need of their surroundings. */
export interface Options {
  readonly settings: settingsModule.Settings
  readonly incarnation: protocol.Incarnation
  readonly clock: protocol.Clock
  /** Milliseconds since 1970, for records that outlive this process. */
  readonly wallClock: () => number
  readonly random: protocol.Random
  readonly hashes: readArrival.Hashes
  readonly log: log.Log
  readonly metrics: metrics.Metrics
  readonly calls: platformCalls.PlatformCalls
  readonly httpClient: undici.Dispatcher
  /** Sends to another daemon. */
  readonly sendToPeer: (outbound: protocol.Outbound) => void
  /** Another daemon is gone. */
  readonly dropPeer: (incarnation: protocol.Incarnation) => void
  readonly onDrained: () => void
}

/** The running tasks. */
export interface Tasks {
  readonly members: membersTask.Members
  readonly entry: entry.entry.Entry
  readonly requests: requestsTask.Requests
  readonly pools: poolsTask.Pools
  readonly documents: documentsTask.Documents
  readonly burn: burnTask.Burn
  readonly targetStates: targetStates.TargetStates
  readonly route: router.Route
  /** A connection to a daemon was opened. */
  readonly connected: (member: protocol.MemberUpdate) => void
  readonly tick: () => void
}

/** What all tasks share. */
interface Common extends Options {
  readonly count: (counter: string, value: number) => void
  readonly beforeEvent: () => void
  readonly send: (outbound: protocol.Outbound) => void
  readonly tasks: () => Tasks
}

function selfNews (options: Options): protocol.MemberUpdate {
  const { settings, incarnation } = options
  const advertised = settings.advertise ?? settings.listen
  const { availabilityZone, region } = settings
  return { kind: 'member', incarnation, address: advertised.callers, peerAddress: advertised.peers, availabilityZone, region, beat: 0, state: 'alive', load: 0 }
}

function learn (common: Common, news: protocol.Update): void {
  const { requests, pools, documents, targetStates: states } = common.tasks()
  switch (news.kind) {
    case 'member':
      if (news.state === 'gone') common.dropPeer(news.incarnation)
      return
    case 'target':
      states.learn(news)
      requests.post({ kind: 'target', news })
      return pools.learn(news)
    case 'suspect':
      requests.post({ kind: 'suspect', news })
      return pools.learn(news)
    case 'revision': return documents.heard(news)
  }
}

function startMembers (common: Common, updateView: () => void): membersTask.Members {
  return membersTask.startMembers({
    ...common,
    self: selfNews(common),
    onLearned: (news) => learn(common, news),
    onMembers: updateView,
    onBeat: (beat) => common.tasks().requests.post({ kind: 'beat', beat }),
    onEvicted: () => common.log.error('the other daemons hold this one for gone', { remedy: 'Restart it.' })
  })
}

function startEntry (common: Common): entry.entry.Entry {
  return entry.entry.createEntry({
    incarnation: common.incarnation,
    random: common.random,
    findMember: (incarnation) => common.tasks().members.findLive(incarnation),
    requestLimit: common.settings.limits.requests,
    isEligiblePool: (pool) => common.tasks().pools.isLocal(pool)
  })
}

function otherAddresses (common: Common): readonly protocol.Address[] {
  const others = common.tasks().members.core.members().filter((member) => member.state === 'alive' && member.incarnation !== common.incarnation)
  return others.map((member) => member.address)
}

function startRequests (common: Common, core: entry.entry.Entry): requestsTask.Requests {
  return requestsTask.startRequests({
    ...common,
    core,
    heldAnswerBytes: common.settings.limits.heldAnswerBytes,
    addresses: () => otherAddresses(common),
    onSettled: (receipt) => {
      common.metrics.timing('requests.waited', receipt.waitedMs)
      common.tasks().burn.settled(receipt)
    }
  })
}

function startPools (common: Common): poolsTask.Pools {
  return poolsTask.startPools({
    ...common,
    region: common.settings.region,
    onNews: (news) => common.tasks().members.post({ kind: 'news', news }),
    onAuthorities: (authorities) => common.tasks().requests.post({ kind: 'authorities', authorities, reconnected: [] }),
    readReports: readReports.createReadReports(common.httpClient),
    news: () => common.tasks().members.core.updates()
  })
}

function startDocuments (common: Common, onDocuments: (documents: readonly document.serviceDocument.ServiceDocument[]) => void): documentsTask.Documents {
  return documentsTask.startDocuments({
    ...common,
    keyValue: common.calls.keyValue,
    peers: () => common.tasks().members.peers(),
    onDocuments,
    onRevision: (news) => common.tasks().members.post({ kind: 'news', news })
  })
}

function createRoute (tasks: () => Tasks): router.Route {
  return router.createRoute({
    authority: (from, message) => tasks().pools.receive(from, message),
    entry: (from, message) => tasks().requests.post({ kind: 'message', from, message }),
    membership: (from, message) => tasks().members.post({ kind: 'message', from, message }),
    documents: (from, message) => tasks().documents.received(from, message)
  })
}

function watchSuspension (options: Options, tasks: () => Tasks): suspension.Suspension {
  return suspension.watchSuspension(options.clock, (silentMs) => {
    options.log.warn('process was suspended', { silentMs: Math.round(silentMs) })
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
  let confirmed = false
  let candidates = 0
  const tasks = (): Tasks => started
  const route = createRoute(tasks)
  const watch = watchSuspension(options, tasks)

  function send (outbound: protocol.Outbound): void {
    if (outbound.to === options.incarnation) route(options.incarnation, outbound.message)
    else options.sendToPeer(outbound)
  }

  function updateView (): void {
    const { core } = started.members
    confirmed = core.isConfirmed()
    candidates = election.electable(core.members()).length
    started.pools.update({ members: core.members(), documents, confirmed })
  }

  function takeDocuments (next: readonly document.serviceDocument.ServiceDocument[]): void {
    documents = next
    started.requests.post({ kind: 'documents', documents })
    started.burn.documents(documents)
    updateView()
  }

  /** Beats and the own confirmation change without news of members. */
  function isViewOutdated (): boolean {
    const { core } = started.members
    return core.isConfirmed() !== confirmed || election.electable(core.members()).length !== candidates
  }

  function tick (): void {
    watch.tick()
    const { waiting, running } = started.entry.status()
    started.members.post({ kind: 'load', load: (waiting + running) / options.settings.limits.requests })
    started.members.post({ kind: 'tick' })
    if (isViewOutdated()) updateView()
    started.pools.tick()
    started.requests.post({ kind: 'tick' })
    started.documents.tick()
  }

  function connected (member: protocol.MemberUpdate): void {
    started.members.post({ kind: 'introduced', members: [member] })
    started.requests.post({ kind: 'authorities', authorities: started.pools.authorities(), reconnected: [member.incarnation] })
  }

  const common: Common = { ...options, count: options.metrics.count, beforeEvent: watch.check, send, tasks }
  const core = startEntry(common)
  const started: Tasks = {
    members: startMembers(common, updateView),
    entry: core,
    requests: startRequests(common, core),
    pools: startPools(common),
    documents: startDocuments(common, takeDocuments),
    burn: burnTask.startBurn({ ...common, keyValue: common.calls.keyValue, availabilityZone: common.settings.availabilityZone }),
    targetStates: targetStates.createTargetStates(),
    route,
    connected,
    tick
  }
  return started
}
