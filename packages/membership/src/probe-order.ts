/**
 * Which member to probe next.
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

type Ring = (table: memberTable.MemberTable) => protocol.Incarnation | undefined

function isLive (entry: memberTable.Entry | undefined): boolean {
  return entry !== undefined && entry.news.state !== 'gone'
}

// Round robin over a list that is shuffled after each round: SWIM, section 4.3.
function createRing (isInRing: (news: protocol.MemberUpdate) => boolean, random: protocol.Random): Ring {
  let waiting: protocol.Incarnation[] = []

  return (table) => {
    let next = waiting.pop()
    while (next !== undefined && !isLive(table.find(next))) next = waiting.pop()
    if (next !== undefined) return next
    const candidates = table.live().filter((entry) => isInRing(entry.news))
    waiting = [...sampling.shuffle(candidates, random)].map((entry) => entry.news.incarnation)
    return waiting.pop()
  }
}

/**
 * Creates the order of probes of a daemon in `region`: mostly its own region, as those probes are cheap and
 * the region's pools depend on them; every `PROBES_PER_CROSS_REGION_PROBE`-th goes to another region.
 *
 * @example
 * ```ts
 * const order = createProbeOrder('south', random)
 * order.next(table)
 * ```
 */
export function createProbeOrder (region: string, random: protocol.Random): ProbeOrder {
  const local = createRing((news) => news.region === region, random)
  const remote = createRing((news) => news.region !== region, random)
  let probes = 0

  function next (table: memberTable.MemberTable): protocol.Incarnation | undefined {
    probes += 1
    if (probes % settings.PROBES_PER_CROSS_REGION_PROBE === 0) return remote(table) ?? local(table)
    return local(table) ?? remote(table)
  }

  return { next }
}
