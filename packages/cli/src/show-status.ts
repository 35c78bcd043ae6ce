/**
 * Shows the statuses of the daemons.
 *
 * @module
 */
import * as neverthrow from 'neverthrow'
import * as daemons from './daemons.js'
import * as failure from './failure.js'
import type * as session from './session.js'
import * as table from './table.js'

interface ReachedDaemon {
  readonly address: string
  readonly status: daemons.Status
}

interface UnreachedDaemon {
  readonly address: string
  readonly problem: string
}

function splitByReachability (results: readonly daemons.StatusResult[]): { readonly reached: readonly ReachedDaemon[], readonly unreached: readonly UnreachedDaemon[] } {
  const reached = results.flatMap(({ address, status }) => status.isOk() ? [{ address, status: status.value }] : [])
  const unreached = results.flatMap(({ address, status }) => status.isErr() ? [{ address, problem: status.error.message }] : [])
  return { reached, unreached }
}

function formatDaemons (reached: readonly ReachedDaemon[]): string {
  const rows = reached.map(({ address, status }) => [address, status.availabilityZone, status.state, String(status.entry.waiting), String(status.entry.running), status.platform.state])
  return table.formatTable(['daemon', 'zone', 'state', 'waiting', 'running', 'platform'], rows)
}

function formatServices (reached: readonly ReachedDaemon[]): string {
  const rows = reached.flatMap(({ address, status }) => status.services.map((each) => [each.service, address, String(each.revision), each.problem ?? '']))
  return table.formatTable(['service', 'daemon', 'revision', 'problem'], rows.sort((left, right) => left.join() < right.join() ? -1 : 1))
}

function formatTargets (reached: readonly ReachedDaemon[]): string {
  const rows = reached.flatMap(({ address, status }) => status.pools.flatMap((pool) => pool.targets.map((target) => [
    pool.pool,
    address,
    pool.settled ? String(pool.waiting) : 'settling',
    target.target,
    target.state,
    String(target.requestsInFlight),
    `${target.tokensInFlight}/${target.limitTokens}`,
    target.slowdown.toFixed(1)
  ])))
  return table.formatTable(['pool', 'authority', 'waiting', 'target', 'state', 'requests', 'tokens', 'slowdown'], rows)
}

function formatUnreached (unreached: readonly UnreachedDaemon[]): string {
  return unreached.map((each) => `  ${each.problem}`).join('\n')
}

function formatStatus (reached: readonly ReachedDaemon[], unreached: readonly UnreachedDaemon[]): string {
  const sections = [formatDaemons(reached), formatServices(reached), formatTargets(reached)]
  const leaving = [...new Set(reached.flatMap(({ status }) => status.leavingTargets))].sort()
  if (leaving.length > 0) sections.push(`leaving targets: ${leaving.join(', ')}`)
  if (unreached.length > 0) sections.push(`not reached:\n${formatUnreached(unreached)}`)
  return sections.join('\n\n')
}

/**
 * Shows the status of every live daemon. Fails only if no daemon is known or none responds.
 *
 * @example
 * ```ts
 * const report = await showStatus(session)
 * ```
 */
export function showStatus (run: session.Session): session.Outcome {
  return neverthrow.safeTry<session.Report, failure.Failure>(async function * () {
    const results = await daemons.fetchAllStatuses(run, daemons.ALL_DISCOVERED)
    const { reached, unreached } = splitByReachability(results)
    if (results.length === 0) return neverthrow.err(new failure.Failure('daemonUnreachable', 'no-daemon-known', {}))
    if (reached.length === 0) return neverthrow.err(new failure.Failure('daemonUnreachable', 'no-daemon-reached', { daemons: formatUnreached(unreached) }))
    const json = { daemons: reached.map((each) => each.status), unreached }
    return neverthrow.ok({ exit: 'done' as const, text: formatStatus(reached, unreached), json })
  })
}
