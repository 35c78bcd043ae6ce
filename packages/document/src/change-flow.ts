/**
 * The steps of one change, and its outcome, also when a response of the store is lost.
 *
 * A write whose response was lost may still take effect later, as long as the key has the expected
 * `modRevision`. Until that changes, the same write is sent again: both writes have the same change
 * identity and expect the same `modRevision`, so at most one of them takes effect.
 *
 * @module
 */
import * as neverthrow from 'neverthrow'
import * as changePlan from './change-plan.js'
import * as storedDocument from './stored-document.js'

/** Attempts to read, and to write, after which the flow ends. */
export const MAX_ATTEMPTS = 5

/** Next step for the caller to perform. */
export type Step =
  | { readonly kind: 'read' }
  | { readonly kind: 'write', readonly text: string, readonly expectedModRevision: number }
  /** Back off before the given attempt; the higher the attempt, the longer. */
  | { readonly kind: 'pause', readonly attempt: number }

/** Result of a step. `unanswered`: a write may have taken effect; `not-done`: it certainly did not. */
export type Reply =
  | { readonly kind: 'read', readonly storedValue: changePlan.StoredValue | undefined }
  | { readonly kind: 'swap', readonly succeeded: boolean, readonly storedValue: changePlan.StoredValue | undefined }
  | { readonly kind: 'failed', readonly failure: 'not-done' | 'unanswered', readonly message: string }
  | { readonly kind: 'paused' }

/** Outcome of a change. Each is certain, except `unknown`. */
export type ChangeOutcome =
  | { readonly kind: 'already-in-force', readonly stored: storedDocument.StoredDocument }
  /** Stored, and the newest revision when last read. `answerLost`: the response was lost, and the outcome is known from reading back. */
  | { readonly kind: 'took-effect', readonly revision: number, readonly replaced: storedDocument.StoredDocument | undefined, readonly answerLost: boolean }
  /** Stored, and since replaced by another change. */
  | { readonly kind: 'superseded', readonly revision: number, readonly since: readonly storedDocument.RecentChange[] }
  /** Not stored, because another change came first. */
  | { readonly kind: 'raced', readonly since: readonly storedDocument.RecentChange[] }
  /** Not stored, because the store could not be reached. */
  | { readonly kind: 'not-sent', readonly message: string }
  | { readonly kind: 'unknown', readonly cause: 'chain-overflow' | 'unanswered' | 'unreadable', readonly message: string }

/** Control flow of one change: yields steps and receives replies. */
export type Flow = Generator<Step, neverthrow.Result<ChangeOutcome, changePlan.Failure>, Reply>

// The store refused the swap although the key has the expected revision.
const CONTRADICTORY_REPLY: ChangeOutcome = { kind: 'unknown', cause: 'unreadable', message: 'the platform refused the write although the key has the expected revision' }

type Write = Extract<changePlan.Plan, { readonly kind: 'write' }>

function outcomeOfStored (request: changePlan.ChangeRequest, write: Write, stored: storedDocument.StoredDocument): ChangeOutcome {
  const found = stored.recent.find((change) => change.id === request.change.id)
  if (found === undefined) return outcomeWithoutChange(write, stored)
  if (found.revision === stored.revision) return { kind: 'took-effect', revision: found.revision, replaced: write.replaced, answerLost: true }
  return { kind: 'superseded', revision: found.revision, since: changePlan.changesSince(stored, found.revision) }
}

// The change is certainly not stored only if the history reaches back to the revision that it would have had.
function outcomeWithoutChange (write: Write, stored: storedDocument.StoredDocument): ChangeOutcome {
  const oldestRevision = stored.recent.at(-1)?.revision ?? 0
  if (oldestRevision > write.revision) {
    return { kind: 'unknown', cause: 'chain-overflow', message: `the chain of changes goes back to revision ${oldestRevision} only` }
  }
  return { kind: 'raced', since: changePlan.changesSince(stored, write.replaced?.revision ?? 0) }
}

/**
 * Determines from the stored value whether a written change took effect. Returns undefined if the key still
 * has the expected `modRevision`, because the write may yet take effect.
 *
 * @example
 * ```ts
 * determineOutcome(request, plan, storedValue)?.kind // 'superseded'
 * ```
 */
export function determineOutcome (request: changePlan.ChangeRequest, write: Write, storedValue: changePlan.StoredValue | undefined): ChangeOutcome | undefined {
  if ((storedValue?.modRevision ?? 0) === write.expectedModRevision) return undefined
  if (storedValue === undefined) return { kind: 'unknown', cause: 'unreadable', message: 'the key was removed from the platform' }
  const stored = storedDocument.readStoredDocument(request.service, storedValue.text)
  if (stored.isErr()) return { kind: 'unknown', cause: 'unreadable', message: stored.error.message }
  return outcomeOfStored(request, write, stored.value)
}

function * readStoredValue (): Generator<Step, neverthrow.Result<changePlan.StoredValue | undefined, ChangeOutcome>, Reply> {
  let message = ''
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
    if (attempt > 1) yield { kind: 'pause', attempt }
    const reply = yield { kind: 'read' }
    if (reply.kind === 'read') return neverthrow.ok(reply.storedValue)
    if (reply.kind === 'failed') message = reply.message
  }
  return neverthrow.err({ kind: 'not-sent', message })
}

function changesAfterReplaced (request: changePlan.ChangeRequest, write: Write, storedValue: changePlan.StoredValue | undefined): readonly storedDocument.RecentChange[] {
  const stored = storedValue === undefined ? undefined : storedDocument.readStoredDocument(request.service, storedValue.text).unwrapOr(undefined)
  return changePlan.changesSince(stored, write.replaced?.revision ?? 0)
}

function * writeUntilCertain (request: changePlan.ChangeRequest, write: Write): Generator<Step, ChangeOutcome, Reply> {
  let mayHaveTakenEffect = false
  let message = ''
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
    if (attempt > 1) yield { kind: 'pause', attempt }
    const reply = yield { kind: 'write', text: write.text, expectedModRevision: write.expectedModRevision }
    if (reply.kind === 'swap' && reply.succeeded) return { kind: 'took-effect', revision: write.revision, replaced: write.replaced, answerLost: false }
    if (reply.kind === 'swap') return mayHaveTakenEffect ? determineOutcome(request, write, reply.storedValue) ?? CONTRADICTORY_REPLY : { kind: 'raced', since: changesAfterReplaced(request, write, reply.storedValue) }
    if (reply.kind !== 'failed') continue
    message = reply.message
    mayHaveTakenEffect ||= reply.failure === 'unanswered'
    const readReply = mayHaveTakenEffect ? yield { kind: 'read' } as const : undefined
    const outcome = readReply?.kind === 'read' ? determineOutcome(request, write, readReply.storedValue) : undefined
    if (outcome !== undefined) return outcome
  }
  return mayHaveTakenEffect ? { kind: 'unknown', cause: 'unanswered', message } : { kind: 'not-sent', message }
}

/**
 * Carries out a change. The caller performs each step and passes back the reply.
 *
 * @example
 * ```ts
 * const flow = changeFlow(request)
 * let step = flow.next()
 * while (step.done !== true) step = flow.next(await perform(step.value))
 * ```
 */
export function * changeFlow (request: changePlan.ChangeRequest): Flow {
  const current = yield * readStoredValue()
  if (current.isErr()) return neverthrow.ok(current.error)
  const plan = changePlan.planChange(current.value, request)
  if (plan.isErr()) return neverthrow.err(plan.error)
  if (plan.value.kind === 'already-in-force') return neverthrow.ok(plan.value)
  return neverthrow.ok(yield * writeUntilCertain(request, plan.value))
}
