/**
 * Hosts the pools that this daemon is the authority of and tracks the authorities of all pools.
 *
 * @module
 */
import * as authority from '@persimmonhatch/authority'
import type * as document from '@persimmonhatch/document'
import type * as membership from '@persimmonhatch/membership'
import type * as protocol from '@persimmonhatch/protocol'
import type * as log from '../adapters/log.js'
import * as assignment from './assignment.js'
import * as election from './election.js'
import * as targetReports from './target-reports.js'
import * as task from './task.js'

/** Dependencies of the task. */
export interface Options {
  readonly incarnation: protocol.Incarnation
  readonly region: string
  readonly clock: protocol.Clock
  readonly random: protocol.Random
  readonly beforeEvent: () => void
  readonly send: (outbound: protocol.Outbound) => void
  readonly onUpdate: (update: protocol.Update) => void
  readonly onAuthorities: (authorities: ReadonlyMap<string, protocol.Incarnation>) => void
  readonly readReports: targetReports.ReadReports
  /** Returns the latest updates on targets and suspects, for a newly hosted pool. */
  readonly updates: () => readonly protocol.Update[]
  readonly count: (counter: string, value: number) => void
  readonly log: log.Log
}

/** Members and documents that determine which pools are hosted. */
export interface View {
  readonly members: readonly protocol.MemberUpdate[]
  readonly documents: readonly document.serviceDocument.ServiceDocument[]
  /** Whether the view of the members is fresh enough for this daemon to act as an authority. */
  readonly confirmed: boolean
}

/** The running task. */
export interface Pools {
  readonly update: (view: View) => void
  readonly handleMessage: (from: protocol.Incarnation, message: authority.event.ReceivedMessage) => void
  readonly applyUpdate: (update: protocol.TargetUpdate | protocol.SuspectUpdate) => void
  readonly resumed: () => void
  readonly tick: () => void
  readonly status: () => readonly authority.authority.Status[]
  /** Returns the pools that this daemon is the authority of. */
  readonly hosted: () => ReadonlySet<string>
  readonly authorities: () => ReadonlyMap<string, protocol.Incarnation>
  /** Whether a pool is in this daemon's region. */
  readonly isLocal: (pool: string) => boolean
  readonly stop: () => void
}

interface HostedPool {
  readonly task: task.Task<authority.event.Event>
  readonly core: authority.authority.Authority
  readonly reports: targetReports.TargetReports
}

/** Lists the pools with their regions: the region of the members in the targets' availability zones, or this daemon's region when there are none. */
function listPools (view: View, ownRegion: string): readonly membership.rendezvous.Pool[] {
  const regions = new Map(view.members.map((member) => [member.availabilityZone, member.region]))
  const pools = new Map<string, string>()
  for (const target of view.documents.flatMap((serviceDocument) => serviceDocument.targets)) {
    const region = regions.get(target.availabilityZone)
    if (region !== undefined || !pools.has(target.pool)) pools.set(target.pool, region ?? ownRegion)
  }
  return [...pools].map(([pool, region]) => ({ pool, region }))
}

function listWatchedTargets (serviceDocument: document.serviceDocument.ServiceDocument, pool: string): readonly targetReports.WatchedTarget[] {
  return serviceDocument.targets.filter((target) => target.pool === pool).map(({ name, address }) => ({ name, address, kind: serviceDocument.kind }))
}

function isSameAssignment (left: ReadonlyMap<string, string>, right: ReadonlyMap<string, string>): boolean {
  return left.size === right.size && [...left].every(([pool, incarnation]) => right.get(pool) === incarnation)
}

/**
 * Creates the task without hosted pools.
 *
 * @example
 * ```ts
 * const pools = startPools(options)
 * pools.update({ members, documents, confirmed: true })
 * ```
 */
export function startPools (options: Options): Pools {
  const hosted = new Map<string, HostedPool>()
  const assign = assignment.createCachedAssign()
  let local: ReadonlySet<string> = new Set()
  let authorities: ReadonlyMap<string, protocol.Incarnation> = new Map()

  function perform (output: authority.event.Output): void {
    switch (output.kind) {
      case 'send': return options.send(output.outbound)
      case 'update': return options.onUpdate(output.update)
      case 'count': return options.count(output.counter, output.value)
    }
  }

  function startHosting (pool: string): HostedPool {
    const core = authority.authority.createAuthority({ pool, incarnation: options.incarnation, random: options.random })
    const started = task.startTask({ core, clock: options.clock, perform, beforeEvent: options.beforeEvent })
    options.log.info('authority taken', { pool })
    return { core, task: started, reports: targetReports.startTargetReports(options.readReports, started.post) }
  }

  function stopHosting (pool: string, hostedPool: HostedPool): void {
    hostedPool.reports.stop()
    hosted.delete(pool)
    options.log.info('authority given up', { pool })
  }

  function updateHostedPool (pool: string, hostedPool: HostedPool, view: View): void {
    hostedPool.task.post({ kind: 'documents', documents: view.documents })
    hostedPool.reports.watch(view.documents.flatMap((serviceDocument) => listWatchedTargets(serviceDocument, pool)))
    hostedPool.task.post({ kind: 'members', entries: view.members.map((member) => member.incarnation), authorities })
  }

  function update (view: View): void {
    const pools = listPools(view, options.region)
    local = new Set(pools.filter((pool) => pool.region === options.region).map((pool) => pool.pool))
    const next = assign(election.electableMembers(view.members), pools)
    const changed = !isSameAssignment(authorities, next)
    authorities = next
    const ownPools = new Set(view.confirmed ? [...next].filter(([, incarnation]) => incarnation === options.incarnation).map(([pool]) => pool) : [])
    for (const [pool, hostedPool] of hosted) if (!ownPools.has(pool)) stopHosting(pool, hostedPool)
    for (const pool of ownPools) {
      const isNew = !hosted.has(pool)
      const hostedPool = hosted.get(pool) ?? startHosting(pool)
      hosted.set(pool, hostedPool)
      updateHostedPool(pool, hostedPool, view)
      if (isNew) postUpdates(hostedPool, options.updates())
    }
    if (changed) options.onAuthorities(authorities)
  }

  function postUpdates (hostedPool: HostedPool, updates: readonly protocol.Update[]): void {
    for (const update of updates) {
      if (update.kind === 'target') hostedPool.task.post({ kind: 'target', update })
      if (update.kind === 'suspect') hostedPool.task.post({ kind: 'suspect', update })
    }
  }

  function handleMessage (from: protocol.Incarnation, message: authority.event.ReceivedMessage): void {
    if (message.kind === 'ask' && !hosted.has(message.pool)) {
      return options.send({ to: from, message: { kind: 'refusal', ask: message.ask, reason: 'no-authority', retryAfterMs: 0, figures: {} } })
    }
    const addressee = 'pool' in message && message.kind !== 'floor-reached' ? hosted.get(message.pool) : undefined
    // A message that names no hosted pool goes to all of them; pools that it doesn't concern ignore it.
    for (const hostedPool of addressee === undefined ? hosted.values() : [addressee]) hostedPool.task.post({ kind: 'message', from, message })
  }

  function postAll (event: authority.event.Event): void {
    for (const hostedPool of hosted.values()) hostedPool.task.post(event)
  }

  return {
    update,
    handleMessage,
    applyUpdate: (update) => { for (const hostedPool of hosted.values()) postUpdates(hostedPool, [update]) },
    resumed: () => postAll({ kind: 'resumed' }),
    tick: () => postAll({ kind: 'tick' }),
    status: () => [...hosted.values()].map((hostedPool) => hostedPool.core.status()),
    hosted: () => new Set(hosted.keys()),
    authorities: () => authorities,
    isLocal: (pool) => local.has(pool),
    stop: () => { for (const [pool, hostedPool] of hosted) stopHosting(pool, hostedPool) }
  }
}
