import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as targetChanges from '../src/target-changes.js'

const suite = uvu.suite('target changes')

interface Line { readonly event: string, readonly targets: number, readonly source: unknown }

function learn (targets: number, sourceOf: (index: number) => string): { readonly lines: readonly Line[], readonly applied: number } {
  const lines: Line[] = []
  let deferred: readonly (() => void)[] = []
  let applied = 0
  const changes = targetChanges.createTargetChanges({
    log: { change: (event, details = {}) => { lines.push({ event, targets: Array.isArray(details['targets']) ? details['targets'].length : 1, source: details['source'] }) } },
    apply: () => { applied += 1 },
    defer: (run) => { deferred = [...deferred, run] }
  })
  for (let index = 0; index < targets; index += 1) changes.add({ id: `i-${index}`, era: 1, revision: index, target: undefined }, sourceOf(index))
  for (const run of deferred) run()
  return { lines, applied }
}

suite('the targets of a starting fleet are applied once, with one line for each source', () => {
  const { lines, applied } = learn(70, (index) => index < 63 ? 'store' : 'peer')
  assert.is(applied, 1)
  assert.equal(lines, [{ event: 'targets learnt', targets: 63, source: 'store' }, { event: 'targets learnt', targets: 7, source: 'peer' }])
})

suite('a few changes keep a line each, with their position', () => {
  const { lines, applied } = learn(2, () => 'store')
  assert.is(applied, 1)
  assert.equal(lines.map(({ event }) => event), ['target learnt', 'target learnt'])
})

suite.run()
