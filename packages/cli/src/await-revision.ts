/**
 * Waits until every live daemon has a revision in force.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as daemons from './daemons.js'
import * as message from './message.js'
import type * as session from './session.js'

const POLL_INTERVAL_MS = 500
const MS_PER_S = 1_000

/** A stored change that has to come into force. */
export interface StoredRevision {
  readonly service: string
  readonly revision: number
  readonly changeId: string
}

/** A daemon that is not known to have the change in force, and why. */
export interface MissingDaemon {
  readonly address: protocol.Address
  readonly detail: string
}

function missingDetail (asked: daemons.Reply, wanted: StoredRevision): string | undefined {
  if (asked.status.isErr()) return asked.status.error.message
  const service = asked.status.value.services.find((each) => each.service === wanted.service)
  if (service === undefined) return 'does not know the service'
  const problem = service.problem === undefined ? '' : `: ${service.problem}`
  if (service.revision > wanted.revision) return undefined
  if (service.revision < wanted.revision) return `has revision ${service.revision}${problem}`
  return service.changeId === wanted.changeId ? undefined : `has revision ${service.revision} of change ${service.changeId}${problem}`
}

function findMissing (everyone: readonly daemons.Reply[], wanted: StoredRevision): readonly MissingDaemon[] {
  return everyone.flatMap((asked) => {
    const detail = missingDetail(asked, wanted)
    return detail === undefined ? [] : [{ address: asked.address, detail }]
  })
}

function reportMissing (wanted: StoredRevision, inForce: readonly protocol.Address[], missing: readonly MissingDaemon[], waitS: number): session.Report {
  const lines = missing.map((each) => `  ${each.address}: ${each.detail}`).join('\n')
  const figures = { service: wanted.service, revision: wanted.revision, seconds: waitS, daemons: lines }
  return { exit: 'notInForce', text: message.formatMessage('not-in-force', figures), json: { inForce, missing } }
}

function report (wanted: StoredRevision, inForce: readonly protocol.Address[], missing: readonly MissingDaemon[], waitS: number): session.Report {
  if (missing.length > 0) return reportMissing(wanted, inForce, missing, waitS)
  const json = { inForce, missing }
  if (inForce.length === 0) return { exit: 'notInForce', text: message.formatMessage('no-daemon-known', {}), json }
  const figures = { service: wanted.service, revision: wanted.revision, count: inForce.length }
  return { exit: 'done', text: message.formatMessage('in-force-everywhere', figures), json }
}

/**
 * Asks the daemons until all have the change, or a later one, in force, or the time is over. A
 * daemon that has it is not asked again, because a revision in force never goes back. One that has
 * it not stays on the list, also when the platform or the peer that named it no longer answers.
 *
 * @example
 * ```ts
 * const report = await awaitRevision(session, { service: 'listings', revision: 5, changeId }, 10)
 * ```
 */
export async function awaitRevision (run: session.Session, wanted: StoredRevision, waitS: number): Promise<session.Report> {
  const endMs = run.ports.nowMs() + waitS * MS_PER_S
  const inForce = new Set<protocol.Address>()
  let missing: readonly MissingDaemon[] = []
  for (;;) {
    const asked = await daemons.askEveryone(run, { also: missing.map((each) => each.address), except: inForce })
    missing = findMissing(asked, wanted)
    for (const { address } of asked) {
      if (!missing.some((each) => each.address === address)) inForce.add(address)
    }
    const current = report(wanted, [...inForce], missing, waitS)
    if (current.exit === 'done' || run.ports.nowMs() >= endMs) return current
    await run.ports.sleep(POLL_INTERVAL_MS)
  }
}
