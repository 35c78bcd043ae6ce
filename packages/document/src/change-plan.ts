/**
 * From the document in the store and an operator's new text to the one write that changes it.
 *
 * @module
 */
import * as neverthrow from 'neverthrow'
import * as storedDocument from './stored-document.js'

/** The key's value in the store. */
export interface StoredValue {
  readonly text: string
  readonly modRevision: number
}

/** A change that an operator wants. */
export interface Request {
  readonly service: string
  /** The new text; null deletes the service. */
  readonly content: string | null
  readonly change: storedDocument.Change
  /** The revision that the operator edited; undefined to replace whichever is stored. */
  readonly expectedRevision: number | undefined
  /** Highest revision that a daemon has in force; the new one goes above it, also after the store came back older. */
  readonly revisionInForce: number
  /** Whether to write over a stored value that can't be read; its chain of changes is lost. */
  readonly replaceUnreadable: boolean
  readonly hash: storedDocument.ContentHash
}

/** What has to be written, if anything. */
export type Plan =
  | { readonly kind: 'already-in-force', readonly stored: storedDocument.StoredDocument }
  | { readonly kind: 'write', readonly text: string, readonly revision: number, readonly expectedModRevision: number, readonly replaced: storedDocument.StoredDocument | undefined }

/** The stored revision is not the one that the operator edited. */
export class ChangedSinceRead extends Error {
  readonly kind = 'changed-since-read'

  constructor (readonly service: string, readonly expectedRevision: number, readonly current: storedDocument.StoredDocument | undefined, readonly since: readonly storedDocument.RecentChange[]) {
    super(`${service} is at revision ${current?.revision ?? 0}, not at ${expectedRevision}. Nothing was written. Read it again with: persimmonhatch show ${service}`)
    this.name = 'ChangedSinceRead'
  }
}

/** Why there is no plan. */
export type Failure = ChangedSinceRead | storedDocument.UnreadableDocument | storedDocument.DocumentTooLarge

/**
 * The changes after a revision, newest first, as far as the chain goes back.
 *
 * @example
 * ```ts
 * changesSince(stored, 4).map((change) => change.operator)
 * ```
 */
export function changesSince (stored: storedDocument.StoredDocument | undefined, revision: number): readonly storedDocument.RecentChange[] {
  return (stored?.recent ?? []).filter((change) => change.revision > revision)
}

function readHeld (request: Request, held: StoredValue | undefined): neverthrow.Result<storedDocument.StoredDocument | undefined, storedDocument.UnreadableDocument> {
  if (held === undefined) return neverthrow.ok(undefined)
  const stored = storedDocument.readStoredDocument(request.service, held.text)
  return stored.isErr() && request.replaceUnreadable ? neverthrow.ok(undefined) : stored
}

function checkRevision (request: Request, current: storedDocument.StoredDocument | undefined): neverthrow.Result<void, ChangedSinceRead> {
  const expected = request.expectedRevision
  if (expected === undefined || expected === (current?.revision ?? 0)) return neverthrow.ok(undefined)
  return neverthrow.err(new ChangedSinceRead(request.service, expected, current, changesSince(current, expected)))
}

function findInForce (request: Request, current: storedDocument.StoredDocument | undefined): storedDocument.StoredDocument | undefined {
  if (current === undefined || current.content !== request.content) return undefined
  return current.revision >= request.revisionInForce ? current : undefined
}

/**
 * Plans a change. A text that is already stored needs no write; a revision other than the expected
 * one is an error.
 *
 * @example
 * ```ts
 * const plan = planChange(held, { service, content, change, expectedRevision: 4, revisionInForce: 4, replaceUnreadable: false, hash })
 * ```
 */
export function planChange (held: StoredValue | undefined, request: Request): neverthrow.Result<Plan, Failure> {
  return neverthrow.safeTry<Plan, Failure>(function * () {
    const current = yield * readHeld(request, held)
    const inForce = findInForce(request, current)
    if (inForce !== undefined) return neverthrow.ok({ kind: 'already-in-force' as const, stored: inForce })
    yield * checkRevision(request, current)
    const revision = Math.max(current?.revision ?? 0, request.revisionInForce) + 1
    const changed = storedDocument.addChange(current, { ...request, revision })
    const text = yield * storedDocument.writeStoredDocument(changed)
    return neverthrow.ok({ kind: 'write' as const, text, revision, expectedModRevision: held?.modRevision ?? 0, replaced: current })
  })
}
