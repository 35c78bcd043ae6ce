/**
 * Order in which members are probed.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as memberTable from './member-table.js'
import * as sampling from './sampling.js'
import * as settings from './settings.js'

/** Chooses members to probe. */
export interface ProbeOrder {
  readonly next: (table: memberTable.MemberTable) => protocol.Incarnation | undefined
}

type RoundRobin = (table: memberTable.MemberTable) => protocol.Incarnation | undefined

function isLive (record: memberTable.MemberRecord | undefined): boolean {
  return record !== undefined && record.member.state !== 'gone'
}

// Round robin over a list that is shuffled after each round: SWIM, section 4.3.
function createRoundRobin (isCandidate: (member: protocol.MemberUpdate) => boolean, random: protocol.Random): RoundRobin {
  let remaining: protocol.Incarnation[] = []

  return (table) => {
    let next = remaining.pop()
    while (next !== undefined && !isLive(table.find(next))) next = remaining.pop()
    if (next !== undefined) return next
    const candidates = table.live().filter((record) => isCandidate(record.member))
    remaining = [...sampling.shuffle(candidates, random)].map((record) => record.member.incarnation)
    return remaining.pop()
  }
}

/**
 * Creates the probe order of a daemon in `region`. Most probes stay within the region, because they are cheap and
 * its pools depend on them; every `PROBES_PER_CROSS_REGION_PROBE`-th goes to another region.
 *
 * @example
 * ```ts
 * const order = createProbeOrder('south', random)
 * order.next(table)
 * ```
 */
export function createProbeOrder (region: string, random: protocol.Random): ProbeOrder {
  const local = createRoundRobin((member) => member.region === region, random)
  const remote = createRoundRobin((member) => member.region !== region, random)
  let probes = 0

  function next (table: memberTable.MemberTable): protocol.Incarnation | undefined {
    probes += 1
    if (probes % settings.PROBES_PER_CROSS_REGION_PROBE === 0) return remote(table) ?? local(table)
    return local(table) ?? remote(table)
  }

  return { next }
}
