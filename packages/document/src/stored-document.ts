/**
 * Format of a service's document in the platform's key-value service: the operator's text, the change
 * that stored it and the recent changes before it. A deletion is stored as a document without content,
 * so that revisions never restart.
 *
 * @module
 */
import * as neverthrow from 'neverthrow'
import * as z from 'zod'
import * as checkSchema from './check-schema.js'
import * as parseJsonc from './parse-jsonc.js'
import * as problem from './problem.js'

/** Prefix of the keys that hold stored documents. */
export const KEY_PREFIX = '/persimmonhatch/services/'

/** Maximum size of a stored document, bytes of UTF-8. */
export const MAX_STORED_BYTES = 1_000_000

/** Maximum number of changes in a stored document, the latest included. */
export const MAX_RECENT_CHANGES = 100

/** Maximum length of a comment on a change, characters. */
export const MAX_COMMENT_CHARACTERS = 200

const change = z.strictObject({
  id: z.string().regex(/^[A-Za-z0-9-]{8,64}$/, 'use 8 to 64 letters, digits and hyphens'),
  operator: z.string().min(1).max(100),
  /** When the change was written: milliseconds since 1970 by the operator's clock. */
  atMs: z.number().int().min(0),
  comment: z.string().max(MAX_COMMENT_CHARACTERS).default('')
}).readonly()

const recentChange = z.strictObject({
  ...change.unwrap().shape,
  revision: z.number().int().min(1),
  /** Hash of the content; empty for a deletion. */
  contentHash: z.string()
}).readonly()

/** Schema of a stored document. */
export const schema = z.strictObject({
  format: z.literal(1),
  service: z.string().min(1),
  /** Rises with every change of the service, deletions included. */
  revision: z.number().int().min(1),
  /** The operator's text; null for a deleted service. */
  content: z.string().nullable(),
  change,
  /** Newest first, the current change included. */
  recent: z.array(recentChange).min(1).max(MAX_RECENT_CHANGES).readonly()
}).readonly()

/** A document as stored. */
export type StoredDocument = z.infer<typeof schema>

/** Who changed a document, when, and why. */
export type Change = StoredDocument['change']

/** A change in the history of a stored document. */
export type RecentChange = StoredDocument['recent'][number]

/** Hash function for contents, such as SHA-256 in hexadecimal digits. */
export type ContentHash = (content: string) => string

/** A value in the store that is not a stored document. */
export class UnreadableDocument extends Error {
  readonly kind = 'unreadable-document'

  constructor (readonly service: string, readonly problems: readonly problem.Problem[]) {
    super(`The stored document of ${service} can't be read: ${problems.map(problem.formatProblem).join('; ')}. Use the newest persimmonhatch, or write over it with: persimmonhatch apply FILE --replace-unreadable`)
    this.name = 'UnreadableDocument'
  }
}

/** A document over `MAX_STORED_BYTES`. */
export class DocumentTooLarge extends Error {
  readonly kind = 'document-too-large'

  constructor (readonly service: string, readonly bytes: number) {
    super(`The stored document of ${service} would take ${bytes} bytes of at most ${MAX_STORED_BYTES}. Remove comments or unused request rules, or split the service.`)
    this.name = 'DocumentTooLarge'
  }
}

/**
 * Returns the key of a service's document.
 *
 * @example
 * ```ts
 * documentKey('listings') // '/persimmonhatch/services/listings'
 * ```
 */
export function documentKey (service: string): string {
  return `${KEY_PREFIX}${service}`
}

function checkServiceName (service: string, stored: StoredDocument): neverthrow.Result<StoredDocument, readonly problem.Problem[]> {
  if (stored.service === service) return neverthrow.ok(stored)
  return neverthrow.err([{ path: 'service', value: problem.formatValue(stored.service), remedy: `the key is for ${service}: apply the document again` }])
}

/**
 * Parses a stored document, without checking the operator's text in it.
 *
 * @example
 * ```ts
 * readStoredDocument('listings', entry.value).map((stored) => stored.revision)
 * ```
 */
export function readStoredDocument (service: string, text: string): neverthrow.Result<StoredDocument, UnreadableDocument> {
  return neverthrow.safeTry<StoredDocument, readonly problem.Problem[]>(function * () {
    const value = yield * parseJsonc.parseJsonc(text)
    const stored = yield * checkSchema.checkSchema(schema, value)
    return checkServiceName(service, stored)
  }).mapErr((problems) => new UnreadableDocument(service, problems))
}

/**
 * Returns the text to store for a document.
 *
 * @example
 * ```ts
 * writeStoredDocument(stored).isErr() // true when it is over MAX_STORED_BYTES
 * ```
 */
export function writeStoredDocument (stored: StoredDocument): neverthrow.Result<string, DocumentTooLarge> {
  const text = JSON.stringify(stored)
  const bytes = new TextEncoder().encode(text).length
  return bytes <= MAX_STORED_BYTES ? neverthrow.ok(text) : neverthrow.err(new DocumentTooLarge(stored.service, bytes))
}

/** A change to be added to a document's history. */
export interface Addition {
  readonly service: string
  readonly revision: number
  /** The operator's text; null deletes the service. */
  readonly content: string | null
  readonly change: Change
  readonly hash: ContentHash
}

/**
 * Returns the document after a change.
 *
 * @example
 * ```ts
 * addChange(stored, { service: 'listings', revision: stored.revision + 1, content, change, hash })
 * ```
 */
export function addChange (current: StoredDocument | undefined, addition: Addition): StoredDocument {
  const { service, revision, content, change: addedChange, hash } = addition
  const newestChange = { ...addedChange, revision, contentHash: content === null ? '' : hash(content) }
  const recent = [newestChange, ...(current?.recent ?? [])].slice(0, MAX_RECENT_CHANGES)
  return { format: 1, service, revision, content, change: addedChange, recent }
}
