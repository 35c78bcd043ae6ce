/**
 * Compares the scheduler with baselines on the recorded traces: `npm run bench:policy`. With
 * `-- --before FOLDER` the built cores of another checkout take part.
 *
 * @module
 */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'
import * as loadDocuments from '../load-documents.js'
import * as baselines from '../replay/baselines.js'
import * as checkOutcomes from '../replay/check-outcomes.js'
import * as cores from '../replay/cores.js'
import * as measure from '../replay/measure.js'
import * as replay from '../replay/replay.js'
import * as reportTable from '../replay/report-table.js'
import type * as scheduler from '../replay/scheduler.js'
import * as generateTrace from '../trace/generate-trace.js'
import * as profiles from '../trace/profiles.js'
import * as readTrace from '../trace/read-trace.js'
import type * as trace from '../trace/trace.js'

const STATED_LOAD = 0.7
const STATED_SEED = 7
const STATED_DURATION_MS = 60_000
const OUTPUT_FOLDER = 'out'
const BEFORE_FLAG = '--before'

interface Comparison {
  readonly name: string
  readonly rows: readonly reportTable.Row[]
  readonly checks: readonly checkOutcomes.Check[]
}

const BASELINES: Readonly<Record<string, scheduler.Factory>> = {
  random: baselines.random,
  'round robin': baselines.roundRobin,
  'least outstanding': baselines.leastOutstanding
}

async function readBefore (): Promise<Readonly<Record<string, scheduler.Factory>>> {
  const folder = process.argv.includes(BEFORE_FLAG) ? process.argv[process.argv.indexOf(BEFORE_FLAG) + 1] : undefined
  if (folder === undefined) return {}
  const file = path.resolve(folder, 'packages/load/dist/src/replay/cores.js')
  const before = await import(url.pathToFileURL(file).href) as typeof cores
  return { before: before.createCores(before.WHOLE) }
}

function readRecorded (deployment: string): trace.Trace {
  const read = readTrace.readTrace(fs.readFileSync(`traces/${deployment}.jsonl`, 'utf8'))
  if (read.isErr()) throw read.error
  return read.value
}

function compare (name: string, of: trace.Trace, before: Readonly<Record<string, scheduler.Factory>>): Comparison {
  const documents = loadDocuments.loadDocuments(`examples/${of.header.deployment}/documents`)
  const result = replay.replay(of, documents, cores.createCores(cores.WHOLE))
  const own = measure.measure(result)
  const measureAll = (creates: Readonly<Record<string, scheduler.Factory>>): readonly reportTable.Row[] =>
    Object.entries(creates).map(([label, create]) => ({ name: label, measures: measure.measure(replay.replay(of, documents, create)) }))
  const others = measureAll(BASELINES)
  const checks = checkOutcomes.checkOutcomes(result, own)
  const against = checkOutcomes.checkBaselines(of.header.outcomes.baselineFactor, own, others.map(({ measures }) => measures))
  return { name, rows: [{ name: 'persimmonhatch', measures: own }, ...measureAll(before), ...others], checks: of.header.load > 1 ? [...checks, against] : checks }
}

function * compareAll (before: Readonly<Record<string, scheduler.Factory>>): Generator<Comparison, void> {
  for (const profile of [profiles.ATLASRENEW, profiles.LANAUSTRO]) {
    const documents = loadDocuments.loadDocuments(`examples/${profile.deployment}/documents`)
    yield compare(`${profile.deployment}, 1.5 times capacity`, readRecorded(profile.deployment), before)
    yield compare(`${profile.deployment}, stated load`, generateTrace.generateTrace({ profile, documents, seed: STATED_SEED, load: STATED_LOAD, durationMs: STATED_DURATION_MS, faults: false }), before)
  }
}

const comparisons: Comparison[] = []
for (const comparison of compareAll(await readBefore())) {
  comparisons.push(comparison)
  console.log(`\n${comparison.name}\n\n${reportTable.formatRows(comparison.rows)}\n\n${reportTable.formatChecks(comparison.checks)}`)
}
fs.mkdirSync(OUTPUT_FOLDER, { recursive: true })
fs.writeFileSync(`${OUTPUT_FOLDER}/policy.json`, JSON.stringify(comparisons, undefined, 2))
