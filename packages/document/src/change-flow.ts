/**
 * The steps of one change, and the truth about it when an answer of the store is lost.
 *
 * A write whose answer was lost may still be on its way. Only a key that has moved on from the
 * expected `modRevision` rules it out, so while the key has not moved the same write is sent again:
 * both carry one change identity and expect one `modRevision`, so at most one of them takes effect.
 *
 * @module
 */
import * as neverthrow from 'neverthrow'
import * as changePlan from './change-plan.js'
import * as storedDocument from './stored-document.js'

/** Calls to the store after which the flow gives up. */
export const MAX_ATTEMPTS = 5

/** What the flow asks for next. */
export type Step =
  | { readonly kind: 'read' }
  | { readonly kind: 'write', readonly text: string, readonly expectedModRevision: number }
  /** Wait before the given attempt, for longer the higher it is. */
  | { readonly kind: 'pause', readonly attempt: number }

/** The answer to a step. `unanswered`: a write may have taken effect; `not-done`: it certainly did not. */
export type Reply =
  | { readonly kind: 'held', readonly held: changePlan.StoredValue | undefined }
  | { readonly kind: 'swap', readonly succeeded: boolean, readonly held: changePlan.StoredValue | undefined }
  | { readonly kind: 'failed', readonly failure: 'not-done' | 'unanswered', readonly message: string }
  | { readonly kind: 'paused' }

/** What became of a change. Each is certain, but for `unknown`. */
export type Verdict =
  | { readonly kind: 'already-in-force', readonly stored: storedDocument.StoredDocument }
  /** Stored, and the newest revision when last read. `answerLost`: known from reading back. */
  | { readonly kind: 'took-effect', readonly revision: number, readonly replaced: storedDocument.StoredDocument | undefined, readonly answerLost: boolean }
  /** Stored, and replaced since by others. */
  | { readonly kind: 'superseded', readonly revision: number, readonly since: readonly storedDocument.RecentChange[] }
  /** Not stored, because another change came first. */
  | { readonly kind: 'raced', readonly since: readonly storedDocument.RecentChange[] }
  /** Not stored, because the store could not be reached. */
  | { readonly kind: 'not-sent', readonly message: string }
  | { readonly kind: 'unknown', readonly cause: 'chain-overflow' | 'unanswered' | 'unreadable', readonly message: string }

/** Control flow of one change: yields steps, takes replies. */
export type Flow = Generator<Step, neverthrow.Result<Verdict, changePlan.Failure>, Reply>

// A store that refuses a swap although the key has the expected revision contradicts itself.
const UNDECIDED: Verdict = { kind: 'unknown', cause: 'unreadable', message: 'the platform refused the write and gave no other value' }

type Write = Extract<changePlan.Plan, { readonly kind: 'write' }>

function findVerdict (request: changePlan.Request, write: Write, stored: storedDocument.StoredDocument): Verdict {
  const found = stored.recent.find((change) => change.id === request.change.id)
  if (found === undefined) return missingVerdict(write, stored)
  if (found.revision === stored.revision) return { kind: 'took-effect', revision: found.revision, replaced: write.replaced, answerLost: true }
  return { kind: 'superseded', revision: found.revision, since: changePlan.changesSince(stored, found.revision) }
}

// The change is certainly not stored only when the chain reaches back to the revision it would have had.
function missingVerdict (write: Write, stored: storedDocument.StoredDocument): Verdict {
  const oldest = stored.recent.at(-1)?.revision ?? 0
  if (oldest > write.revision) {
    return { kind: 'unknown', cause: 'chain-overflow', message: `the chain of changes goes back to revision ${oldest} only` }
  }
  return { kind: 'raced', since: changePlan.changesSince(stored, write.replaced?.revision ?? 0) }
}

/**
 * Whether a written change took effect, from what the store holds now. Undefined while the key has
 * not moved, when the write may still be on its way.
 *
 * @example
 * ```ts
 * judgeChange(request, plan, held)?.kind // 'superseded'
 * ```
 */
export function judgeChange (request: changePlan.Request, write: Write, held: changePlan.StoredValue | undefined): Verdict | undefined {
  if ((held?.modRevision ?? 0) === write.expectedModRevision) return undefined
  if (held === undefined) return { kind: 'unknown', cause: 'unreadable', message: 'the key was removed from the platform' }
  const stored = storedDocument.readStoredDocument(request.service, held.text)
  if (stored.isErr()) return { kind: 'unknown', cause: 'unreadable', message: stored.error.message }
  return findVerdict(request, write, stored.value)
}

function * readHeld (): Generator<Step, neverthrow.Result<changePlan.StoredValue | undefined, Verdict>, Reply> {
  let message = ''
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
    if (attempt > 1) yield { kind: 'pause', attempt }
    const reply = yield { kind: 'read' }
    if (reply.kind === 'held') return neverthrow.ok(reply.held)
    if (reply.kind === 'failed') message = reply.message
  }
  return neverthrow.err({ kind: 'not-sent', message })
}

function sinceOf (request: changePlan.Request, write: Write, held: changePlan.StoredValue | undefined): readonly storedDocument.RecentChange[] {
  const stored = held === undefined ? undefined : storedDocument.readStoredDocument(request.service, held.text).unwrapOr(undefined)
  return changePlan.changesSince(stored, write.replaced?.revision ?? 0)
}

function * writeUntilKnown (request: changePlan.Request, write: Write): Generator<Step, Verdict, Reply> {
  let sent = false
  let message = ''
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
    if (attempt > 1) yield { kind: 'pause', attempt }
    const reply = yield { kind: 'write', text: write.text, expectedModRevision: write.expectedModRevision }
    if (reply.kind === 'swap' && reply.succeeded) return { kind: 'took-effect', revision: write.revision, replaced: write.replaced, answerLost: false }
    if (reply.kind === 'swap') return sent ? judgeChange(request, write, reply.held) ?? UNDECIDED : { kind: 'raced', since: sinceOf(request, write, reply.held) }
    if (reply.kind !== 'failed') continue
    message = reply.message
    sent ||= reply.failure === 'unanswered'
    const read = sent ? yield { kind: 'read' } as const : undefined
    const verdict = read?.kind === 'held' ? judgeChange(request, write, read.held) : undefined
    if (verdict !== undefined) return verdict
  }
  return sent ? { kind: 'unknown', cause: 'unanswered', message } : { kind: 'not-sent', message }
}

/**
 * Carries out a change. The caller performs each step and passes the reply back.
 *
 * @example
 * ```ts
 * const flow = changeFlow(request)
 * let step = flow.next()
 * while (step.done !== true) step = flow.next(await perform(step.value))
 * ```
 */
export function * changeFlow (request: changePlan.Request): Flow {
  const held = yield * readHeld()
  if (held.isErr()) return neverthrow.ok(held.error)
  const plan = changePlan.planChange(held.value, request)
  if (plan.isErr()) return neverthrow.err(plan.error)
  if (plan.value.kind === 'already-in-force') return neverthrow.ok(plan.value)
  return neverthrow.ok(yield * writeUntilKnown(request, plan.value))
}
