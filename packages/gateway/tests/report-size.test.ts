/**
 * Sizes of the reports within large fleets while requests fail and targets leave.
 */
import type * as routing from '@persimmonhatch/routing'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fleetModule from './fleet.js'

const suite = uvu.suite('report size')

function crashOf (nowMs: number, content: string, segments: readonly string[], target = 'i-0123456789'): routing.crash.Crash {
  return { content: content.padEnd(10, '-'), segments: segments.map((segment) => segment.padEnd(12, '0')), target, sentMs: nowMs - 150, atMs: nowMs }
}

for (const size of [9, 87, 320]) {
  suite(`requests that break off at each of ${size} daemons every second add little to the reports`, () => {
    const fleet = fleetModule.createFleet(size, size)
    fleet.simulate(5_000, fleetModule.CONNECTED)
    fleet.simulate(8_000, fleetModule.CONNECTED)
    const quietBytes = fleet.mean().bytes
    fleet.simulate(8_000, fleetModule.CONNECTED, () => {
      for (const [index, { suspects }] of fleet.members.entries()) suspects.recordCrash(crashOf(fleet.now(), `c${index}-${fleet.now()}`, [`a1979a${index}`, `48720f${fleet.now()}`]), 'own', fleet.now())
    })
    const addedBytes = fleet.mean().bytes - quietBytes
    // The limit of all control traffic is 20 KB/s per daemon (letter 1).
    assert.ok(addedBytes <= 20_000, `${addedBytes} bytes`)
  })
}

for (const size of [9, 87]) {
  suite(`thirty leaving targets add little to the reports of each of ${size} daemons`, () => {
    const fleet = fleetModule.createFleet(size, size)
    fleet.simulate(5_000, fleetModule.CONNECTED)
    fleet.simulate(5_000, fleetModule.CONNECTED)
    const quietBytes = fleet.mean().bytes
    for (const { registry } of fleet.members) {
      for (let revision = 1; revision <= 30; revision += 1) {
        const id = `i-${String(revision).padStart(10, '0')}`
        registry.apply({ id, era: 1, revision, report: { startedMs: 1_764_841_234_567, sequence: 100 + revision }, target: { id, service: 'stock', address: '10.9.0.1:80', availabilityZone: 'casa-a', version: 'v1', slots: 6, leaving: true } }, fleet.now())
      }
    }
    fleet.simulate(5_000, fleetModule.CONNECTED)
    const addedBytes = fleet.mean().bytes - quietBytes
    // The limit of all control traffic is 20 KB/s per daemon (letter 1).
    assert.ok(addedBytes <= 20_000, `${addedBytes} bytes`)
  })
}

for (const size of [9, 87, 320]) {
  suite(`limits of 63 targets that change each second add little to the reports of each of ${size} daemons`, () => {
    const fleet = fleetModule.createFleet(size, size)
    fleet.simulate(5_000, fleetModule.CONNECTED)
    fleet.simulate(5_000, fleetModule.CONNECTED)
    const quietBytes = fleet.mean().bytes
    fleet.simulate(5_000, fleetModule.CONNECTED, () => {
      for (let index = 0; index < 63; index += 1) {
        const target = `i-${String(index).padStart(10, '0')}`
        const limits = fleet.members[index * 7 % size]?.targetLimits
        limits?.observe({ target, requestsPerS: 1 + fleet.now() / 10_000, known: limits.statementOf(target) }, fleet.now())
      }
    })
    const addedBytes = fleet.mean().bytes - quietBytes
    // The limit of all control traffic is 20 KB/s per daemon (letter 1).
    assert.ok(addedBytes <= 20_000, `${addedBytes} bytes`)
  })
}

for (const size of [9, 87]) {
  suite(`seventeen streams a second at each of ${size} daemons add little to the reports`, () => {
    const fleet = fleetModule.createFleet(size, size)
    fleet.simulate(5_000, fleetModule.CONNECTED)
    fleet.simulate(5_000, fleetModule.CONNECTED)
    const quietBytes = fleet.mean().bytes
    fleet.simulate(5_000, fleetModule.CONNECTED, () => {
      for (const [index, { streams }] of fleet.members.entries()) {
        for (let stream = 0; stream < 17; stream += 1) streams.record({ requestId: `${fleet.now()}-${index}-${stream}`.padEnd(16, '0'), service: 'support', version: 'v1' }, fleet.now())
      }
    })
    const addedBytes = fleet.mean().bytes - quietBytes
    // The limit of all control traffic is 20 KB/s per daemon (letter 1).
    assert.ok(addedBytes <= 20_000, `${addedBytes} bytes`)
  })
}

suite('a target that leaves is in the next report to the cell and in every listing', () => {
  const { registry, writer } = fleetModule.createMember('10.0.0.1:7600', () => 0)
  const reported = (withListing: boolean, nowMs: number): number => writer.writeForCell(withListing, nowMs).leavingTargets.length
  registry.apply({ id: 'i-1', era: 1, revision: 7, target: { id: 'i-1', service: 'stock', address: '10.9.0.1:80', availabilityZone: 'casa-a', version: 'v1', slots: 6, leaving: true } }, 0)
  assert.equal([reported(false, 0), reported(false, 70), reported(true, 140), reported(false, 210), reported(true, 280)], [1, 0, 1, 0, 1])
  assert.is(writer.writeForFleet(280).leavingTargets.length, 1)
})

const POISONS: readonly (readonly [description: string, contentOf: (crash: number) => string, segments: readonly string[]])[] = [
  ['content', () => 'poison', []],
  ['segment of different contents', (crash) => `poison-${crash}`, ['48720f3588ea']]
]

for (const [description, contentOf, segments] of POISONS) {
  suite(`a ${description} that crashes targets of three cells is refused everywhere before the fleet counts as stable again, also while other requests break off`, () => {
    const fleet = fleetModule.createFleet(87, 87)
    fleet.simulate(5_000, fleetModule.CONNECTED)
    for (const [index, { suspects }] of fleet.members.entries()) {
      for (let request = 0; request < 6; request += 1) suspects.recordCrash(crashOf(fleet.now(), `c${index}-${request}`, []), 'own', fleet.now())
    }
    for (const [crash, index] of [0, 29, 58].entries()) {
      fleet.members[index]?.suspects.recordCrash(crashOf(fleet.now(), contentOf(crash), segments, `i-${index}`), 'own', fleet.now())
      fleet.simulate(200, fleetModule.CONNECTED)
    }
    // The bound is 4 s (stableMs of the grown sites).
    fleet.simulate(4_000 - 200, fleetModule.CONNECTED)
    const isRefused = ({ suspects }: fleetModule.Member): boolean => suspects.admit({ content: crashOf(0, contentOf(0), []).content, segments }, fleet.now(), () => false).kind === 'refused'
    assert.is(fleet.members.filter(isRefused).length, 87)
  })
}

suite.run()
