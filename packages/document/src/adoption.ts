/**
 * Which revision of each service's document a daemon has in force.
 *
 * Copies come from the platform and from peers, in any order and more than once. A copy counts by
 * its own revision, then by the time and the identity of its change, never by when or whence it
 * came; so daemons that have seen the same copies have the same documents in force, and a store
 * that comes back with older content reverts nothing.
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
  /** The stored text; undefined when the platform has no such key (any more). */
  readonly text: string | undefined
  readonly source: 'platform' | 'peer'
}

/** What came of a copy. */
export type Event =
  /** A higher revision is in force; `document` is undefined when it deletes the service. */
  | { readonly kind: 'adopted', readonly service: string, readonly revision: number, readonly changeId: string, readonly document: serviceDocument.ServiceDocument | undefined }
  /** The copy can't come into force; the last valid one stays. */
  | { readonly kind: 'rejected', readonly service: string, readonly revision: number | undefined, readonly message: string }
  /** The copy, or the missing key, is behind what is in force. */
  | { readonly kind: 'older', readonly service: string, readonly revision: number, readonly inForce: number }
  /** Two changes carry the same revision; the one named is in force on every daemon that saw both. */
  | { readonly kind: 'rivals', readonly service: string, readonly revision: number, readonly winner: string, readonly loser: string }

/** One service, for status. */
export interface Status {
  readonly service: string
  readonly revision: number
  readonly changeId: string
  readonly problem?: string
}

/** A document in force with the text that peers may ask for. */
export interface InForce {
  readonly service: string
  readonly revision: number
  /** The stored text, for a `document-copy` to a peer. */
  readonly text: string
  /** Undefined for a deleted service. */
  readonly document: serviceDocument.ServiceDocument | undefined
}

/** Adoption: state owned by one task. */
export interface Adoption {
  /** Must be drained before the next copy. */
  readonly handle: (copy: Copy) => Generator<Event, void>
  readonly find: (service: string) => InForce | undefined
  /** Documents in force with their conflicting targets left out. */
  readonly resolution: () => resolveTargets.Resolution
  /** A service's problem is the one with its revisions, or else its first conflict with another document. */
  readonly status: () => readonly Status[]
}

interface Candidate extends InForce {
  readonly change: storedDocument.Change
  /** Why it can't come into force; undefined for a valid one. */
  readonly fault: string | undefined
}

/** What the platform was last seen to hold. */
type PlatformCopy =
  | { readonly kind: 'nothing-heard' }
  | { readonly kind: 'missing' }
  | { readonly kind: 'unreadable', readonly message: string }
  | { readonly kind: 'revision', readonly revision: number }

interface State {
  /** The highest valid candidate. */
  readonly inForce: Candidate | undefined
  /** The highest invalid candidate. */
  readonly invalid: Candidate | undefined
  /** The highest candidate that shares the winner's revision and lost to it. */
  readonly rival: Candidate | undefined
  readonly held: PlatformCopy
}

const EMPTY: State = { inForce: undefined, invalid: undefined, rival: undefined, held: { kind: 'nothing-heard' } }

function compare (left: Candidate, right: Candidate): number {
  if (left.revision !== right.revision) return left.revision - right.revision
  if (left.change.atMs !== right.change.atMs) return left.change.atMs - right.change.atMs
  if (left.change.id !== right.change.id) return resolveTargets.compareNames(left.change.id, right.change.id)
  return resolveTargets.compareNames(left.text, right.text)
}

function higher (left: Candidate | undefined, right: Candidate | undefined): Candidate | undefined {
  if (left === undefined || right === undefined) return left ?? right
  return compare(left, right) >= 0 ? left : right
}

function readContent (stored: storedDocument.StoredDocument): { readonly document: serviceDocument.ServiceDocument | undefined, readonly fault: string | undefined } {
  if (stored.content === null) return { document: undefined, fault: undefined }
  const document = parseServiceDocument.parseServiceDocument(stored.content)
  if (document.isErr()) return { document: undefined, fault: document.error.message }
  if (document.value.service !== stored.service) return { document: undefined, fault: `the content is for service ${document.value.service}: apply it again` }
  return { document: document.value, fault: undefined }
}

function readCandidate (service: string, text: string): Candidate | string {
  const stored = storedDocument.readStoredDocument(service, text)
  if (stored.isErr()) return stored.error.message
  const { revision, change } = stored.value
  return { service, revision, change, text, ...readContent(stored.value) }
}

// A candidate from before the winner's revision is no rival any more.
function findRival (winner: Candidate | undefined, others: readonly (Candidate | undefined)[]): Candidate | undefined {
  const rivals = others.filter((other) => other !== undefined && other.revision === winner?.revision && compare(other, winner) !== 0)
  return rivals.reduce(higher, undefined)
}

function join (state: State, candidate: Candidate): State {
  if (candidate.fault !== undefined) return { ...state, invalid: higher(state.invalid, candidate) }
  const inForce = higher(state.inForce, candidate)
  return { ...state, inForce, rival: findRival(inForce, [state.inForce, state.rival, candidate]) }
}

function * rivalEvents (before: State, after: State): Generator<Event> {
  const { inForce, rival } = after
  if (inForce === undefined || rival === undefined) return
  if (before.inForce === inForce && before.rival === rival) return
  yield { kind: 'rivals', service: inForce.service, revision: inForce.revision, winner: inForce.change.id, loser: rival.change.id }
}

function * joinEvents (before: State, after: State, candidate: Candidate): Generator<Event> {
  const { service, revision, change, document } = candidate
  if (candidate.fault !== undefined) {
    if (after.invalid !== before.invalid) yield { kind: 'rejected', service, revision, message: candidate.fault }
    return
  }
  if (after.inForce === candidate && before.inForce !== candidate) yield { kind: 'adopted', service, revision, changeId: change.id, document }
  else if (before.inForce !== undefined && revision < before.inForce.revision) yield { kind: 'older', service, revision, inForce: before.inForce.revision }
  yield * rivalEvents(before, after)
}

function heldProblem (state: State): string | undefined {
  const { held, inForce } = state
  const revision = inForce?.revision ?? 0
  const remedy = `Revision ${revision} stays in force; apply the wanted document again.`
  if (held.kind === 'unreadable') return `${held.message} Revision ${revision} stays in force.`
  if (held.kind === 'missing' && inForce !== undefined) return `The platform holds no document. ${remedy}`
  if (held.kind === 'revision' && held.revision < revision) return `The platform holds revision ${held.revision}, an older one. ${remedy}`
  return undefined
}

function problemOf (state: State): string | undefined {
  const { inForce, invalid, rival } = state
  if (invalid !== undefined && higher(inForce, invalid) === invalid) {
    return `Revision ${invalid.revision} is invalid, revision ${inForce?.revision ?? 0} stays in force: ${invalid.fault ?? ''}`
  }
  if (rival !== undefined) {
    return `Two changes carry revision ${rival.revision}: ${inForce?.change.id ?? ''} is in force, ${rival.change.id} by ${rival.change.operator} is not. Apply the wanted document again.`
  }
  return heldProblem(state)
}

function conflictOf (service: string, resolution: resolveTargets.Resolution): string | undefined {
  const found = resolution.problems.find((each) => each.service === service)?.problem
  return found === undefined ? undefined : `Goes without a target: ${problemModule.describeProblem(found)}`
}

function statusOf (service: string, state: State, resolution: resolveTargets.Resolution): Status {
  const problem = problemOf(state) ?? conflictOf(service, resolution)
  const status = { service, revision: state.inForce?.revision ?? 0, changeId: state.inForce?.change.id ?? '' }
  return problem === undefined ? status : { ...status, problem }
}

// The same copy again keeps the candidate already held, so that it gives no event.
function sameAs (state: State, text: string): Candidate | undefined {
  return [state.inForce, state.invalid, state.rival].find((candidate) => candidate?.text === text)
}

function * handleMissing (state: State, copy: Copy): Generator<Event, State> {
  if (copy.source === 'peer') return state
  if (state.inForce !== undefined && state.held.kind !== 'missing') {
    yield { kind: 'older', service: copy.service, revision: 0, inForce: state.inForce.revision }
  }
  return { ...state, held: { kind: 'missing' } }
}

function * handleUnreadable (state: State, copy: Copy, message: string): Generator<Event, State> {
  yield { kind: 'rejected', service: copy.service, revision: undefined, message }
  return copy.source === 'platform' ? { ...state, held: { kind: 'unreadable', message } } : state
}

function * handleCopy (state: State, copy: Copy): Generator<Event, State> {
  if (copy.text === undefined) return yield * handleMissing(state, copy)
  const candidate = sameAs(state, copy.text) ?? readCandidate(copy.service, copy.text)
  if (typeof candidate === 'string') return yield * handleUnreadable(state, copy, candidate)
  const held: PlatformCopy = copy.source === 'platform' ? { kind: 'revision', revision: candidate.revision } : state.held
  const next = { ...join(state, candidate), held }
  yield * joinEvents(state, next, candidate)
  return next
}

/**
 * Adoption of documents, with none in force at first.
 *
 * @example
 * ```ts
 * const adoption = createAdoption()
 * for (const event of adoption.handle({ service: 'listings', text, source: 'platform' })) report(event)
 * ```
 */
export function createAdoption (): Adoption {
  const states = new Map<string, State>()

  function * handle (copy: Copy): Generator<Event, void> {
    states.set(copy.service, yield * handleCopy(states.get(copy.service) ?? EMPTY, copy))
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
