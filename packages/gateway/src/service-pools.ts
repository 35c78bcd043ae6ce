/**
 * The pools of all services, and the requests that wait for their decisions.
 *
 * @module
 */
import * as routing from '@persimmonhatch/routing'
import type * as eventLog from './event-log.js'
import type * as headerNames from './header-names.js'
import type * as peerTable from './peer-table.js'

/** Callbacks for one request. */
export interface PlacementListener {
  /** Called first, before any decision. */
  readonly onQueued: (placement: Placement) => void
  readonly onDecision: (decision: routing.poolEvent.PoolDecision) => void
  /** Called at each tick while the target with the request is stalled. */
  readonly onStalled: () => void
}

/** A request in a pool, waiting or at a target. */
export interface Placement {
  readonly id: number
  readonly service: string
}

/** The pools of all services. */
export interface ServicePools {
  readonly adopt: (services: readonly routing.document.Service[]) => void
  /** Assigns the usable targets in the segment of this daemon's cell, with their limits. */
  readonly refreshTargets: (place: peerTable.RingPlace, nowMs: number) => void
  readonly requestPlacement: (service: string, request: routing.poolEvent.PlacementOptions, listener: PlacementListener) => void
  readonly handlePlacementEvent: (placement: Placement, event: PlacementEvent) => void
  readonly applyReportedLoad: (service: string, target: string, load: headerNames.ReportedLoad) => void
  /** Applies whether the targets of a service say that they fall over when they have to reject many requests. */
  readonly applyBrittleness: (service: string, isBrittle: boolean) => void
  readonly applyPeerLoads: (peer: string, loads: Readonly<Record<string, routing.poolEvent.PeerLoad>>) => void
  readonly setFleet: (reachable: number, daemons: number) => void
  readonly tick: () => void
  readonly loads: () => Readonly<Record<string, routing.poolEvent.PeerLoad>>
  readonly waiting: () => number
  /** Returns the numbers of learned limits by the names of their gauges. */
  readonly limitGauges: () => Readonly<Record<string, number>>
}

/** What happens to a request in a pool. */
export type PlacementEvent =
  | { readonly kind: 'left' }
  | { readonly kind: 'first-event' }
  | { readonly kind: 'next-event', readonly intervalMs: number }
  | { readonly kind: 'reading-resumed' }
  | { readonly kind: 'ended', readonly outcome: routing.poolEvent.RequestOutcome }

/** Dependencies of the pools. */
export interface Options {
  readonly now: () => number
  readonly random: () => number
  readonly registry: routing.targetRegistry.TargetRegistry
  readonly limitOf: routing.cell.LimitLookup
  readonly pauses?: routing.targetPauses.TargetPauses
  /** Returns the limits of a service's versions; without them, all versions are served alike. */
  readonly versionsOf?: ((service: string) => routing.versionGate.VersionGate) | undefined
  /** Called repeatedly while a target with requests in flight sends nothing. */
  readonly onSilent?: (target: string) => void
  /** Called when the targets of a service begin or cease to say that they are brittle. */
  readonly onBrittle?: (service: string, isBrittle: boolean) => void
  /** Called when a service begins or ceases to be placed by the work ahead. */
  readonly onAdaptive?: (service: string, isAdaptive: boolean) => void
  /** Called when the load to report to peers has changed. */
  readonly changed: () => void
}

/** Time without data from a target with requests in flight, after which it is stalled and retryable requests leave it, ms. */
const STALL_MS = 1_000

/** Time between ticks from which the process counts as having been suspended, so that silence in it says nothing of targets, ms. */
const SUSPENDED_MS = 250

function limitGaugesOf (pools: readonly routing.pool.Pool[], nowMs: number): Readonly<Record<string, number>> {
  const counts = pools.map((pool) => pool.countLimits(nowMs))
  return {
    concurrency_limits_joined: counts.reduce((sum, { joined }) => sum + joined, 0),
    concurrency_limits_below_bound: counts.reduce((sum, { limited }) => sum + limited, 0)
  }
}

/**
 * Returns callbacks that log changes of the state of services.
 *
 * @example
 * ```ts
 * createServicePools({ ...options, ...createStateLog(log) })
 * ```
 */
export function createStateLog (log: Pick<eventLog.EventLog, 'change'>): Required<Pick<Options, 'onAdaptive' | 'onBrittle'>> {
  return {
    onAdaptive: (service, isAdaptive) => { log.change(isAdaptive ? 'service placed by work' : 'service no longer placed by work', { service }) },
    onBrittle: (service, isBrittle) => { log.change(isBrittle ? 'targets brittle' : 'targets no longer brittle', { service }) }
  }
}

/** Returns a function that reports each change of whether a service is adaptive; none is at first. */
function createAdaptiveRecorder (onAdaptive: Options['onAdaptive']): (service: string, isAdaptive: boolean) => void {
  const adaptiveServices = new Set<string>()
  return (service, isAdaptive) => {
    if (isAdaptive === adaptiveServices.has(service)) return
    if (isAdaptive) adaptiveServices.add(service)
    else adaptiveServices.delete(service)
    onAdaptive?.(service, isAdaptive)
  }
}

/** Divides the targets of each version between the cells by themselves, so that every cell has some of each. */
function assignByVersion (targets: readonly routing.targetRegistry.Target[], segment: routing.cell.RingSegment, minTargets: number | undefined): readonly routing.cell.TargetShare[] {
  const versions = new Set(targets.map(({ version }) => version))
  return [...versions].flatMap((version) => routing.cell.assignTargets(targets.filter((target) => target.version === version), segment, minTargets))
}

/**
 * Creates the pools, which are empty until a document is adopted.
 *
 * @example
 * ```ts
 * pools.requestPlacement('support', request, { onQueued, onDecision, onStalled })
 * ```
 */
export function createServicePools (options: Options): ServicePools {
  const pools = new Map<string, routing.pool.Pool>()
  const services = new Map<string, string>()
  const listeners = new Map<number, PlacementListener>()
  const recordAdaptive = createAdaptiveRecorder(options.onAdaptive)
  let nextId = 1
  let lastTickMs = Infinity

  /** Executes the decisions only after the generator has ended, as executing one may cause the next event. */
  function handle (service: string, event: routing.poolEvent.PoolEvent): void {
    const pool = pools.get(service)
    if (pool === undefined) return
    const decisions = [...pool.handle(event, options.now())]
    recordAdaptive(service, pool.isAdaptive)
    for (const decision of decisions) {
      const listener = listeners.get(decision.id)
      if (decision.kind === 'refuse') listeners.delete(decision.id)
      listener?.onDecision(decision)
    }
    if (decisions.length > 0 || event.kind === 'ended' || event.kind === 'arrived') options.changed()
  }

  function adopt (newServices: readonly routing.document.Service[]): void {
    for (const service of newServices) {
      const serialized = JSON.stringify(service)
      if (services.get(service.name) === serialized) continue
      services.set(service.name, serialized)
      const pool = pools.get(service.name)
      if (pool === undefined) pools.set(service.name, new routing.pool.Pool({ service, random: options.random, pauses: options.pauses, versions: options.versionsOf?.(service.name) }))
      else pool.adopt(service)
    }
  }

  const assignTargets = options.versionsOf === undefined ? routing.cell.assignTargets : assignByVersion

  function refreshTargets ({ segment, position, cellPosition }: peerTable.RingPlace, nowMs: number): void {
    for (const [service, pool] of pools) {
      const targets = options.registry.usable(service, nowMs)
      handle(service, { kind: 'targets', targetShares: routing.cell.limitTargets(targets, assignTargets(targets, segment, pool.minTargets), options.limitOf, position), cellPosition })
    }
  }

  function requestPlacement (service: string, request: routing.poolEvent.PlacementOptions, listener: PlacementListener): void {
    const id = nextId
    nextId += 1
    listeners.set(id, listener)
    listener.onQueued({ id, service })
    handle(service, { kind: 'arrived', request: { ...request, id } })
  }

  function handlePlacementEvent (placement: Placement, event: PlacementEvent): void {
    if (event.kind === 'left' || event.kind === 'ended') listeners.delete(placement.id)
    handle(placement.service, { ...event, id: placement.id })
  }

  function tick (): void {
    const nowMs = options.now()
    const wasSuspended = nowMs - lastTickMs > SUSPENDED_MS
    lastTickMs = nowMs
    for (const [service, pool] of pools) {
      if (wasSuspended) pool.restartSilence(nowMs)
      if (pool.needsTick) handle(service, { kind: 'tick' })
      for (const target of pool.silentTargets(nowMs)) options.onSilent?.(target)
      for (const id of pool.stalledRequests(STALL_MS, nowMs)) listeners.get(id)?.onStalled()
    }
  }

  return {
    adopt,
    refreshTargets,
    requestPlacement,
    handlePlacementEvent,
    tick,
    applyReportedLoad: (service, target, load) => { handle(service, { kind: 'load-reported', target, ...load }) },
    applyBrittleness: (service, isBrittle) => {
      if (pools.get(service)?.isBrittle === isBrittle) return
      options.onBrittle?.(service, isBrittle)
      handle(service, { kind: 'brittle', isBrittle })
    },
    applyPeerLoads: (peer, loads) => {
      for (const service of pools.keys()) handle(service, { kind: 'peer-load', peer, load: (Object.hasOwn(loads, service) ? loads[service] : undefined) ?? { targets: {}, waiting: [] } })
    },
    setFleet: (reachable, daemons) => { for (const service of pools.keys()) handle(service, { kind: 'fleet', reachable, daemons }) },
    loads: () => Object.fromEntries([...pools].map(([service, pool]) => [service, pool.load(options.now())])),
    limitGauges: () => limitGaugesOf([...pools.values()], options.now()),
    waiting: () => [...pools.values()].reduce((sum, pool) => sum + pool.waiting, 0)
  }
}
