/**
 * Measures the cost of each role as a function of its size. Prints a table and writes `out/capacity.json`.
 *
 * Usage: npm run bench:capacity [-- words in the roles or quantities to measure]
 *
 * @module
 */
import * as fs from 'node:fs/promises'
import * as os from 'node:os'
import * as authority from '../roles/authority.js'
import * as daemons from '../roles/daemons.js'
import * as documents from '../roles/documents.js'
import * as entry from '../roles/entry.js'
import * as peerConnections from '../roles/peer-connections.js'
import * as member from '../roles/member.js'
import * as platformCalls from '../roles/platform-calls.js'
import * as reports from '../roles/reports.js'
import * as series from '../series.js'
import * as table from '../table.js'

const OUTPUT_FILE = 'out/capacity.json'

const PLANS = [...entry.PLANS, ...authority.PLANS, ...reports.PLANS, ...documents.PLANS, ...platformCalls.PLANS, ...peerConnections.PLANS, ...member.PLANS, ...daemons.PLANS]

function matchesWords (plan: series.Plan, words: readonly string[]): boolean {
  return words.length === 0 || words.some((word) => `${plan.role} ${plan.quantity}`.includes(word))
}

const words = process.argv.slice(2)
const measured: series.Series[] = []
console.log(`load average at the start: ${os.loadavg().map((load) => load.toFixed(1)).join(' ')} on ${os.availableParallelism()} processors, node ${process.version}`)
for (const plan of PLANS.filter((each) => matchesWords(each, words))) {
  const measuredSeries = await series.measure(plan)
  measured.push(measuredSeries)
  for (const line of table.formatSeries(measuredSeries)) console.log(line)
}
console.log(`load average at the end: ${os.loadavg().map((load) => load.toFixed(1)).join(' ')}`)
await fs.mkdir('out', { recursive: true })
await fs.writeFile(OUTPUT_FILE, `${JSON.stringify({ atMs: Date.now(), node: process.version, series: measured }, undefined, 2)}\n`)
console.log(`written to ${OUTPUT_FILE}`)
