/**
 * Daemons that were discovered but are not members yet.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as sampling from './sampling.js'
import * as settings from './settings.js'

/** Discovered daemons; a seed becomes a member when an update about it is received from a daemon. */
export interface Seeds {
  readonly add: (member: protocol.MemberUpdate) => void
  readonly remove: (incarnation: protocol.Incarnation) => void
  readonly find: (incarnation: protocol.Incarnation) => protocol.MemberUpdate | undefined
  /** Returns up to `count` seeds to probe now, and removes those that have reached `MAX_SEED_PROBES`. */
  readonly chooseForProbing: (count: number) => readonly protocol.Incarnation[]
}

interface Seed {
  readonly member: protocol.MemberUpdate
  readonly probeCount: number
}

/**
 * Creates an empty set of seeds.
 *
 * @example
 * ```ts
 * const seeds = createSeeds(random)
 * seeds.add(member)
 * seeds.chooseForProbing(3) // [member.incarnation]
 * ```
 */
export function createSeeds (random: protocol.Random): Seeds {
  const seeds = new Map<protocol.Incarnation, Seed>()

  function chooseForProbing (count: number): readonly protocol.Incarnation[] {
    const chosen = sampling.sample([...seeds.values()], count, random)
    for (const seed of chosen) {
      const probeCount = seed.probeCount + 1
      if (probeCount >= settings.MAX_SEED_PROBES) seeds.delete(seed.member.incarnation)
      else seeds.set(seed.member.incarnation, { ...seed, probeCount })
    }
    return chosen.map((seed) => seed.member.incarnation)
  }

  return {
    add: (member) => { seeds.set(member.incarnation, { member, probeCount: 0 }) },
    remove: (incarnation) => { seeds.delete(incarnation) },
    find: (incarnation) => seeds.get(incarnation)?.member,
    chooseForProbing
  }
}
