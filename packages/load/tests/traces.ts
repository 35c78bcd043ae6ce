/**
 * Test fixtures: service documents and short traces.
 *
 * @module
 */
import * as path from 'node:path'
import * as url from 'node:url'
import type * as document from '@persimmonhatch/document'
import * as readDocuments from '../src/read-documents.js'
import * as generateTrace from '../src/trace/generate-trace.js'
import * as profiles from '../src/trace/profiles.js'
import type * as trace from '../src/trace/trace.js'

/** Root folder of the project. */
export const PROJECT_ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../../../..')

/** Profiles of both deployments. */
export const PROFILES = [profiles.ATLASRENEW, profiles.LANAUSTRO]

/** Reads the service documents of a deployment. */
export function readDeploymentDocuments (deployment: string): readonly document.serviceDocument.ServiceDocument[] {
  return readDocuments.readDocuments(path.join(PROJECT_ROOT, 'examples', deployment, 'documents'))
}

/** Generates a trace of 20 s, with faults under overload. */
export function generateShortTrace (profile: profiles.Profile, offeredLoad: number): trace.Trace {
  return generateTrace.generateTrace({ profile, documents: readDeploymentDocuments(profile.deployment), seed: 5, offeredLoad, durationMs: 20_000, includesFaults: offeredLoad > 1 })
}
