/**
 * Checks one document against those of the other services.
 *
 * @module
 */
import type * as problem from './problem.js'
import * as resolveTargets from './resolve-targets.js'
import type * as serviceDocument from './service-document.js'
import * as targetClaims from './target-claims.js'

type Document = serviceDocument.ServiceDocument

function collectClaims (documents: readonly Document[]): targetClaims.Claims {
  const claims = documents.flatMap((document) => document.targets.map((target) => ({ document, target })))
  const byName = new Map(claims.map((claim) => [claim.target.name, claim]))
  const byAddress = new Map(claims.map((claim) => [claim.target.address, claim]))
  return { byName, byAddress }
}

/**
 * Conflicts of a document with the others in force: one target stated in two ways, or one address
 * under two names. An earlier document of the same service does not count as another.
 *
 * @example
 * ```ts
 * const problems = checkAgainstOthers(document, others)
 * if (problems.length > 0) print(new InvalidDocument(problems).message)
 * ```
 */
export function checkAgainstOthers (document: Document, others: readonly Document[]): readonly problem.Problem[] {
  const inForce = resolveTargets.resolveTargets(others.filter((other) => other.service !== document.service)).documents
  const claims = collectClaims(inForce)
  return document.targets.flatMap((target, index) => [...targetClaims.claimConflicts({ document, target }, claims, ['targets', index])])
}
