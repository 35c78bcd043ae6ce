/**
 * Chooses how requests reach targets, probes lost paths, and carries connections of peers.
 *
 * @module
 */
import type * as http from 'node:http'
import * as routing from '@persimmonhatch/routing'
import type * as contextModule from './context.js'
import type * as eventLog from './event-log.js'
import type * as metricsModule from './metrics.js'
import type * as peerTable from './peer-table.js'
import * as relayServer from './relay-server.js'
import type * as targetClient from './target-client.js'

/** Share of the cell that must reach targets for a daemon that is cut off to leave its callers to them. */
const MIN_REACHING_SHARE = 1 / 3

/** Dependencies of the routes. */
export interface Options {
  readonly now: () => number
  readonly random: () => number
  readonly registry: routing.targetRegistry.TargetRegistry
  readonly pauses: Pick<routing.targetPauses.TargetPauses, 'untilMs'>
  readonly peers: peerTable.PeerTable
  readonly clients: Pick<targetClient.TargetClients, 'probe' | 'renew' | 'retain'>
  readonly log: eventLog.EventLog
  readonly metrics: metricsModule.Metrics
  /** Called when the lost paths to report to peers have changed. */
  readonly changed: () => void
}

/** The routes of one daemon to targets. */
export interface TargetRoutes extends contextModule.Paths {
  readonly paths: routing.targetPaths.TargetPaths
  /** Starts the probes that are due. */
  readonly probe: () => void
  /** Forgets targets that are not registered any more, and closes idle connections to them and through peers that stop. */
  readonly retain: () => void
  /** Whether callers should use other daemons, since this one serves them only through peers. */
  readonly isLeftToPeers: () => boolean
  /** Carries connections of peers that are cut off from targets. */
  readonly serveRelay: (server: http.Server) => void
  /** Returns the number of connections that this daemon carries for peers. */
  readonly carried: () => number
  /** Resets the connections that this daemon carries for peers. */
  readonly close: () => void
}

/**
 * Creates the routes; all targets are reached directly.
 *
 * @example
 * ```ts
 * const routes = createTargetRoutes(options)
 * const via = routes.choose('i-7f3a')
 * ```
 */
export function createTargetRoutes (options: Options): TargetRoutes {
  const { now, registry, peers, clients, log, metrics } = options
  let relay: relayServer.Relay | undefined

  function addressOf (target: string): string | undefined {
    return registry.versionedTargets().find(({ id }) => id === target)?.target?.address
  }

  function targetAt (address: string): string | undefined {
    return registry.versionedTargets().find(({ target }) => target?.address === address)?.id
  }

  const paths = routing.targetPaths.createTargetPaths({
    random: options.random,
    onChange: (target, isLost) => {
      const address = addressOf(target)
      if (isLost && address !== undefined) clients.renew(address)
      log.change(isLost ? 'target path lost' : 'target path regained', { target, lost: paths.lost().length })
      metrics.gauge('target_paths_lost', paths.lost().length)
      options.changed()
    }
  })

  /** Returns the endpoints of the peers that may carry connections to targets. */
  function relays (): readonly string[] {
    return peers.reachablePeers(now()).filter(({ report }) => report.ready).map(({ report }) => report.from)
  }

  function probe (): void {
    for (const target of paths.takeDueProbes(now())) {
      const address = addressOf(target)
      const end = (isReached: boolean): void => { paths.endProbe(target, isReached, now()) }
      if (address === undefined) end(false)
      else clients.probe(address).then(end, () => { end(false) })
    }
  }

  function retain (): void {
    const targets = registry.versionedTargets().flatMap(({ id, target }) => target === undefined ? [] : [{ id, address: target.address }])
    paths.retain(new Set(targets.map(({ id }) => id)))
    clients.retain(new Set(targets.map(({ address }) => address)), new Set(relays()))
  }

  return {
    paths,
    choose: (target) => {
      const via = paths.choose(target, relays, now())
      if (via !== undefined) metrics.count('relayed_sends_total')
      return via
    },
    recordUnreachable: (target, via) => { paths.recordUnreachable(target, via, now()) },
    probe,
    retain,
    carried: () => relay?.open() ?? 0,
    close: () => { relay?.close() },
    isLeftToPeers: () => {
      const reaching = relays()
      return paths.isCutOff(reaching, now()) && reaching.length >= MIN_REACHING_SHARE * (1 + peers.reachablePeers(now()).length)
    },
    serveRelay: (server) => {
      relay = relayServer.serveRelay(server, {
        isPeer: (host) => peers.knowsHost(host),
        isTarget: (address) => targetAt(address) !== undefined,
        isClosed: (address) => {
          const target = targetAt(address) ?? ''
          return paths.isLost(target) || registry.isLeaving(target) || options.pauses.untilMs(target, now()) > 0
        },
        countResult: (result) => { metrics.count('relayed_connections_total', { result }) }
      })
    }
  }
}
