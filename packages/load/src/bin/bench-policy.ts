/**
 * Compares the scheduler with baselines on the recorded traces: `npm run bench:policy`. With `-- --before FOLDER`,
 * it also runs the built cores of another checkout.
 *
 * @module
 */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'
import * as readDocuments from '../read-documents.js'
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

async function importEarlierCores (): Promise<Readonly<Record<string, scheduler.Factory>>> {
  const folder = process.argv.includes(BEFORE_FLAG) ? process.argv[process.argv.indexOf(BEFORE_FLAG) + 1] : undefined
  if (folder === undefined) return {}
  const file = path.resolve(folder, 'packages/load/dist/src/replay/cores.js')
  const earlierModule = await import(url.pathToFileURL(file).href) as typeof cores
  return { before: earlierModule.createCores(earlierModule.WHOLE) }
}

function readRecordedTrace (deployment: string): trace.Trace {
  const parsed = readTrace.readTrace(fs.readFileSync(`traces/${deployment}.jsonl`, 'utf8'))
  if (parsed.isErr()) throw parsed.error
  return parsed.value
}

function compare (name: string, sourceTrace: trace.Trace, earlierSchedulers: Readonly<Record<string, scheduler.Factory>>): Comparison {
  const documents = readDocuments.readDocuments(`examples/${sourceTrace.header.deployment}/documents`)
  const result = replay.replay(sourceTrace, documents, cores.createCores(cores.WHOLE))
  const ownMeasures = measure.measure(result)
  const measureAll = (factories: Readonly<Record<string, scheduler.Factory>>): readonly reportTable.Row[] =>
    Object.entries(factories).map(([label, create]) => ({ name: label, measures: measure.measure(replay.replay(sourceTrace, documents, create)) }))
  const baselineRows = measureAll(BASELINES)
  const checks = checkOutcomes.checkOutcomes(result, ownMeasures)
  const baselineCheck = checkOutcomes.checkBaselines(sourceTrace.header.outcomes.baselineFactor, ownMeasures, baselineRows.map(({ measures }) => measures))
  return { name, rows: [{ name: 'persimmonhatch', measures: ownMeasures }, ...measureAll(earlierSchedulers), ...baselineRows], checks: sourceTrace.header.load > 1 ? [...checks, baselineCheck] : checks }
}

function * compareAll (earlierSchedulers: Readonly<Record<string, scheduler.Factory>>): Generator<Comparison, void> {
  for (const profile of [profiles.ATLASRENEW, profiles.LANAUSTRO]) {
    const documents = readDocuments.readDocuments(`examples/${profile.deployment}/documents`)
    yield compare(`${profile.deployment}, 1.5 times capacity`, readRecordedTrace(profile.deployment), earlierSchedulers)
    yield compare(`${profile.deployment}, stated load`, generateTrace.generateTrace({ profile, documents, seed: STATED_SEED, offeredLoad: STATED_LOAD, durationMs: STATED_DURATION_MS, includesFaults: false }), earlierSchedulers)
  }
}

const comparisons: Comparison[] = []
for (const comparison of compareAll(await importEarlierCores())) {
  comparisons.push(comparison)
  console.log(`\n${comparison.name}\n\n${reportTable.formatRows(comparison.rows)}\n\n${reportTable.formatChecks(comparison.checks)}`)
}
fs.mkdirSync(OUTPUT_FOLDER, { recursive: true })
fs.writeFileSync(`${OUTPUT_FOLDER}/policy.json`, JSON.stringify(comparisons, undefined, 2))
