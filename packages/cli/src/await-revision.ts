/**
 * Waits until a revision is in force at every live daemon.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as daemons from './daemons.js'
import * as message from './message.js'
import type * as session from './session.js'

const POLL_INTERVAL_MS = 500
const MS_PER_S = 1_000

/** Stored change to wait for. */
export interface StoredRevision {
  readonly service: string
  readonly revision: number
  readonly changeId: string
}

/** Daemon at which the change is not known to be in force, and why. */
export interface MissingDaemon {
  readonly address: protocol.Address
  readonly detail: string
}

function missingDetail (result: daemons.StatusResult, awaited: StoredRevision): string | undefined {
  if (result.status.isErr()) return result.status.error.message
  const service = result.status.value.services.find((each) => each.service === awaited.service)
  if (service === undefined) return 'has no revision of the service'
  const problem = service.problem === undefined ? '' : `: ${service.problem}`
  if (service.revision > awaited.revision) return undefined
  if (service.revision < awaited.revision) return `has revision ${service.revision}${problem}`
  return service.changeId === awaited.changeId ? undefined : `has revision ${service.revision} of change ${service.changeId}${problem}`
}

function findMissing (results: readonly daemons.StatusResult[], awaited: StoredRevision): readonly MissingDaemon[] {
  return results.flatMap((result) => {
    const detail = missingDetail(result, awaited)
    return detail === undefined ? [] : [{ address: result.address, detail }]
  })
}

function reportMissing (awaited: StoredRevision, inForce: readonly protocol.Address[], missing: readonly MissingDaemon[], waitS: number): session.Report {
  const lines = missing.map((each) => `  ${each.address}: ${each.detail}`).join('\n')
  const figures = { service: awaited.service, revision: awaited.revision, seconds: waitS, daemons: lines }
  return { exit: 'notInForce', text: message.formatMessage('not-in-force', figures), json: { inForce, missing } }
}

function report (awaited: StoredRevision, inForce: readonly protocol.Address[], missing: readonly MissingDaemon[], waitS: number): session.Report {
  if (missing.length > 0) return reportMissing(awaited, inForce, missing, waitS)
  const json = { inForce, missing }
  if (inForce.length === 0) return { exit: 'notInForce', text: message.formatMessage('no-daemon-known', {}), json }
  const figures = { service: awaited.service, revision: awaited.revision, count: inForce.length }
  return { exit: 'done', text: message.formatMessage('in-force-everywhere', figures), json }
}

/**
 * Polls the daemons until the change, or a later one, is in force at all of them or the wait ends. A
 * daemon that has it in force is not polled again, because a revision in force never goes back. One that
 * doesn't have it yet stays on the list even if the platform or the peer that listed it stops responding.
 *
 * @example
 * ```ts
 * const report = await awaitRevision(session, { service: 'listings', revision: 5, changeId }, 10)
 * ```
 */
export async function awaitRevision (run: session.Session, awaited: StoredRevision, waitS: number): Promise<session.Report> {
  const deadlineMs = run.ports.nowMs() + waitS * MS_PER_S
  const inForce = new Set<protocol.Address>()
  let missing: readonly MissingDaemon[] = []
  for (;;) {
    const results = await daemons.fetchAllStatuses(run, { include: missing.map((each) => each.address), exclude: inForce })
    missing = findMissing(results, awaited)
    for (const { address } of results) {
      if (!missing.some((each) => each.address === address)) inForce.add(address)
    }
    const current = report(awaited, [...inForce], missing, waitS)
    if (current.exit === 'done' || run.ports.nowMs() >= deadlineMs) return current
    await run.ports.sleep(POLL_INTERVAL_MS)
  }
}
