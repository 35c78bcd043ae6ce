/**
 * Adoption of service documents: decides which revision of each a daemon has in force.
 *
 * Copies arrive from the platform and from peers, in any order and possibly repeatedly. They are ordered by
 * revision, then by the time and the identity of the change, never by arrival time or source. So daemons
 * that have received the same copies have the same documents in force, and a store that is restored with
 * older content reverts nothing.
 *
 * @module
 */
import * as parseServiceDocument from './parse-service-document.js'
import * as problemModule from './problem.js'
import * as resolveTargets from './resolve-targets.js'
import type * as serviceDocument from './service-document.js'
import * as storedDocument from './stored-document.js'

/** A stored document as received. */
export interface Copy {
  readonly service: string
  /** The stored text; undefined if the platform does not, or no longer, have the key. */
  readonly text: string | undefined
  readonly source: 'platform' | 'peer'
}

/** Effect of a copy. */
export type Event =
  /** A higher revision is in force; `document` is undefined when it deletes the service. */
  | { readonly kind: 'adopted', readonly service: string, readonly revision: number, readonly changeId: string, readonly document: serviceDocument.ServiceDocument | undefined }
  /** The copy is invalid; the last valid one stays in force. */
  | { readonly kind: 'rejected', readonly service: string, readonly revision: number | undefined, readonly message: string }
  /** The copy is older than the revision in force, or the key is missing. */
  | { readonly kind: 'older', readonly service: string, readonly revision: number, readonly inForce: number }
  /** Two changes have the same revision; `winner` is in force on every daemon that received both. */
  | { readonly kind: 'rivals', readonly service: string, readonly revision: number, readonly winner: string, readonly loser: string }

/** Status of a service. */
export interface Status {
  readonly service: string
  readonly revision: number
  readonly changeId: string
  readonly problem?: string
}

/** A document in force, with the text that peers may request. */
export interface InForce {
  readonly service: string
  readonly revision: number
  /** The stored text, for a `document-copy` to a peer. */
  readonly text: string
  /** Undefined for a deleted service. */
  readonly document: serviceDocument.ServiceDocument | undefined
}

/** Documents in force; state owned by one task. */
export interface Adoption {
  /** Handles one copy. The generator must be run to its end before the next copy. */
  readonly handle: (copy: Copy) => Generator<Event, void>
  readonly find: (service: string) => InForce | undefined
  /** Documents in force without their conflicting targets. */
  readonly resolution: () => resolveTargets.Resolution
  /** Status of all services. A service's problem is that of its revisions, or else its first conflict with another document. */
  readonly status: () => readonly Status[]
}

interface Candidate extends InForce {
  readonly change: storedDocument.Change
  /** Why the document is invalid; undefined for a valid one. */
  readonly error: string | undefined
}

/** What the platform held when it was last read. */
type PlatformCopy =
  | { readonly kind: 'not-received' }
  | { readonly kind: 'missing' }
  | { readonly kind: 'unreadable', readonly message: string }
  | { readonly kind: 'revision', readonly revision: number }

interface ServiceState {
  /** The highest valid candidate. */
  readonly inForce: Candidate | undefined
  /** The highest invalid candidate. */
  readonly invalid: Candidate | undefined
  /** The highest other candidate with the revision of the one in force. */
  readonly rival: Candidate | undefined
  readonly platformCopy: PlatformCopy
}

const INITIAL_STATE: ServiceState = { inForce: undefined, invalid: undefined, rival: undefined, platformCopy: { kind: 'not-received' } }

function compare (left: Candidate, right: Candidate): number {
  if (left.revision !== right.revision) return left.revision - right.revision
  if (left.change.atMs !== right.change.atMs) return left.change.atMs - right.change.atMs
  if (left.change.id !== right.change.id) return resolveTargets.compareNames(left.change.id, right.change.id)
  return resolveTargets.compareNames(left.text, right.text)
}

function higherOf (left: Candidate | undefined, right: Candidate | undefined): Candidate | undefined {
  if (left === undefined || right === undefined) return left ?? right
  return compare(left, right) >= 0 ? left : right
}

function readContent (stored: storedDocument.StoredDocument): { readonly document: serviceDocument.ServiceDocument | undefined, readonly error: string | undefined } {
  if (stored.content === null) return { document: undefined, error: undefined }
  const document = parseServiceDocument.parseServiceDocument(stored.content)
  if (document.isErr()) return { document: undefined, error: document.error.message }
  if (document.value.service !== stored.service) return { document: undefined, error: `the content is for service ${document.value.service}: apply it again` }
  return { document: document.value, error: undefined }
}

function readCandidate (service: string, text: string): Candidate | string {
  const stored = storedDocument.readStoredDocument(service, text)
  if (stored.isErr()) return stored.error.message
  const { revision, change } = stored.value
  return { service, revision, change, text, ...readContent(stored.value) }
}

// Only candidates with the winner's revision are rivals.
function findRival (winner: Candidate | undefined, others: readonly (Candidate | undefined)[]): Candidate | undefined {
  const rivals = others.filter((other) => other !== undefined && other.revision === winner?.revision && compare(other, winner) !== 0)
  return rivals.reduce(higherOf, undefined)
}

function mergeCandidate (state: ServiceState, candidate: Candidate): ServiceState {
  if (candidate.error !== undefined) return { ...state, invalid: higherOf(state.invalid, candidate) }
  const inForce = higherOf(state.inForce, candidate)
  return { ...state, inForce, rival: findRival(inForce, [state.inForce, state.rival, candidate]) }
}

function * rivalEvents (before: ServiceState, after: ServiceState): Generator<Event> {
  const { inForce, rival } = after
  if (inForce === undefined || rival === undefined) return
  if (before.inForce === inForce && before.rival === rival) return
  yield { kind: 'rivals', service: inForce.service, revision: inForce.revision, winner: inForce.change.id, loser: rival.change.id }
}

function * mergeEvents (before: ServiceState, after: ServiceState, candidate: Candidate): Generator<Event> {
  const { service, revision, change, document } = candidate
  if (candidate.error !== undefined) {
    if (after.invalid !== before.invalid) yield { kind: 'rejected', service, revision, message: candidate.error }
    return
  }
  if (after.inForce === candidate && before.inForce !== candidate) yield { kind: 'adopted', service, revision, changeId: change.id, document }
  else if (before.inForce !== undefined && revision < before.inForce.revision) yield { kind: 'older', service, revision, inForce: before.inForce.revision }
  yield * rivalEvents(before, after)
}

function platformProblem (state: ServiceState): string | undefined {
  const { platformCopy, inForce } = state
  const revision = inForce?.revision ?? 0
  const remedy = `Revision ${revision} stays in force; apply the wanted document again.`
  if (platformCopy.kind === 'unreadable') return `${platformCopy.message} Revision ${revision} stays in force.`
  if (platformCopy.kind === 'missing' && inForce !== undefined) return `The platform holds no document. ${remedy}`
  if (platformCopy.kind === 'revision' && platformCopy.revision < revision) return `The platform holds revision ${platformCopy.revision}, an older one. ${remedy}`
  return undefined
}

function problemOf (state: ServiceState): string | undefined {
  const { inForce, invalid, rival } = state
  if (invalid !== undefined && higherOf(inForce, invalid) === invalid) {
    return `Revision ${invalid.revision} is invalid, revision ${inForce?.revision ?? 0} stays in force: ${invalid.error ?? ''}`
  }
  if (rival !== undefined) {
    return `Two changes carry revision ${rival.revision}: ${inForce?.change.id ?? ''} is in force, ${rival.change.id} by ${rival.change.operator} is not. Apply the wanted document again.`
  }
  return platformProblem(state)
}

function conflictProblem (service: string, resolution: resolveTargets.Resolution): string | undefined {
  const conflict = resolution.problems.find((each) => each.service === service)?.problem
  return conflict === undefined ? undefined : `Goes without a target: ${problemModule.formatProblem(conflict)}`
}

function statusOf (service: string, state: ServiceState, resolution: resolveTargets.Resolution): Status {
  const problem = problemOf(state) ?? conflictProblem(service, resolution)
  const status = { service, revision: state.inForce?.revision ?? 0, changeId: state.inForce?.change.id ?? '' }
  return problem === undefined ? status : { ...status, problem }
}

// Reuses the existing candidate for a repeated copy, so that the copy gives no event.
function findByText (state: ServiceState, text: string): Candidate | undefined {
  return [state.inForce, state.invalid, state.rival].find((candidate) => candidate?.text === text)
}

function * handleMissing (state: ServiceState, copy: Copy): Generator<Event, ServiceState> {
  if (copy.source === 'peer') return state
  if (state.inForce !== undefined && state.platformCopy.kind !== 'missing') {
    yield { kind: 'older', service: copy.service, revision: 0, inForce: state.inForce.revision }
  }
  return { ...state, platformCopy: { kind: 'missing' } }
}

function * handleUnreadable (state: ServiceState, copy: Copy, message: string): Generator<Event, ServiceState> {
  yield { kind: 'rejected', service: copy.service, revision: undefined, message }
  return copy.source === 'platform' ? { ...state, platformCopy: { kind: 'unreadable', message } } : state
}

function * handleCopy (state: ServiceState, copy: Copy): Generator<Event, ServiceState> {
  if (copy.text === undefined) return yield * handleMissing(state, copy)
  const candidate = findByText(state, copy.text) ?? readCandidate(copy.service, copy.text)
  if (typeof candidate === 'string') return yield * handleUnreadable(state, copy, candidate)
  const platformCopy: PlatformCopy = copy.source === 'platform' ? { kind: 'revision', revision: candidate.revision } : state.platformCopy
  const next = { ...mergeCandidate(state, candidate), platformCopy }
  yield * mergeEvents(state, next, candidate)
  return next
}

/**
 * Creates the state of a daemon with no documents in force.
 *
 * @example
 * ```ts
 * const adoption = createAdoption()
 * for (const event of adoption.handle({ service: 'listings', text, source: 'platform' })) report(event)
 * ```
 */
export function createAdoption (): Adoption {
  const states = new Map<string, ServiceState>()

  function * handle (copy: Copy): Generator<Event, void> {
    states.set(copy.service, yield * handleCopy(states.get(copy.service) ?? INITIAL_STATE, copy))
  }

  function resolution (): resolveTargets.Resolution {
    const documents = [...states.values()].map((state) => state.inForce?.document)
    return resolveTargets.resolveTargets(documents.filter((document) => document !== undefined))
  }

  function status (): readonly Status[] {
    const sorted = [...states].sort(([left], [right]) => resolveTargets.compareNames(left, right))
    const resolved = resolution()
    return sorted.map(([service, state]) => statusOf(service, state, resolved))
  }

  return { handle, find: (service) => states.get(service)?.inForce, resolution, status }
}
