/**
 * Documents and short traces for tests.
 *
 * @module
 */
import * as path from 'node:path'
import * as url from 'node:url'
import type * as document from '@persimmonhatch/document'
import * as loadDocuments from '../src/load-documents.js'
import * as generateTrace from '../src/trace/generate-trace.js'
import * as profiles from '../src/trace/profiles.js'
import type * as trace from '../src/trace/trace.js'

/** The project's root. */
export const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../../../..')

/** The deployments' profiles. */
export const PROFILES = [profiles.ATLASRENEW, profiles.LANAUSTRO]

/** Documents of a deployment. */
export function documentsOf (deployment: string): readonly document.serviceDocument.ServiceDocument[] {
  return loadDocuments.loadDocuments(path.join(ROOT, 'examples', deployment, 'documents'))
}

/** A trace of 20 s. */
export function shortTrace (profile: profiles.Profile, load: number): trace.Trace {
  return generateTrace.generateTrace({ profile, documents: documentsOf(profile.deployment), seed: 5, load, durationMs: 20_000, faults: load > 1 })
}
