/**
 * The pools that this daemon is the authority of, and who is authority of the others.
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

/** What the task needs of its surroundings. */
export interface Options {
  readonly incarnation: protocol.Incarnation
  readonly region: string
  readonly clock: protocol.Clock
  readonly random: protocol.Random
  readonly beforeEvent: () => void
  readonly send: (outbound: protocol.Outbound) => void
  readonly onNews: (news: protocol.Update) => void
  readonly onAuthorities: (authorities: ReadonlyMap<string, protocol.Incarnation>) => void
  readonly readReports: targetReports.ReadReports
  /** Newest news on targets and suspects, for a pool that is newly hosted. */
  readonly news: () => readonly protocol.Update[]
  readonly count: (counter: string, value: number) => void
  readonly log: log.Log
}

/** What the pools depend on. */
export interface View {
  readonly members: readonly protocol.MemberUpdate[]
  readonly documents: readonly document.serviceDocument.ServiceDocument[]
  /** Whether the view of the members is fresh enough to act as an authority on. */
  readonly confirmed: boolean
}

/** The running task. */
export interface Pools {
  readonly update: (view: View) => void
  readonly receive: (from: protocol.Incarnation, message: authority.event.ReceivedMessage) => void
  readonly learn: (news: protocol.TargetUpdate | protocol.SuspectUpdate) => void
  readonly resumed: () => void
  readonly tick: () => void
  readonly status: () => readonly authority.authority.Status[]
  /** Pools that this daemon is the authority of. */
  readonly hosted: () => ReadonlySet<string>
  readonly authorities: () => ReadonlyMap<string, protocol.Incarnation>
  /** Whether a pool lies in this daemon's region. */
  readonly isLocal: (pool: string) => boolean
  readonly stop: () => void
}

interface HostedPool {
  readonly task: task.Task<authority.event.Event>
  readonly core: authority.authority.Authority
  readonly reports: targetReports.TargetReports
}

/** Region of each pool: that of the members in its targets' availability zones; the own region when none is known. */
function listPools (view: View, ownRegion: string): readonly membership.rendezvous.Pool[] {
  const regions = new Map(view.members.map((member) => [member.availabilityZone, member.region]))
  const pools = new Map<string, string>()
  for (const target of view.documents.flatMap((one) => one.targets)) {
    const region = regions.get(target.availabilityZone)
    if (region !== undefined || !pools.has(target.pool)) pools.set(target.pool, region ?? ownRegion)
  }
  return [...pools].map(([pool, region]) => ({ pool, region }))
}

function watchedTargets (one: document.serviceDocument.ServiceDocument, pool: string): readonly targetReports.WatchedTarget[] {
  return one.targets.filter((target) => target.pool === pool).map(({ name, address }) => ({ name, address, kind: one.kind }))
}

function sameAssignment (left: ReadonlyMap<string, string>, right: ReadonlyMap<string, string>): boolean {
  return left.size === right.size && [...left].every(([pool, incarnation]) => right.get(pool) === incarnation)
}

/**
 * Starts with no pools.
 *
 * @example
 * ```ts
 * const pools = startPools(options)
 * pools.update({ members, documents, confirmed: true })
 * ```
 */
export function startPools (options: Options): Pools {
  const hosted = new Map<string, HostedPool>()
  const assign = assignment.createAssign()
  let local: ReadonlySet<string> = new Set()
  let authorities: ReadonlyMap<string, protocol.Incarnation> = new Map()

  function perform (output: authority.event.Output): void {
    switch (output.kind) {
      case 'send': return options.send(output.outbound)
      case 'news': return options.onNews(output.news)
      case 'count': return options.count(output.counter, output.value)
    }
  }

  function host (pool: string): HostedPool {
    const core = authority.authority.createAuthority({ pool, incarnation: options.incarnation, random: options.random })
    const started = task.startTask({ core, clock: options.clock, perform, beforeEvent: options.beforeEvent })
    options.log.info('authority taken', { pool })
    return { core, task: started, reports: targetReports.startTargetReports(options.readReports, started.post) }
  }

  function letGo (pool: string, old: HostedPool): void {
    old.reports.stop()
    hosted.delete(pool)
    options.log.info('authority given up', { pool })
  }

  function describe (pool: string, one: HostedPool, view: View): void {
    one.task.post({ kind: 'documents', documents: view.documents })
    one.reports.watch(view.documents.flatMap((each) => watchedTargets(each, pool)))
    one.task.post({ kind: 'members', entries: view.members.map((member) => member.incarnation), authorities })
  }

  function update (view: View): void {
    const pools = listPools(view, options.region)
    local = new Set(pools.filter((pool) => pool.region === options.region).map((pool) => pool.pool))
    const next = assign(election.electable(view.members), pools)
    const changed = !sameAssignment(authorities, next)
    authorities = next
    const own = new Set(view.confirmed ? [...next].filter(([, incarnation]) => incarnation === options.incarnation).map(([pool]) => pool) : [])
    for (const [pool, one] of hosted) if (!own.has(pool)) letGo(pool, one)
    for (const pool of own) {
      const isNew = !hosted.has(pool)
      const one = hosted.get(pool) ?? host(pool)
      hosted.set(pool, one)
      describe(pool, one, view)
      if (isNew) tell(one, options.news())
    }
    if (changed) options.onAuthorities(authorities)
  }

  function tell (one: HostedPool, news: readonly protocol.Update[]): void {
    for (const item of news) {
      if (item.kind === 'target') one.task.post({ kind: 'target', news: item })
      if (item.kind === 'suspect') one.task.post({ kind: 'suspect', news: item })
    }
  }

  function receive (from: protocol.Incarnation, message: authority.event.ReceivedMessage): void {
    if (message.kind === 'ask' && !hosted.has(message.pool)) {
      return options.send({ to: from, message: { kind: 'refusal', ask: message.ask, reason: 'no-authority', retryAfterMs: 0, figures: {} } })
    }
    const named = 'pool' in message && message.kind !== 'floor-reached' ? hosted.get(message.pool) : undefined
    // A message that names no pool of this daemon goes to all; those that it does not concern ignore it.
    for (const one of named === undefined ? hosted.values() : [named]) one.task.post({ kind: 'message', from, message })
  }

  function postAll (event: authority.event.Event): void {
    for (const one of hosted.values()) one.task.post(event)
  }

  return {
    update,
    receive,
    learn: (news) => { for (const one of hosted.values()) tell(one, [news]) },
    resumed: () => postAll({ kind: 'resumed' }),
    tick: () => postAll({ kind: 'tick' }),
    status: () => [...hosted.values()].map((one) => one.core.status()),
    hosted: () => new Set(hosted.keys()),
    authorities: () => authorities,
    isLocal: (pool) => local.has(pool),
    stop: () => { for (const [pool, one] of hosted) letGo(pool, one) }
  }
}
