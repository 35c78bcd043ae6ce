/**
 * Measures what each role costs against its size: prints a table and writes `out/capacity.json`.
 *
 * Usage: npm run bench:capacity [-- words of the roles or quantities to measure]
 *
 * @module
 */
import * as fs from 'node:fs/promises'
import * as os from 'node:os'
import * as authority from '../roles/authority.js'
import * as daemons from '../roles/daemons.js'
import * as documents from '../roles/documents.js'
import * as entry from '../roles/entry.js'
import * as links from '../roles/links.js'
import * as member from '../roles/member.js'
import * as platformCalls from '../roles/platform-calls.js'
import * as reports from '../roles/reports.js'
import * as series from '../series.js'
import * as table from '../table.js'

const OUTPUT = 'out/capacity.json'

const PLANS = [...entry.PLANS, ...authority.PLANS, ...reports.PLANS, ...documents.PLANS, ...platformCalls.PLANS, ...links.PLANS, ...member.PLANS, ...daemons.PLANS]

function isWanted (plan: series.Plan, words: readonly string[]): boolean {
  return words.length === 0 || words.some((word) => `${plan.role} ${plan.quantity}`.includes(word))
}

const words = process.argv.slice(2)
const measured: series.Series[] = []
console.log(`load average at the start: ${os.loadavg().map((load) => load.toFixed(1)).join(' ')} on ${os.availableParallelism()} processors, node ${process.version}`)
for (const plan of PLANS.filter((each) => isWanted(each, words))) {
  const one = await series.measure(plan)
  measured.push(one)
  for (const line of table.describeSeries(one)) console.log(line)
}
console.log(`load average at the end: ${os.loadavg().map((load) => load.toFixed(1)).join(' ')}`)
await fs.mkdir('out', { recursive: true })
await fs.writeFile(OUTPUT, `${JSON.stringify({ atMs: Date.now(), node: process.version, series: measured }, undefined, 2)}\n`)
console.log(`written to ${OUTPUT}`)
