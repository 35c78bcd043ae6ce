/**
 * Compares weighings, and the policy without some of its inputs, on the recorded traces:
 * `node packages/load/dist/src/bin/bench-trade-offs.js`, in the project's root.
 *
 * @module
 */
import * as fs from 'node:fs'
import type * as document from '@persimmonhatch/document'
import * as readDocuments from '../read-documents.js'
import * as cores from '../replay/cores.js'
import * as measure from '../replay/measure.js'
import * as replay from '../replay/replay.js'
import * as reportTable from '../replay/report-table.js'
import * as readTrace from '../trace/read-trace.js'

type Weighing = document.serviceDocument.ServiceDocument['weighing']

interface Variant {
  readonly name: string
  readonly weighing: Weighing | undefined
  readonly options: cores.Options
}

const HEADROOMS_PERCENT = [0, 10, 15, 30]
const EMPTY_VM_LIST = { atMs: 30_000, forMs: 10_000 }

function listVariants (): readonly Variant[] {
  const weighings = (['wasted-prefill', 'goodput-by-tier'] as const).flatMap((prefer) =>
    HEADROOMS_PERCENT.map((headroomPercent) => ({ name: `${prefer}, headroom ${headroomPercent}%`, weighing: { prefer, headroomPercent }, options: cores.WHOLE })))
  return [
    { name: 'as in the documents', weighing: undefined, options: cores.WHOLE },
    ...weighings,
    { name: 'without prefixes', weighing: undefined, options: { ...cores.WHOLE, prefixes: false } },
    { name: 'without reports', weighing: undefined, options: { ...cores.WHOLE, reports: false } },
    { name: 'an empty list believed for 10 s', weighing: undefined, options: { ...cores.WHOLE, emptyVmList: EMPTY_VM_LIST } }
  ]
}

for (const deployment of ['atlasrenew', 'lanaustro']) {
  const parsed = readTrace.readTrace(fs.readFileSync(`traces/${deployment}.jsonl`, 'utf8'))
  if (parsed.isErr()) throw parsed.error
  const documents = readDocuments.readDocuments(`examples/${deployment}/documents`)
  const rows = listVariants().map(({ name, weighing, options }) => {
    const changed = weighing === undefined ? documents : documents.map((serviceDocument) => ({ ...serviceDocument, weighing }))
    return { name, measures: measure.measure(replay.replay(parsed.value, changed, cores.createCores(options))) }
  })
  console.log(`\n${deployment}\n\n${reportTable.formatRows(rows)}`)
}
