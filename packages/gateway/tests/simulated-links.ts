/**
 * Connections of simulated daemons to scripted targets, directly or through a peer.
 */
import type * as routing from '@persimmonhatch/routing'
import * as rawHeaders from '../src/raw-headers.js'
import type * as targetClient from '../src/target-client.js'
import type * as fleetModule from './fleet.js'

/** Time after which a connection attempt is given up, ms. */
const CONNECT_TIMEOUT_MS = 300

/** Time for which an idle connection is kept, ms. */
const KEPT_MS = 4_000

/**
 * Path of a daemon to a target. `hang`: nothing arrives, new connections are not answered. `refuse`: open connections are reset, new ones
 * refused. `no-new`: open connections work, new ones are not answered.
 */
export type Path = 'up' | 'hang' | 'refuse' | 'no-new'

/** A request as a target received it. */
export interface Arrival {
  readonly atMs: number
  readonly daemon: number
  readonly target: routing.targetRegistry.Target
  readonly headers: rawHeaders.RawHeaders
}

/** What a target sends, with times since the arrival of the request. */
export interface TargetResponse {
  readonly headMs: number
  readonly status?: number
  readonly headers: readonly string[]
  /** Ids of events and when each is sent; the response is a stream if there are any. */
  readonly events?: readonly (readonly [id: number, atMs: number])[]
  readonly endMs: number
  /** Whether the connection breaks at `endMs`. */
  readonly breaks?: boolean
}

/** Clock, members and targets of the fleet. */
export interface Options {
  readonly now: () => number
  readonly schedule: (afterMs: number, run: () => void) => void
  readonly members: readonly fleetModule.Member[]
  readonly targetAt: (address: string) => routing.targetRegistry.Target | undefined
  /** Whether a daemon reaches a peer that runs, which can carry its connections. */
  readonly canCarry: (daemon: number, relay: number) => boolean
  readonly respond: (arrival: Arrival) => TargetResponse
  /** Called when a daemon has received the head of a target's response. */
  readonly onHead?: ((arrival: Arrival, headers: readonly string[], nowMs: number) => void) | undefined
}

export interface SimulatedLinks {
  readonly clientsOf: (daemon: number) => targetClient.TargetClients
  /** Sets the path of each daemon to each target, by its id, and resets the open connections of refused paths. */
  readonly setPaths: (pathOf: (daemon: number, target: string) => Path) => void
  /** Plays the probe of a path. */
  readonly probe: (daemon: number, target: string) => void
  /** Resets the open connections that go over the path of a daemon to a target. */
  readonly resetWhere: (isReset: (daemon: number, target: string) => boolean) => void
}

interface OpenExchange {
  readonly daemon: number
  readonly target: string
  readonly reset: () => void
}

export function createSimulatedLinks (options: Options): SimulatedLinks {
  const { now, schedule } = options
  let pathOf: (daemon: number, target: string) => Path = () => 'up'
  const exchanges = new Set<OpenExchange>()
  /** When connections became idle, by daemon and target. */
  const idleSinceMs = new Map<string, readonly number[]>()

  const linkOf = (daemon: number, target: string): string => `${daemon} ${target}`

  function memberOf (daemon: number): fleetModule.Member {
    const member = options.members[daemon]
    if (member === undefined) throw new Error(`The fleet has no daemon ${daemon}; use a number below ${options.members.length}.`)
    return member
  }

  /** Takes an idle connection; returns whether there was one. */
  function takeIdle (daemon: number, target: string): boolean {
    const usable = (idleSinceMs.get(linkOf(daemon, target)) ?? []).filter((sinceMs) => now() - sinceMs < KEPT_MS)
    idleSinceMs.set(linkOf(daemon, target), usable.slice(0, -1))
    return usable.length > 0
  }

  function keepIdle (daemon: number, target: string): void {
    idleSinceMs.set(linkOf(daemon, target), [...idleSinceMs.get(linkOf(daemon, target)) ?? [], now()])
  }

  /** Plays an exchange over the path of `daemon`, which is a peer of the request's daemon if it carries the connection. */
  function exchange (daemon: number, target: routing.targetRegistry.Target, headers: rawHeaders.RawHeaders, listener: targetClient.Listener): targetClient.Exchange {
    let isOpen = true
    const close = (): void => {
      isOpen = false
      exchanges.delete(open)
    }
    const reset = (): void => {
      close()
      listener.failed('broken', 'the connection was reset')
    }
    const open: OpenExchange = { daemon, target: target.id, reset }
    exchanges.add(open)
    const isUp = (): boolean => ['up', 'no-new'].includes(pathOf(daemon, target.id))
    const later = (afterMs: number, run: () => void): void => schedule(afterMs, () => { if (isOpen && isUp()) run() })
    const arrival = { atMs: now(), daemon, target, headers }
    listener.sent()
    if (isUp()) {
      const { headMs, status = 200, headers: responseHeaders, events: streamed = [], endMs, breaks = false } = options.respond(arrival)
      const type = streamed.length > 0 ? ['content-type', 'text/event-stream'] : []
      const echoed = ['request-id', rawHeaders.findHeader(headers, 'request-id') ?? '', ...status === 200 ? ['proof', target.id] : []]
      later(headMs, () => {
        options.onHead?.(arrival, responseHeaders, now())
        listener.head({ status, headers: [...echoed, ...type, ...responseHeaders] })
      })
      for (const [id, atMs] of streamed) later(atMs, () => { listener.data(Buffer.from(`id: ${id}\ndata: ${target.id}\n\n`)) })
      later(endMs, () => {
        if (breaks) {
          reset()
          return
        }
        close()
        keepIdle(daemon, target.id)
        listener.end()
      })
    }
    return { abort: close, pause: () => {}, resume: () => {} }
  }

  function fail (afterMs: number, listener: targetClient.Listener): targetClient.Exchange {
    let isOpen = true
    schedule(afterMs, () => { if (isOpen) listener.failed('unreachable', 'no connection') })
    return { abort: () => { isOpen = false }, pause: () => {}, resume: () => {} }
  }

  function send (daemon: number, request: targetClient.TargetRequest, listener: targetClient.Listener): targetClient.Exchange {
    const target = options.targetAt(request.address)
    if (target === undefined) return fail(0, listener)
    const relay = request.via === undefined ? daemon : options.members.findIndex(({ address }) => address === request.via)
    const isLost = memberOf(relay).paths.isLost(target.id)
    if (relay !== daemon && (isLost || memberOf(relay).registry.isLeaving(target.id) || memberOf(relay).pauses.untilMs(target.id, now()) > 0)) return fail(0, listener)
    // A daemon does not use the connections that it has kept on a lost path.
    if (isLost) idleSinceMs.delete(linkOf(relay, target.id))
    const path = pathOf(relay, target.id)
    const isCarried = relay === daemon || options.canCarry(daemon, relay)
    if (isCarried && (path === 'up' || takeIdle(relay, target.id))) return exchange(relay, target, request.headers, listener)
    return fail(path === 'refuse' ? 0 : CONNECT_TIMEOUT_MS, listener)
  }

  function resetWhere (isReset: (daemon: number, target: string) => boolean): void {
    for (const { daemon, target, reset } of [...exchanges]) if (isReset(daemon, target)) reset()
  }

  function setPaths (next: (daemon: number, target: string) => Path): void {
    pathOf = next
    const isRefused = (daemon: number, target: string): boolean => pathOf(daemon, target) === 'refuse'
    for (const link of idleSinceMs.keys()) {
      const [daemon = '', target = ''] = link.split(' ')
      if (isRefused(Number(daemon), target)) idleSinceMs.delete(link)
    }
    resetWhere(isRefused)
  }

  return {
    clientsOf: (daemon) => ({
      send: (request, listener) => send(daemon, request, listener),
      probe: async () => true,
      renew: () => {},
      retain: () => {},
      close: async () => {}
    }),
    setPaths,
    probe: (daemon, target) => {
      const path = pathOf(daemon, target)
      schedule(path === 'hang' || path === 'no-new' ? CONNECT_TIMEOUT_MS : 0, () => { memberOf(daemon).paths.endProbe(target, path === 'up', now()) })
    },
    resetWhere
  }
}
