/**
 * Regenerates the recorded traces: `node packages/load/dist/src/bin/generate-traces.js`, in the project's root.
 *
 * @module
 */
import * as fs from 'node:fs'
import * as readDocuments from '../read-documents.js'
import * as generateTrace from '../trace/generate-trace.js'
import * as profiles from '../trace/profiles.js'
import * as readTrace from '../trace/read-trace.js'

const SEED = 20_261_203
const OFFERED_LOAD = 1.5

for (const profile of [profiles.ATLASRENEW, profiles.LANAUSTRO]) {
  const { deployment, durationMs } = profile
  const documents = readDocuments.readDocuments(`examples/${deployment}/documents`)
  const generated = generateTrace.generateTrace({ profile, documents, seed: SEED, offeredLoad: OFFERED_LOAD, durationMs, includesFaults: true })
  fs.writeFileSync(`traces/${deployment}.jsonl`, readTrace.writeTrace(generated))
  console.log(`traces/${deployment}.jsonl: ${generated.arrivals.length} arrivals`)
}
