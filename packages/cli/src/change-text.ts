/**
 * Formats changes and revisions as text.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'

const REVISION_LINE = /^\/\/ revision (\d+) of ([a-z0-9-]+)[^\n]*\n/

/** Service and revision that a file was made from. */
export interface Origin {
  readonly service: string
  readonly revision: number
}

/** Text of a document without its revision line, and the content of that line. */
export interface EditedText {
  readonly content: string
  readonly origin: Origin | undefined
}

/**
 * Formats a time in UTC.
 *
 * @example
 * ```ts
 * formatTime(0) // '1970-01-01 00:00:00Z'
 * ```
 */
export function formatTime (atMs: number): string {
  return `${new Date(atMs).toISOString().slice(0, 19).replace('T', ' ')}Z`
}

/**
 * Formats a change as one line.
 *
 * @example
 * ```ts
 * formatChange(change) // '  revision 4 by ana at 2026-01-02 03:04:05Z (change 1f0c): add a target'
 * ```
 */
export function formatChange (change: document.storedDocument.RecentChange): string {
  const comment = change.comment === '' ? '' : `: ${change.comment}`
  const deletion = change.contentHash === '' ? ', deleted the service' : ''
  return `  revision ${change.revision} by ${change.operator} at ${formatTime(change.atMs)} (change ${change.id})${deletion}${comment}`
}

/**
 * Formats changes as lines, or as a placeholder line if there are none.
 *
 * @example
 * ```ts
 * formatChanges([]) // '  (no change is recorded)'
 * ```
 */
export function formatChanges (changes: readonly document.storedDocument.RecentChange[]): string {
  return changes.length === 0 ? '  (no change is recorded)' : changes.map(formatChange).join('\n')
}

/**
 * Prepends a line with the revision to a document, so that `apply` can detect later changes.
 *
 * @example
 * ```ts
 * addRevisionLine('listings', 4, content)
 * ```
 */
export function addRevisionLine (service: string, revision: number, content: string): string {
  return `// revision ${revision} of ${service}; apply refuses this file once another change came first\n${content}`
}

/**
 * Splits the revision line from a text.
 *
 * @example
 * ```ts
 * splitRevisionLine(addRevisionLine('listings', 4, '{}')) // { content: '{}', origin: { service: 'listings', revision: 4 } }
 * ```
 */
export function splitRevisionLine (text: string): EditedText {
  const found = REVISION_LINE.exec(text)
  if (found === null) return { content: text, origin: undefined }
  return { content: text.slice(found[0].length), origin: { service: found[2] ?? '', revision: Number(found[1]) } }
}
