/**
 * The documents in force, as far as they concern one pool.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'
import type * as protocol from '@persimmonhatch/protocol'

/** A service as far as it concerns one pool. */
export interface Service {
  readonly document: document.serviceDocument.ServiceDocument
  /** Names of the service's targets in this pool. */
  readonly targets: readonly string[]
  /** The other pools with targets of the service. */
  readonly otherPools: readonly string[]
  readonly shares: ReadonlyMap<string, number>
  readonly tiers: ReadonlyMap<protocol.Rank, document.serviceDocument.Tier>
  readonly lowestRank: protocol.Rank
  /** Services that share at least one target of this pool with the service, itself included. */
  readonly overlappingServices: readonly string[]
}

/** A target as far as it concerns one pool. */
export interface PoolTarget {
  readonly name: string
  readonly kind: 'model' | 'plain'
  readonly hardware: string
}

/** The documents in force, by service and by target. */
export interface PoolView {
  readonly services: ReadonlyMap<string, Service>
  readonly targets: ReadonlyMap<string, PoolTarget>
}

type Document = document.serviceDocument.ServiceDocument

function listTargets (pool: string, content: Document): readonly document.serviceDocument.Target[] {
  return content.targets.filter((target) => target.pool === pool)
}

function readService (pool: string, content: Document, all: readonly Document[]): Service {
  const targets = listTargets(pool, content).map((target) => target.name)
  const sharesTarget = (other: Document): boolean => listTargets(pool, other).some((target) => targets.includes(target.name))
  return {
    document: content,
    targets,
    otherPools: [...new Set(content.targets.map((target) => target.pool))].filter((name) => name !== pool),
    shares: new Map(content.organisations.map((organisation) => [organisation.name, organisation.share])),
    tiers: new Map(content.tiers.map((tier) => [tier.rank, tier])),
    lowestRank: Math.max(...content.tiers.map((tier) => tier.rank)),
    overlappingServices: all.filter(sharesTarget).map((other) => other.service)
  }
}

/**
 * Extracts from the documents in force what concerns one pool.
 *
 * @example
 * ```ts
 * const view = readPool('east', [listings, stock])
 * view.services.get('listings')?.targets // ['engine-1', 'engine-2']
 * ```
 */
export function readPool (pool: string, documents: readonly Document[]): PoolView {
  const poolDocuments = documents.filter((content) => listTargets(pool, content).length > 0)
  const targets = new Map<string, PoolTarget>()
  for (const content of poolDocuments) {
    for (const target of listTargets(pool, content)) {
      targets.set(target.name, { name: target.name, kind: content.kind, hardware: target.hardware })
    }
  }
  return { services: new Map(poolDocuments.map((content) => [content.service, readService(pool, content, poolDocuments)])), targets }
}
