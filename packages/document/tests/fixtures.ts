/**
 * Documents for tests.
 *
 * @module
 */
import * as storedDocument from '../src/stored-document.js'

/** A valid document as a plain value, for tests to vary. */
export const LISTINGS = {
  service: 'listings',
  kind: 'model',
  tiers: [{ name: 'urgent', rank: 0 }, { name: 'batch', rank: 2 }],
  defaultTier: 'urgent',
  requests: [{ path: '/v1/completions', tier: 'batch' }],
  organisations: [{ name: 'rabat' }, { name: 'fes', share: 2 }],
  targets: [
    { name: 'engine-a', address: '127.0.0.1:9101', pool: 'engines', availabilityZone: 'zone-a' },
    { name: 'engine-b', address: '127.0.0.1:9102', pool: 'engines', availabilityZone: 'zone-b' }
  ],
  engine: { model: 'small' }
}

/** Returns the valid document as text, with some keys replaced. */
export function listings (overrides: Readonly<Record<string, unknown>> = {}): string {
  return JSON.stringify({ ...LISTINGS, ...overrides })
}

/** Returns a hash that distinguishes the contents in these tests. */
export function hash (content: string): string {
  return `hash-${content.length}`
}

/** Returns a change by an operator. */
export function change (id: string, atMs = 1_000, operator = 'ana'): storedDocument.Change {
  return { id: `change-${id}`, operator, atMs, comment: '' }
}

/** Returns the stored text of a revision. */
export function stored (revision: number, content: string | null, addedChange: storedDocument.Change, current?: storedDocument.StoredDocument): string {
  const document = storedDocument.addChange(current, { service: 'listings', revision, content, change: addedChange, hash })
  return storedDocument.writeStoredDocument(document)._unsafeUnwrap()
}
