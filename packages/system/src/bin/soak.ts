/**
 * `npm run soak -- --minutes N --seed S`: prints the violations found in a history under random faults.
 *
 * @module
 */
import * as util from 'node:util'
import type * as history from '@persimmonhatch/history'
import * as soak from '../soak.js'

const MS_PER_MINUTE = 60_000
const MAX_VIOLATIONS_SHOWN = 20

const { values } = util.parseArgs({
  options: {
    minutes: { type: 'string', default: '1' },
    seed: { type: 'string', default: '1' },
    example: { type: 'string', default: 'atlasrenew' },
    daemons: { type: 'string', default: '5' },
    rate: { type: 'string', default: '20' }
  }
})

const outcome = await soak.soak({
  example: values.example === 'lanaustro' ? 'lanaustro' : 'atlasrenew',
  daemons: Number(values.daemons),
  durationMs: Number(values.minutes) * MS_PER_MINUTE,
  requestsPerS: Number(values.rate),
  seed: Number(values.seed),
  report: (line) => console.log(line)
})

/** Returns the facts of the requests that a violation mentions, without received response text. */
function factsAbout (violation: history.history.Violation): readonly history.history.Fact[] {
  const words = new Set(violation.message.split(' '))
  const { facts } = outcome.historyCheck
  const calls = new Set(facts.flatMap((fact) => fact.kind === 'sent' && words.has(fact.request) ? [fact.call] : []))
  const runs = new Set(facts.flatMap((fact) => fact.kind === 'run-started' && words.has(fact.request) ? [fact.run] : []))
  return facts.filter((fact) => fact.kind !== 'received' && (('call' in fact && calls.has(fact.call)) || ('run' in fact && runs.has(fact.run))))
}

console.log('faults:', outcome.faults)
console.log('calls:', outcome.calls, outcome.outcomes)
console.log('runs at targets:', outcome.historyCheck.runs)
for (const violation of outcome.historyCheck.violations.slice(0, MAX_VIOLATIONS_SHOWN)) {
  console.log('VIOLATION', violation.guarantee, Math.round(violation.atMs), violation.message)
  for (const fact of factsAbout(violation)) console.log('  ', JSON.stringify(fact))
}
console.log(outcome.historyCheck.violations.length === 0 ? 'no guarantee was violated' : `${outcome.historyCheck.violations.length} violations`)
process.exit(outcome.historyCheck.violations.length === 0 ? 0 : 1)
