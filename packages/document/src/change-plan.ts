/**
 * Plans the single write that changes a stored document to an operator's new text.
 *
 * @module
 */
import * as neverthrow from 'neverthrow'
import * as storedDocument from './stored-document.js'

/** The value of a key in the store. */
export interface StoredValue {
  readonly text: string
  readonly modRevision: number
}

/** A change requested by an operator. */
export interface ChangeRequest {
  readonly service: string
  /** The new text; null deletes the service. */
  readonly content: string | null
  readonly change: storedDocument.Change
  /** The revision that the operator edited; undefined to replace any stored revision. */
  readonly expectedRevision: number | undefined
  /** Highest revision that a daemon has in force. The new one must be higher, also after the store was restored with older content. */
  readonly revisionInForce: number
  /** Whether to overwrite a stored value that can't be read; its history of changes is lost. */
  readonly replaceUnreadable: boolean
  readonly hash: storedDocument.ContentHash
}

/** The write to perform, if any. */
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
 * Returns the changes after a revision, newest first, as far as the history goes back.
 *
 * @example
 * ```ts
 * changesSince(stored, 4).map((change) => change.operator)
 * ```
 */
export function changesSince (stored: storedDocument.StoredDocument | undefined, revision: number): readonly storedDocument.RecentChange[] {
  return (stored?.recent ?? []).filter((change) => change.revision > revision)
}

function readStoredValue (request: ChangeRequest, storedValue: StoredValue | undefined): neverthrow.Result<storedDocument.StoredDocument | undefined, storedDocument.UnreadableDocument> {
  if (storedValue === undefined) return neverthrow.ok(undefined)
  const stored = storedDocument.readStoredDocument(request.service, storedValue.text)
  return stored.isErr() && request.replaceUnreadable ? neverthrow.ok(undefined) : stored
}

function checkRevision (request: ChangeRequest, current: storedDocument.StoredDocument | undefined): neverthrow.Result<void, ChangedSinceRead> {
  const expected = request.expectedRevision
  if (expected === undefined || expected === (current?.revision ?? 0)) return neverthrow.ok(undefined)
  return neverthrow.err(new ChangedSinceRead(request.service, expected, current, changesSince(current, expected)))
}

function findUnchanged (request: ChangeRequest, current: storedDocument.StoredDocument | undefined): storedDocument.StoredDocument | undefined {
  if (current === undefined || current.content !== request.content) return undefined
  return current.revision >= request.revisionInForce ? current : undefined
}

/**
 * Plans a change. A text that is already stored needs no write; an unexpected revision is an error.
 *
 * @example
 * ```ts
 * const plan = planChange(storedValue, { service, content, change, expectedRevision: 4, revisionInForce: 4, replaceUnreadable: false, hash })
 * ```
 */
export function planChange (storedValue: StoredValue | undefined, request: ChangeRequest): neverthrow.Result<Plan, Failure> {
  return neverthrow.safeTry<Plan, Failure>(function * () {
    const current = yield * readStoredValue(request, storedValue)
    const unchanged = findUnchanged(request, current)
    if (unchanged !== undefined) return neverthrow.ok({ kind: 'already-in-force' as const, stored: unchanged })
    yield * checkRevision(request, current)
    const revision = Math.max(current?.revision ?? 0, request.revisionInForce) + 1
    const updated = storedDocument.addChange(current, { ...request, revision })
    const text = yield * storedDocument.writeStoredDocument(updated)
    return neverthrow.ok({ kind: 'write' as const, text, revision, expectedModRevision: storedValue?.modRevision ?? 0, replaced: current })
  })
}
