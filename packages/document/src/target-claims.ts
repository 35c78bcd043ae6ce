/**
 * What each document says about a target, and where two documents disagree.
 *
 * @module
 */
import * as problem from './problem.js'
import type * as serviceDocument from './service-document.js'

type Document = serviceDocument.ServiceDocument

const SHARED_KEYS = ['address', 'pool', 'availabilityZone', 'hardware', 'checksFencing'] as const
const ENGINE_KEYS = ['model', 'version', 'role'] as const

/** One target as one document states it. */
export interface Claim {
  readonly document: Document
  readonly target: serviceDocument.Target
}

/** Claims by target name and by address. */
export interface Claims {
  readonly byName: ReadonlyMap<string, Claim>
  readonly byAddress: ReadonlyMap<string, Claim>
}

function * targetConflicts (claim: Claim, earlier: Claim, path: readonly PropertyKey[]): Generator<problem.Problem> {
  for (const key of SHARED_KEYS) {
    const [value, other] = [claim.target[key], earlier.target[key]]
    if (value === other) continue
    const remedy = `service ${earlier.document.service} says ${problem.showValue(other)} for target ${claim.target.name}: make the two documents agree`
    yield { path: problem.showPath([...path, key]), value: problem.showValue(value), remedy }
  }
}

function * kindConflicts (claim: Claim, earlier: Claim, path: readonly PropertyKey[]): Generator<problem.Problem> {
  if (claim.document.kind === earlier.document.kind) return
  const remedy = `service ${earlier.document.service} uses this target as kind ${earlier.document.kind}: a target is a model engine or a plain service, not both`
  yield { path: problem.showPath(path), value: problem.showValue(claim.document.kind), remedy }
}

function * engineConflicts (claim: Claim, earlier: Claim, path: readonly PropertyKey[]): Generator<problem.Problem> {
  const [engine, other] = [claim.document.engine, earlier.document.engine]
  if (engine === undefined || other === undefined) return
  for (const key of ENGINE_KEYS) {
    if (engine[key] === other[key]) continue
    const remedy = `service ${earlier.document.service} wants ${key} ${other[key]} on this target: list the target in one of the two documents, or make them agree`
    yield { path: problem.showPath(path), value: `engine.${key} ${problem.showValue(engine[key])}`, remedy }
  }
}

function * addressConflicts (claim: Claim, claims: Claims, path: readonly PropertyKey[]): Generator<problem.Problem> {
  const earlier = claims.byAddress.get(claim.target.address)
  if (earlier === undefined || earlier.target.name === claim.target.name) return
  const remedy = `service ${earlier.document.service} calls this address ${earlier.target.name}: use one name for one address`
  yield { path: problem.showPath([...path, 'address']), value: problem.showValue(claim.target.address), remedy }
}

/**
 * Where a claim disagrees with earlier ones.
 *
 * @example
 * ```ts
 * const problems = [...claimConflicts({ document, target }, claims, ['targets', 0])]
 * ```
 */
export function * claimConflicts (claim: Claim, claims: Claims, path: readonly PropertyKey[]): Generator<problem.Problem> {
  const earlier = claims.byName.get(claim.target.name)
  if (earlier !== undefined) {
    yield * targetConflicts(claim, earlier, path)
    yield * kindConflicts(claim, earlier, path)
    yield * engineConflicts(claim, earlier, path)
  }
  yield * addressConflicts(claim, claims, path)
}
