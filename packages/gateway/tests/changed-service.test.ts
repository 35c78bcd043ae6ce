/**
 * A version of the document changes the settings of a service while requests of it wait or run.
 */
import * as routing from '@persimmonhatch/routing'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as servicePools from '../src/service-pools.js'
import * as placements from './placements.js'

const SERVICE: routing.document.Service = { name: 'stock', connections: 110, engine: undefined }
const TARGET: routing.targetRegistry.Target = { id: 'i-1', service: 'stock', address: '10.0.0.1:80', availabilityZone: 'casa-a', version: 'v1', slots: 1, leaving: false }
const PLACE = { segment: routing.cell.WHOLE_RING, position: { index: 0, members: 1 }, cellPosition: { index: 0, members: 1 } }

interface Placed {
  readonly placement: servicePools.Placement
  readonly decisions: readonly string[]
}

const suite = uvu.suite('changed service')

suite('requests that wait or run while a version changes their service are placed and counted as before', () => {
  const nowMs = 1_000
  const registry = routing.targetRegistry.createTargetRegistry()
  registry.apply({ id: 'i-1', era: 1, revision: 1, target: TARGET }, nowMs)
  const pools = servicePools.createServicePools({ now: () => nowMs, random: () => 0.5, registry, limitOf: () => undefined, changed: () => {} })
  const place = (): Placed => {
    const decisions: string[] = []
    let placement: servicePools.Placement | undefined
    pools.requestPlacement('stock', placements.placementOptions(nowMs), { onQueued: (queued) => { placement = queued }, onDecision: ({ kind }) => { decisions.push(kind) }, onStalled: () => {} })
    if (placement === undefined) throw new Error('The request was not queued.')
    return { placement, decisions }
  }
  pools.adopt([SERVICE])
  pools.refreshTargets(PLACE, nowMs)
  const running = place()
  const waiting = place()
  assert.equal([running.decisions, waiting.decisions], [['dispatch'], []])
  pools.adopt([{ ...SERVICE, connections: 120 }])
  pools.refreshTargets(PLACE, nowMs)
  assert.equal([pools.waiting(), waiting.decisions], [1, []], 'the slot is still taken')
  pools.handlePlacementEvent(running.placement, { kind: 'ended', outcome: 'answered' })
  assert.equal(waiting.decisions, ['dispatch'])
})

suite.run()
