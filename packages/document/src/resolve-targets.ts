/**
 * Which targets are used when documents in force disagree about them.
 *
 * @module
 */
import type * as problem from './problem.js'
import type * as serviceDocument from './service-document.js'
import * as targetClaims from './target-claims.js'

type Document = serviceDocument.ServiceDocument

/** A problem with the service whose document has it. */
export interface ServiceProblem {
  readonly service: string
  readonly problem: problem.Problem
}

/** Documents without their conflicting targets, sorted by service; a document may be left with no target. */
export interface Resolution {
  readonly documents: readonly Document[]
  readonly problems: readonly ServiceProblem[]
}

/**
 * Orders names by code units, so that every daemon sorts alike whatever its locale.
 *
 * @example
 * ```ts
 * ['b', 'a'].sort(compareNames) // ['a', 'b']
 * ```
 */
export function compareNames (left: string, right: string): number {
  if (left === right) return 0
  return left < right ? -1 : 1
}

/**
 * Resolves conflicts: the document whose service name sorts first keeps the target, the other goes
 * without it. The result depends on the set of documents only, so daemons with the same documents agree.
 *
 * @example
 * ```ts
 * const { documents, problems } = resolveTargets(inForce)
 * ```
 */
export function resolveTargets (documents: readonly Document[]): Resolution {
  const byName = new Map<string, targetClaims.Claim>()
  const byAddress = new Map<string, targetClaims.Claim>()
  const problems: ServiceProblem[] = []
  const resolved: Document[] = []
  for (const document of [...documents].sort((left, right) => compareNames(left.service, right.service))) {
    const targets = document.targets.filter((target, index) => {
      const conflicts = [...targetClaims.claimConflicts({ document, target }, { byName, byAddress }, ['targets', index])]
      problems.push(...conflicts.map((conflict) => ({ service: document.service, problem: conflict })))
      return conflicts.length === 0
    })
    resolved.push(targets.length === document.targets.length ? document : { ...document, targets })
    for (const target of targets) {
      if (byName.has(target.name)) continue
      byName.set(target.name, { document, target })
      byAddress.set(target.address, { document, target })
    }
  }
  return { documents: resolved, problems }
}
