/**
 * Fixture: a fleet of daemons that serve requests at scripted targets, in simulated time. Requests pass through the
 * admission, the task and the attempts of the gateway; only sockets and clocks are replaced.
 */
import * as events from 'node:events'
import type * as http from 'node:http'
import * as routing from '@persimmonhatch/routing'
import * as distribution from 'pure-rand/distribution/uniformFloat64'
import * as generator from 'pure-rand/generator/xoroshiro128plus'
import * as admission from '../src/admission.js'
import type * as contextModule from '../src/context.js'
import * as metrics from '../src/metrics.js'
import * as rawHeaders from '../src/raw-headers.js'
import * as refusal from '../src/refusal.js'
import * as requestTask from '../src/request-task.js'
import * as resumption from '../src/resumption.js'
import * as streamDirectory from '../src/stream-directory.js'
import type * as targetClient from '../src/target-client.js'
import * as fixture from './fixture.js'
import * as fleetModule from './fleet.js'

const STEP_MS = 10
const TICK_MS = 30
const REFRESH_MS = 100
const REPORT_MS = 200
const DATAGRAM_MS = 10

/** Time after which a connection attempt is given up, ms. */
const CONNECT_TIMEOUT_MS = 300

/** Time for which an idle connection is kept, ms. */
const KEPT_MS = 4_000

/** Time in which the fleet exchanges reports before it serves, ms. */
const SETTLING_MS = 4_000

const ROUTE: routing.document.Route = {
  name: 'generate',
  host: 'shop.example',
  prefix: '/generate/',
  kind: 'stream',
  resumable: true,
  timeoutMs: 12_000,
  targetLatencyMs: 800,
  attempts: 3,
  priority: 0,
  shares: [{ service: 'support', weight: 1 }],
  anonymous: true
}

/** Returns a document with one route of resumable streams, at engines with a number of slots. */
export function documentOf (slots: number): routing.document.RoutingDocument {
  return { ...fixture.DOCUMENT, routes: [ROUTE], services: [{ name: 'support', connections: 600, engine: { slots, memoryTokens: 700_000, tokensPerEvent: 6 } }], organisations: [] }
}

/** A request as a target received it. */
export interface Arrival {
  readonly atMs: number
  readonly daemon: number
  readonly target: routing.targetRegistry.Target
  readonly headers: rawHeaders.RawHeaders
}

/**
 * Path of a daemon to a target. `hang`: nothing arrives, new connections are not answered. `refuse`: open connections are reset, new ones
 * refused. `no-new`: open connections work, new ones are not answered.
 */
export type Path = 'up' | 'hang' | 'refuse' | 'no-new'

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

/** A response as its caller received it. */
export interface Reply {
  readonly daemon: number
  readonly sentMs: number
  readonly status: () => number | undefined
  readonly headers: () => readonly string[]
  readonly body: () => string
  /** Whether the response has ended, and whether it is complete. */
  readonly end: () => 'complete' | 'cut' | undefined
}

export interface Options {
  readonly daemons: number
  readonly document: routing.document.RoutingDocument
  readonly targets: readonly routing.targetRegistry.Target[]
  readonly seed: number
  readonly respond: (arrival: Arrival) => TargetResponse
  /** Called when a daemon has received the head of a target's response. */
  readonly onHead?: (arrival: Arrival, headers: readonly string[], nowMs: number) => void
}

export interface ServingFleet {
  readonly now: () => number
  readonly random: () => number
  readonly fleet: fleetModule.Fleet
  readonly request: (daemon: number, path: string, headers?: readonly string[]) => Reply
  readonly advance: (durationMs: number) => void
  /** Sets which daemons reach each other. */
  readonly setReach: (reaches: (from: number, to: number) => boolean) => void
  /** Sets the path of each daemon to each target, by its id. */
  readonly setPaths: (pathOf: (daemon: number, target: string) => Path) => void
  readonly restart: (daemon: number) => void
  /** Closes the connections of a daemon's callers and stops it until it is restarted. */
  readonly kill: (daemon: number) => void
  readonly isUp: (daemon: number) => boolean
  /** Freezes the daemons: they neither decide nor send or receive reports until others are frozen. */
  readonly freeze: (daemons: readonly number[]) => void
  /** Registers a target's state at every daemon. */
  readonly register: (target: routing.targetRegistry.Target, startedMs?: number) => void
}

/** The part of a caller's response that tasks use. */
class CallerResponse extends events.EventEmitter {
  status: number | undefined
  headers: readonly string[] = []
  body = ''
  ended: 'complete' | 'cut' | undefined

  get headersSent (): boolean {
    return this.status !== undefined
  }

  writeHead (status: number, headers: readonly string[]): void {
    this.status = status
    this.headers = headers
  }

  write (bytes: Buffer): boolean {
    this.body += bytes.toString('latin1')
    return true
  }

  end (body?: Buffer): void {
    if (body !== undefined) this.write(body)
    this.ended = 'complete'
    this.emit('close')
  }

  destroy (): void {
    this.ended ??= 'cut'
    this.emit('close')
  }
}

/** Creates a fleet whose daemons all know each other. */
export function createServingFleet (options: Options): ServingFleet {
  const { daemons, document } = options
  const source = generator.xoroshiro128plus(options.seed)
  const random = (): number => distribution.uniformFloat64(source)
  let nowMs = 0
  /** What happens at each step. */
  const scheduled = new Map<number, (() => void)[]>()
  let reaches: (from: number, to: number) => boolean = fleetModule.CONNECTED
  let revision = 0
  let nextRequest = 1
  const now = (): number => nowMs
  const fleet = fleetModule.createFleet(daemons, daemons, now)
  const registered = new Map<string, routing.targetRegistry.VersionedTarget>()
  const table = routing.routeTable.createRouteTable(document)
  const contexts = new Map<number, contextModule.Context>()
  let frozen: ReadonlySet<number> = new Set()
  let pathOf: (daemon: number, target: string) => Path = () => 'up'
  /** When connections of a daemon to a target became idle. */
  /** Functions that reset the exchanges in progress, and the daemon over whose path each goes. */
  const carried = new Map<() => void, number>()
  const idleSinceMs = new Map<string, readonly number[]>()
  const directories = new Map<number, streamDirectory.StreamDirectory>()
  /** Responses that have not ended, by daemon. */
  const open = new Map<CallerResponse, number>()

  function schedule (afterMs: number, run: () => void): void {
    const step = Math.floor(nowMs / STEP_MS) + Math.max(1, Math.ceil(afterMs / STEP_MS))
    const others = scheduled.get(step)
    if (others === undefined) scheduled.set(step, [run])
    else others.push(run)
  }

  /** Takes an idle connection; returns whether there was one. */
  function takeIdle (daemon: number, target: string): boolean {
    const usable = (idleSinceMs.get(`${daemon} ${target}`) ?? []).filter((sinceMs) => nowMs - sinceMs < KEPT_MS)
    idleSinceMs.set(`${daemon} ${target}`, usable.slice(0, -1))
    return usable.length > 0 && pathOf(daemon, target) !== 'refuse'
  }

  function keepIdle (daemon: number, target: string): void {
    idleSinceMs.set(`${daemon} ${target}`, [...idleSinceMs.get(`${daemon} ${target}`) ?? [], nowMs])
  }

  /** Plays an exchange over the path of `daemon`, which is a peer of the request's daemon if it carries the connection. */
  function exchange (daemon: number, target: routing.targetRegistry.Target, headers: rawHeaders.RawHeaders, listener: targetClient.Listener): targetClient.Exchange {
    let isOpen = true
    const reset = (): void => {
      isOpen = false
      listener.failed('broken', 'the connection was reset')
    }
    carried.set(reset, daemon)
    const isUp = (): boolean => { const path = pathOf(daemon, target.id); return path === 'up' || path === 'no-new' }
    const later = (afterMs: number, run: () => void): void => schedule(afterMs, () => { if (isOpen && isUp()) run() })
    const arrival = { atMs: nowMs, daemon, target, headers }
    listener.sent()
    if (isUp()) {
      const { headMs, status = 200, headers: responseHeaders, events: streamed = [], endMs, breaks = false } = options.respond(arrival)
      const type = streamed.length > 0 ? ['content-type', 'text/event-stream'] : []
      const echoed = ['request-id', rawHeaders.findHeader(headers, 'request-id') ?? '', ...status === 200 ? ['proof', target.id] : []]
      later(headMs, () => {
        options.onHead?.(arrival, responseHeaders, nowMs)
        listener.head({ status, headers: [...echoed, ...type, ...responseHeaders] })
      })
      for (const [id, atMs] of streamed) later(atMs, () => { listener.data(Buffer.from(`id: ${id}\ndata: ${target.id}\n\n`)) })
      later(endMs, () => {
        isOpen = false
        carried.delete(reset)
        if (breaks) {
          listener.failed('broken', 'the connection was reset')
        } else {
          keepIdle(daemon, target.id)
          listener.end()
        }
      })
    }
    return { abort: () => { isOpen = false; carried.delete(reset) }, pause: () => {}, resume: () => {} }
  }

  function clientsOf (daemon: number): targetClient.TargetClients {
    return {
      send: (request, listener) => {
        const target = [...registered.values()].find((versioned) => versioned.target?.address === request.address)?.target
        const relay = request.via === undefined ? daemon : fleet.members.findIndex(({ address }) => address === request.via)
        const { paths } = memberOf(relay)
        if (target !== undefined && paths.isLost(target.id)) idleSinceMs.delete(`${relay} ${target.id}`)
        const isRefused = target === undefined || (relay !== daemon && paths.isLost(target.id))
        const isRelayed = relay === daemon || (isRunning(relay) && reaches(daemon, relay))
        const path = isRefused ? 'refuse' : pathOf(relay, target.id)
        if (!isRefused && isRelayed && (path === 'up' || takeIdle(relay, target.id))) return exchange(relay, target, request.headers, listener)
        let isOpen = true
        schedule(path === 'refuse' ? 0 : CONNECT_TIMEOUT_MS, () => { if (isOpen) listener.failed('unreachable', 'no connection') })
        return { abort: () => { isOpen = false }, pause: () => {}, resume: () => {} }
      },
      probe: async () => true,
      renew: () => {},
      retain: () => {},
      close: async () => {}
    }
  }

  function memberOf (daemon: number): fleetModule.Member {
    const member = fleet.members[daemon]
    if (member === undefined) throw new Error(`The fleet has no daemon ${daemon}; use a number below ${daemons}.`)
    return member
  }

  function createDirectory (daemon: number): streamDirectory.StreamDirectory {
    const { address, peers, streams } = memberOf(daemon)
    const sendTo = (peer: string, handle: (directory: streamDirectory.StreamDirectory) => void): void => schedule(DATAGRAM_MS, () => {
      const to = fleet.members.findIndex((member) => member.address === peer)
      const directory = directories.get(to)
      if (directory !== undefined && contexts.has(to) && reaches(daemon, to)) handle(directory)
    })
    return streamDirectory.createStreamDirectory({
      address,
      now,
      streams,
      metrics: metrics.createMetrics(),
      askedPeers: () => peers.askedPeers(nowMs),
      ask: (asked, question) => { for (const peer of asked) sendTo(peer, (directory) => { directory.handleQuestion(question) }) },
      answer: (peer, answer) => { sendTo(peer, (directory) => { directory.handleAnswer(answer) }) },
      schedule,
      changed: () => {}
    })
  }

  function createContext (daemon: number): contextModule.Context {
    const { peers, pools, caps, suspects, targetLimits, paths } = memberOf(daemon)
    const streams = createDirectory(daemon)
    directories.set(daemon, streams)
    return {
      now,
      random,
      headerNames: fixture.HEADER_NAMES,
      log: { request: () => {}, change: () => {} },
      metrics: metrics.createMetrics(),
      clients: clientsOf(daemon),
      pools,
      caps,
      budget: routing.retryBudget.createRetryBudget({ ratio: 0.2, allowance: 200, windowMs: 10_000 }),
      suspects,
      targetLimits,
      streams,
      paths: {
        choose: (target) => paths.choose(target, () => peers.reachablePeers(nowMs).map(({ report }) => report.from), nowMs),
        recordUnreachable: (target, via) => { paths.recordUnreachable(target, via, nowMs) }
      },
      onLimitsChanged: () => { refresh(daemon) },
      isArbiterOf: (trait) => peers.isArbiterOf(trait, nowMs),
      table: () => table,
      limits: () => document.limits,
      daemons: () => Math.max(routing.rateShare.MIN_ASSUMED_MEMBERS, peers.memberCount(nowMs)),
      stopping: () => false,
      sinceStopMs: () => undefined,
      graceMs: () => 8_000,
      maxRemainingMs: (_, remainingMs) => remainingMs
    }
  }

  const isRunning = (daemon: number): boolean => contexts.has(daemon) && !frozen.has(daemon)

  function probe (daemon: number, target: string): void {
    const { paths } = memberOf(daemon)
    const path = pathOf(daemon, target)
    const end = (isReached: boolean): void => schedule(path === 'up' || path === 'refuse' ? 0 : CONNECT_TIMEOUT_MS, () => { paths.endProbe(target, isReached, nowMs) })
    end(path === 'up')
  }

  function refresh (daemon: number): void {
    const { peers, pools } = memberOf(daemon)
    pools.setFleet(peers.liveCount(nowMs), peers.memberCount(nowMs))
    fleetModule.refreshTargets(memberOf(daemon), nowMs)
  }

  function start (daemon: number): void {
    const { registry, pools } = memberOf(daemon)
    for (const versioned of registered.values()) registry.apply(versioned, nowMs)
    pools.adopt(document.services)
    contexts.set(daemon, createContext(daemon))
    refresh(daemon)
  }

  function register (target: routing.targetRegistry.Target, startedMs = 0): void {
    revision += 1
    const versioned = { id: target.id, era: 1, revision, report: { startedMs, sequence: revision }, target }
    registered.set(target.id, versioned)
    for (const { registry } of fleet.members) registry.apply(versioned, nowMs)
    for (const daemon of contexts.keys()) refresh(daemon)
  }

  function advance (durationMs: number): void {
    for (const endMs = nowMs + durationMs; nowMs < endMs;) {
      nowMs += STEP_MS
      const step = Math.floor(nowMs / STEP_MS)
      for (const run of scheduled.get(step) ?? []) run()
      scheduled.delete(step)
      if (nowMs % REPORT_MS === 0) fleet.simulate(REPORT_MS, (from, to) => isRunning(from) && isRunning(to) && reaches(from, to))
      if (nowMs % TICK_MS === 0) {
        for (const [daemon, { pools, paths }] of fleet.members.entries()) {
          if (!isRunning(daemon)) continue
          pools.tick()
          for (const target of paths.takeDueProbes(nowMs)) probe(daemon, target)
        }
      }
      if (nowMs % REFRESH_MS === 0) for (const daemon of contexts.keys()) if (isRunning(daemon)) refresh(daemon)
    }
  }

  function request (daemon: number, path: string, headers: readonly string[] = []): Reply {
    const context = contexts.get(daemon)
    if (context === undefined) throw new Error(`Daemon ${daemon} is down; send the request to another one.`)
    const sentMs = nowMs
    const outgoing = new CallerResponse()
    open.set(outgoing, daemon)
    outgoing.once('close', () => { open.delete(outgoing) })
    const named = rawHeaders.findHeader(headers, 'request-id') === undefined ? ['request-id', `r-${nextRequest}`] : []
    nextRequest += 1
    const admitted = admission.admit(context, { method: 'POST', path, headers: ['host', 'shop.example', 'key', 'k-1', ...named, ...headers], arrivedMs: nowMs })
    if (admitted.isErr()) throw new Error(`The request was not admitted: ${admitted.error}.`)
    resumption.bindToStream(context, admitted.value, (bound) => {
      if (outgoing.ended !== undefined) return
      if (bound.isOk()) {
        new requestTask.RequestTask({ context, request: bound.value, body: undefined, outgoing: outgoing as unknown as http.ServerResponse, done: () => {} }).start()
        return
      }
      const { status, headers: refusalHeaders, body } = refusal.refusalOf(bound.error)
      outgoing.writeHead(status, refusalHeaders)
      outgoing.end(body)
    })
    return { daemon, sentMs, status: () => outgoing.status, headers: () => outgoing.headers, body: () => outgoing.body, end: () => outgoing.ended }
  }

  function kill (daemon: number): void {
    contexts.delete(daemon)
    for (const [outgoing, owner] of [...open]) if (owner === daemon) outgoing.destroy()
    for (const [reset, over] of [...carried]) {
      if (over !== daemon) continue
      carried.delete(reset)
      reset()
    }
  }

  for (const target of options.targets) register(target)
  for (let daemon = 0; daemon < daemons; daemon += 1) start(daemon)
  advance(SETTLING_MS)
  return {
    now,
    random,
    fleet,
    request,
    advance,
    setReach: (next) => { reaches = next },
    setPaths: (next) => { pathOf = next },
    kill,
    isUp: isRunning,
    freeze: (next) => { frozen = new Set(next) },
    restart: (daemon) => {
      kill(daemon)
      fleet.restart(daemon)
      start(daemon)
    },
    register
  }
}
