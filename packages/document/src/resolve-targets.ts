/**
 * Resolution of conflicts between documents in force that declare the same target.
 *
 * @module
 */
import type * as problem from './problem.js'
import type * as serviceDocument from './service-document.js'
import * as targetDeclarations from './target-declarations.js'

type Document = serviceDocument.ServiceDocument

/** A problem of a service's document. */
export interface ServiceProblem {
  readonly service: string
  readonly problem: problem.Problem
}

/** Documents without their conflicting targets, sorted by service; a document may end up without targets. */
export interface Resolution {
  readonly documents: readonly Document[]
  readonly problems: readonly ServiceProblem[]
}

/**
 * Compares names by code units, so that the order does not depend on a daemon's locale.
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
 * Resolves conflicts: the document whose service name sorts first keeps the target, and it is removed from
 * the other. The result depends on the set of documents only, so daemons with the same documents agree.
 *
 * @example
 * ```ts
 * const { documents, problems } = resolveTargets(inForce)
 * ```
 */
export function resolveTargets (documents: readonly Document[]): Resolution {
  const byName = new Map<string, targetDeclarations.TargetDeclaration>()
  const byAddress = new Map<string, targetDeclarations.TargetDeclaration>()
  const problems: ServiceProblem[] = []
  const resolved: Document[] = []
  for (const document of [...documents].sort((left, right) => compareNames(left.service, right.service))) {
    const targets = document.targets.filter((target, index) => {
      const conflicts = [...targetDeclarations.declarationConflicts({ document, target }, { byName, byAddress }, ['targets', index])]
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
