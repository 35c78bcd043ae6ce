/**
 * Declarations of a target in several documents, and the conflicts between them.
 *
 * @module
 */
import * as problem from './problem.js'
import type * as serviceDocument from './service-document.js'

type Document = serviceDocument.ServiceDocument

const SHARED_KEYS = ['address', 'pool', 'availabilityZone', 'hardware', 'checksFencing'] as const
const ENGINE_KEYS = ['model', 'version', 'role'] as const

/** A target as declared by one document. */
export interface TargetDeclaration {
  readonly document: Document
  readonly target: serviceDocument.Target
}

/** Declarations by target name and by address. */
export interface Declarations {
  readonly byName: ReadonlyMap<string, TargetDeclaration>
  readonly byAddress: ReadonlyMap<string, TargetDeclaration>
}

function * targetConflicts (declaration: TargetDeclaration, earlier: TargetDeclaration, path: readonly PropertyKey[]): Generator<problem.Problem> {
  for (const key of SHARED_KEYS) {
    const [value, earlierValue] = [declaration.target[key], earlier.target[key]]
    if (value === earlierValue) continue
    const remedy = `service ${earlier.document.service} says ${problem.formatValue(earlierValue)} for target ${declaration.target.name}: make the two documents agree`
    yield { path: problem.formatPath([...path, key]), value: problem.formatValue(value), remedy }
  }
}

function * kindConflicts (declaration: TargetDeclaration, earlier: TargetDeclaration, path: readonly PropertyKey[]): Generator<problem.Problem> {
  if (declaration.document.kind === earlier.document.kind) return
  const remedy = `service ${earlier.document.service} uses this target as kind ${earlier.document.kind}: a target is a model engine or a plain service, not both`
  yield { path: problem.formatPath(path), value: problem.formatValue(declaration.document.kind), remedy }
}

function * engineConflicts (declaration: TargetDeclaration, earlier: TargetDeclaration, path: readonly PropertyKey[]): Generator<problem.Problem> {
  const [engine, earlierEngine] = [declaration.document.engine, earlier.document.engine]
  if (engine === undefined || earlierEngine === undefined) return
  for (const key of ENGINE_KEYS) {
    if (engine[key] === earlierEngine[key]) continue
    const remedy = `service ${earlier.document.service} wants ${key} ${earlierEngine[key]} on this target: list the target in one of the two documents, or make them agree`
    yield { path: problem.formatPath(path), value: `engine.${key} ${problem.formatValue(engine[key])}`, remedy }
  }
}

function * addressConflicts (declaration: TargetDeclaration, declarations: Declarations, path: readonly PropertyKey[]): Generator<problem.Problem> {
  const earlier = declarations.byAddress.get(declaration.target.address)
  if (earlier === undefined || earlier.target.name === declaration.target.name) return
  const remedy = `service ${earlier.document.service} calls this address ${earlier.target.name}: use one name for one address`
  yield { path: problem.formatPath([...path, 'address']), value: problem.formatValue(declaration.target.address), remedy }
}

/**
 * Yields the conflicts of a declaration with earlier ones.
 *
 * @example
 * ```ts
 * const problems = [...declarationConflicts({ document, target }, declarations, ['targets', 0])]
 * ```
 */
export function * declarationConflicts (declaration: TargetDeclaration, declarations: Declarations, path: readonly PropertyKey[]): Generator<problem.Problem> {
  const earlier = declarations.byName.get(declaration.target.name)
  if (earlier !== undefined) {
    yield * targetConflicts(declaration, earlier, path)
    yield * kindConflicts(declaration, earlier, path)
    yield * engineConflicts(declaration, earlier, path)
  }
  yield * addressConflicts(declaration, declarations, path)
}
