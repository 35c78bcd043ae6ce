import * as routing from '@persimmonhatch/routing'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fixtures from './fixtures.js'

const suite = uvu.suite('work factor')

suite('an old report no longer marks a target as slow', () => {
  const workFactor = routing.workFactor.createWorkFactor()
  for (let atMs = 0; atMs < 900; atMs += 100) workFactor.record(1, atMs)
  workFactor.record(2.5, 1_000)
  assert.is(workFactor.current(1_000), 2.5)
  assert.ok(Math.abs(workFactor.current(1_300) - 1.75) < 0.05)
  assert.ok(workFactor.current(4_000) < 1.1)
  assert.is(workFactor.report(4_000), undefined)
})

suite('a target on a slow host does not count as fast once its last report is old', () => {
  const workFactor = routing.workFactor.createWorkFactor()
  for (let atMs = 0; atMs < 1_000; atMs += 100) workFactor.record(3, atMs)
  assert.is(workFactor.current(20_000), 3)
})

suite('a delayed report of a peer does not replace a later one', () => {
  const workFactor = routing.workFactor.createWorkFactor()
  workFactor.record(2.5, 1_000)
  workFactor.record(...routing.workFactor.factorOf([100, 400], 1_200))
  assert.is(workFactor.current(1_000), 2.5)
  assert.equal(workFactor.report(1_100), [250, 100])
})

suite('a service is adaptive only if its document says so; the work factors of its targets are passed on in any case', () => {
  const pool = new routing.pool.Pool({ service: fixtures.PLAIN, random: () => 0.5 })
  const handle = (event: routing.poolEvent.PoolEvent): void => assert.equal([...pool.handle(event, 0)], [])
  handle({ kind: 'targets', targetShares: [{ target: fixtures.targetOf('i-1', 'stock', 8), share: 1 }] })
  handle({ kind: 'load-reported', target: 'i-1', running: 0, waiting: 0, slots: 8, workFactor: 1 })
  assert.is(pool.isAdaptive, false)
  assert.equal(pool.load(0).factors, { 'i-1': [100, 0] })
  pool.adopt({ ...fixtures.PLAIN, scheduling: 'adaptive' })
  assert.is(pool.isAdaptive, true)
})

suite.run()
