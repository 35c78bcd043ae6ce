/**
 * Checks one document against the documents of the other services.
 *
 * @module
 */
import type * as problem from './problem.js'
import * as resolveTargets from './resolve-targets.js'
import type * as serviceDocument from './service-document.js'
import * as targetDeclarations from './target-declarations.js'

type Document = serviceDocument.ServiceDocument

function collectDeclarations (documents: readonly Document[]): targetDeclarations.Declarations {
  const declarations = documents.flatMap((document) => document.targets.map((target) => ({ document, target })))
  const byName = new Map(declarations.map((declaration) => [declaration.target.name, declaration]))
  const byAddress = new Map(declarations.map((declaration) => [declaration.target.address, declaration]))
  return { byName, byAddress }
}

/**
 * Returns the conflicts of a document with the others in force: one target declared in two ways, or one
 * address under two names. Ignores an earlier document of the same service.
 *
 * @example
 * ```ts
 * const problems = checkAgainstOthers(document, others)
 * if (problems.length > 0) print(new InvalidDocument(problems).message)
 * ```
 */
export function checkAgainstOthers (document: Document, others: readonly Document[]): readonly problem.Problem[] {
  const inForce = resolveTargets.resolveTargets(others.filter((other) => other.service !== document.service)).documents
  const declarations = collectDeclarations(inForce)
  return document.targets.flatMap((target, index) => [...targetDeclarations.declarationConflicts({ document, target }, declarations, ['targets', index])])
}
