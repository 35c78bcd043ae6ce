/**
 * Daemons that were introduced and have not been heard of.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as sampling from './sampling.js'
import * as settings from './settings.js'

/** Introduced daemons; one becomes a member when news of it comes from a daemon. */
export interface Seeds {
  readonly add: (news: protocol.MemberUpdate) => void
  readonly remove: (incarnation: protocol.Incarnation) => void
  readonly find: (incarnation: protocol.Incarnation) => protocol.MemberUpdate | undefined
  /** Up to `count` seeds to probe now; one that was given too often is dropped. */
  readonly take: (count: number) => readonly protocol.Incarnation[]
}

interface Seed {
  readonly news: protocol.MemberUpdate
  readonly probes: number
}

/**
 * Creates an empty set of seeds.
 *
 * @example
 * ```ts
 * const seeds = createSeeds(random)
 * seeds.add(news)
 * seeds.take(3) // [news.incarnation]
 * ```
 */
export function createSeeds (random: protocol.Random): Seeds {
  const seeds = new Map<protocol.Incarnation, Seed>()

  function take (count: number): readonly protocol.Incarnation[] {
    const chosen = sampling.sample([...seeds.values()], count, random)
    for (const seed of chosen) {
      const probes = seed.probes + 1
      if (probes >= settings.MAX_SEED_PROBES) seeds.delete(seed.news.incarnation)
      else seeds.set(seed.news.incarnation, { ...seed, probes })
    }
    return chosen.map((seed) => seed.news.incarnation)
  }

  return {
    add: (news) => { seeds.set(news.incarnation, { news, probes: 0 }) },
    remove: (incarnation) => { seeds.delete(incarnation) },
    find: (incarnation) => seeds.get(incarnation)?.news,
    take
  }
}
