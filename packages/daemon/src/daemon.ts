/**
 * Starts and stops one daemon: its sockets, its tasks and its background loops.
 *
 * @module
 */
import * as backing from '@persimmonhatch/backing-services'
import * as protocol from '@persimmonhatch/protocol'
import type * as undici from 'undici'
import * as engineOrders from './adapters/engine-orders.js'
import * as callerServer from './http/caller-server.js'
import * as compression from './peer/compression.js'
import * as peerConnections from './peer/peers.js'
import * as orders from './tasks/orders.js'
import * as operatorApi from './tasks/operator-api.js'
import * as platformCalls from './tasks/platform-calls.js'
import * as registration from './tasks/registration.js'
import * as tasksModule from './tasks/tasks.js'
import * as vmList from './tasks/vm-list.js'

/** Interval of the ticks that drive every task, milliseconds. */
const TICK_INTERVAL_MS = 100

/** Maximum wait for callers' connections to close after the last request, milliseconds. */
const CLOSE_TIMEOUT_MS = 2_000

/** Grace period in which a stopping daemon still sends its last updates, milliseconds. */
const CLOSE_GRACE_MS = 200

/** Interval at which a daemon without peers connects to its seeds, milliseconds. */
const SEED_INTERVAL_MS = 2_000

const CONNECT_TIMEOUT_MS = 1_000

/** Settings and dependencies of a daemon. */
export type Options = Omit<tasksModule.Options, 'calls' | 'httpClient' | 'sendToPeer' | 'disconnectPeer' | 'onDrained'>

/** A running daemon. */
export interface Daemon {
  /** Drains and stops without interrupting a request; settles when all tasks have ended. */
  readonly stop: () => Promise<void>
}

function openPeers (options: Options, tasks: () => tasksModule.Tasks): Promise<peerConnections.Peers> {
  return peerConnections.openPeers({
    listen: options.settings.listen.peers,
    encode: compression.compress,
    clock: options.clock,
    count: options.metrics.count,
    createHandshake: (expected) => ({ version: protocol.PROTOCOL_VERSION, member: tasks().members.localMember(), wanted: expected }),
    findMember: (incarnation) => tasks().members.core.findMember(incarnation),
    onMessage: (from, message) => tasks().route(from, message),
    onConnected: (member) => tasks().handlePeerConnected(member)
  })
}

function openCallerServer (options: Options, tasks: tasksModule.Tasks, calls: platformCalls.PlatformCalls): Promise<callerServer.CallerServer> {
  const { settings, random } = options
  const sources: operatorApi.Sources = {
    region: settings.region,
    random,
    localMember: tasks.members.localMember,
    members: tasks.members.core.members,
    services: tasks.documents.status,
    pools: tasks.pools.status,
    entry: tasks.entry.status,
    platform: () => ({ state: tasks.documents.platformState(), callsPerMinute: calls.callsLastMinute() }),
    leavingTargets: tasks.targetStates.leaving,
    receipt: tasks.entry.receipt
  }
  return callerServer.openCallerServer({
    listen: settings.listen.callers,
    limits: settings.limits,
    addresses: (query) => operatorApi.getAddresses(sources, query),
    explain: (identity) => operatorApi.explainRequest(sources, identity),
    status: () => operatorApi.getStatus(sources),
    ready: tasks.documents.ready,
    submit: tasks.requests.submit,
    count: options.metrics.count
  })
}

function startOrders (options: Options, tasks: tasksModule.Tasks, calls: platformCalls.PlatformCalls, httpClient: undici.Dispatcher, signal: AbortSignal): Promise<void> {
  return orders.reconcileEngines({
    ...options,
    ...engineOrders.createEngineOrders(httpClient),
    keyValue: calls.keyValue,
    engines: () => orders.listEngines(tasks.documents.inForce(), tasks.pools.hosted()),
    count: options.metrics.count
  }, signal)
}

function startBackground (options: Options, tasks: tasksModule.Tasks, calls: platformCalls.PlatformCalls, signal: AbortSignal): readonly Promise<void>[] {
  const { random, clock } = options
  const { count } = options.metrics
  const { members, targetStates } = tasks
  return [
    tasks.documents.watch(signal),
    tasks.burn.storePeriodically(signal),
    registration.maintainRegistration({
      random,
      clock,
      count,
      keyValue: calls.keyValue,
      localMember: members.localMember,
      fleetSize: () => members.core.members().length,
      onDiscovered: (found) => members.post({ kind: 'members-discovered', members: found })
    }, signal),
    vmList.pollVmList({
      random,
      count,
      listVms: calls.listVms,
      fleetSize: () => members.core.members().length,
      onList: (vms) => { for (const update of targetStates.applyVmList(vms, clock())) members.post({ kind: 'update', update }) }
    }, signal)
  ]
}

/** Connects to the seeds repeatedly while this daemon has no peers, until `signal` aborts. */
async function connectToSeeds (options: Options, tasks: tasksModule.Tasks, peers: peerConnections.Peers, signal: AbortSignal): Promise<void> {
  const { seeds, listen } = options.settings
  while (!signal.aborted) {
    if (tasks.members.peers().length === 0) {
      for (const seed of seeds) if (seed !== listen.peers) peers.connectToAddress(seed)
    }
    await backing.pause.pause(SEED_INTERVAL_MS, signal)
  }
}

function wait (milliseconds: number): Promise<void> {
  return backing.pause.pause(milliseconds, new AbortController().signal)
}

/**
 * Starts a daemon and its listeners.
 *
 * @example
 * ```ts
 * const daemon = await startDaemon(options)
 * process.once('SIGTERM', () => daemon.stop())
 * ```
 */
export async function startDaemon (options: Options): Promise<Daemon> {
  const { settings, clock, log, metrics } = options
  const stopping = new AbortController()
  const httpClient = backing.httpClient.createHttpClient({ connectTimeoutMs: CONNECT_TIMEOUT_MS, headersTimeoutMs: 0, bodyTimeoutMs: 0 })
  const calls = platformCalls.createPlatformCalls({ settings: settings.platform, clock, count: metrics.count })
  let onDrained: () => void = () => {}
  const drained = new Promise<void>((resolve) => { onDrained = resolve })

  const peers = await openPeers(options, () => tasks)
  const tasks: tasksModule.Tasks = tasksModule.startTasks({
    ...options,
    calls,
    httpClient,
    sendToPeer: peers.send,
    disconnectPeer: peers.disconnect,
    onDrained: () => onDrained()
  })
  const server = await openCallerServer(options, tasks, calls)
  const timer = setInterval(() => {
    tasks.tick()
    peers.tick()
  }, TICK_INTERVAL_MS)
  const background = [
    ...startBackground(options, tasks, calls, stopping.signal),
    startOrders(options, tasks, calls, httpClient, stopping.signal),
    connectToSeeds(options, tasks, peers, stopping.signal)
  ]
  log.info('started', { address: settings.listen.callers, peers: settings.listen.peers, incarnation: options.incarnation })

  async function stop (): Promise<void> {
    log.info('draining', { drainMs: settings.drainMs })
    tasks.members.post({ kind: 'drain' })
    await wait(settings.drainMs)
    tasks.requests.post({ kind: 'drain' })
    await drained
    await Promise.race([server.close(), wait(CLOSE_TIMEOUT_MS)])
    tasks.members.post({ kind: 'exit' })
    stopping.abort()
    await Promise.allSettled(background)
    await wait(CLOSE_GRACE_MS)
    clearInterval(timer)
    tasks.pools.stop()
    await peers.close()
    await Promise.all([httpClient.close(), calls.close()])
    metrics.close()
    log.info('stopped')
  }

  return { stop }
}
