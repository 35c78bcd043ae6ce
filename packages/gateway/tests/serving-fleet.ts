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
import * as lastingState from '../src/lasting-state.js'
import * as metrics from '../src/metrics.js'
import * as rawHeaders from '../src/raw-headers.js'
import * as refusal from '../src/refusal.js'
import * as requestTask from '../src/request-task.js'
import * as resumption from '../src/resumption.js'
import * as streamDirectory from '../src/stream-directory.js'
import * as fixture from './fixture.js'
import * as fleetModule from './fleet.js'
import * as simulatedLinks from './simulated-links.js'
import * as simulatedRecords from './simulated-records.js'

const STEP_MS = 10
const TICK_MS = 30
const REFRESH_MS = 100
const REPORT_MS = 200
const DATAGRAM_MS = 10

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
  readonly respond: simulatedLinks.Options['respond']
  /** Called when a daemon has received the head of a target's response. */
  readonly onHead?: simulatedLinks.Options['onHead']
}

/** Time of day at the start of the simulation, Unix ms. */
const UNIX_START_MS = 1_796_000_000_000

export interface ServingFleet {
  readonly now: () => number
  readonly random: () => number
  readonly fleet: fleetModule.Fleet
  readonly request: (daemon: number, path: string, headers?: readonly string[]) => Reply
  readonly advance: (durationMs: number) => void
  /** Sets which daemons reach each other. */
  readonly setReach: (reaches: (from: number, to: number) => boolean) => void
  /** Sets the path of each daemon to each target, by its id. */
  readonly setPaths: simulatedLinks.SimulatedLinks['setPaths']
  readonly restart: (daemon: number) => void
  /** What the fleet has stored. */
  readonly records: simulatedRecords.SimulatedRecords
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
  const directories = new Map<number, streamDirectory.StreamDirectory>()
  const histories = new Map<number, routing.versionHistory.VersionHistory>()
  const lastingStates = new Map<number, lastingState.LastingState>()
  const unixNow = (): number => UNIX_START_MS + nowMs
  const records = simulatedRecords.createSimulatedRecords(now, schedule)
  /** Responses that have not ended, by daemon. */
  const open = new Map<CallerResponse, number>()

  function schedule (afterMs: number, run: () => void): void {
    const step = Math.floor(nowMs / STEP_MS) + Math.max(1, Math.ceil(afterMs / STEP_MS))
    const others = scheduled.get(step)
    if (others === undefined) scheduled.set(step, [run])
    else others.push(run)
  }

  function memberOf (daemon: number): fleetModule.Member {
    const member = fleet.members[daemon]
    if (member === undefined) throw new Error(`The fleet has no daemon ${daemon}; use a number below ${daemons}.`)
    return member
  }

  const links = simulatedLinks.createSimulatedLinks({
    now,
    schedule,
    members: fleet.members,
    targetAt: (address) => [...registered.values()].find((versioned) => versioned.target?.address === address)?.target,
    canCarry: (daemon, relay) => isRunning(relay) && reaches(daemon, relay),
    respond: options.respond,
    onHead: options.onHead
  })

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
      changed: () => {},
      onlyVersionOf: (service) => histories.get(daemon)?.onlyVersionOf(service, unixNow()),
      afterLoading: (done) => lastingStates.get(daemon)?.afterLoading(done),
      reload: (done) => lastingStates.get(daemon)?.reload(done),
      listTargets: (done) => { done() }
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
      clients: links.clientsOf(daemon),
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
      targets: {
        startOf: memberOf(daemon).registry.startOf,
        versionOf: memberOf(daemon).registry.versionOf,
        depart: (departure) => { if (memberOf(daemon).registry.depart(departure)) refresh(daemon) },
        pause: (target, durationMs, via) => { memberOf(daemon).pauses.record({ target, durationMs, told: via ?? memberOf(daemon).address }, nowMs) },
        isOpen: (target) => !memberOf(daemon).registry.isLeaving(target) && memberOf(daemon).pauses.untilMs(target, nowMs) === 0,
        ignorePause: () => {}
      },
      onLimitsChanged: () => { refresh(daemon) },
      isArbiterOf: (trait) => peers.isArbiterOf(trait, nowMs),
      table: () => table,
      resumableServices: () => table.resumableServices,
      limits: () => document.limits,
      daemons: () => Math.max(routing.rateShare.MIN_ASSUMED_MEMBERS, peers.memberCount(nowMs)),
      stopping: () => false,
      sinceStopMs: () => undefined,
      graceMs: () => 8_000,
      maxRemainingMs: (_, remainingMs) => remainingMs
    }
  }

  const isRunning = (daemon: number): boolean => contexts.has(daemon) && !frozen.has(daemon)

  function refresh (daemon: number): void {
    const { peers, pools } = memberOf(daemon)
    pools.setFleet(peers.liveCount(nowMs), peers.memberCount(nowMs))
    fleetModule.refreshTargets(memberOf(daemon), nowMs)
  }

  function observeVersions (daemon: number): void {
    const versions = new Map<string, Set<string>>()
    for (const { target } of registered.values()) {
      if (target !== undefined && !target.leaving) versions.set(target.service, (versions.get(target.service) ?? new Set()).add(target.version))
    }
    histories.get(daemon)?.observe(versions, unixNow())
  }

  function startLastingState (daemon: number): void {
    const { caps, onBeginning, peers, streams } = memberOf(daemon)
    const history = routing.versionHistory.createVersionHistory(now)
    const lasting = lastingState.createLastingState({
      records: records.storeOf(daemon),
      incarnation: `${daemon}-${nowMs}`,
      isFirstStart: nowMs === 0,
      now,
      unixNow,
      history,
      streams,
      caps,
      writesForFleet: () => peers.isArbiterOf('lasting-state', nowMs),
      writesForCell: () => peers.isCellArbiterOf('lasting-state', nowMs),
      log: { change: () => {} },
      metrics: metrics.createMetrics()
    })
    histories.set(daemon, history)
    lastingStates.set(daemon, lasting)
    onBeginning(lasting.note)
    observeVersions(daemon)
  }

  function start (daemon: number): void {
    const { registry, pools } = memberOf(daemon)
    for (const versioned of registered.values()) registry.apply(versioned, nowMs)
    startLastingState(daemon)
    pools.adopt(document.services)
    contexts.set(daemon, createContext(daemon))
    refresh(daemon)
  }

  function register (target: routing.targetRegistry.Target, startedMs = 0): void {
    revision += 1
    const versioned = { id: target.id, era: 1, revision, report: { startedMs, sequence: revision }, target }
    registered.set(target.id, versioned)
    for (const { registry } of fleet.members) registry.apply(versioned, nowMs)
    for (const daemon of contexts.keys()) {
      observeVersions(daemon)
      refresh(daemon)
    }
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
          for (const target of paths.takeDueProbes(nowMs)) links.probe(daemon, target)
        }
      }
      if (nowMs % REFRESH_MS === 0) {
        for (const daemon of contexts.keys()) {
          if (!isRunning(daemon)) continue
          refresh(daemon)
          lastingStates.get(daemon)?.tick()
        }
      }
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
        new requestTask.RequestTask({ context, request: bound.value, body: undefined, outgoing: outgoing as unknown as http.ServerResponse }).start()
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
    links.resetWhere((over) => over === daemon)
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
    setPaths: links.setPaths,
    kill,
    isUp: isRunning,
    freeze: (next) => { frozen = new Set(next) },
    restart: (daemon) => {
      kill(daemon)
      fleet.restart(daemon)
      start(daemon)
    },
    register,
    records
  }
}
