/**
 * Measures the cost of the authority over a pool.
 *
 * @module
 */
import * as resources from '../resources.js'
import type * as series from '../series.js'
import * as wire from '../wire.js'
import * as authorityPool from './authority-pool.js'
import * as workload from '../workload.js'

const ROLE = 'authority'
const ENTRIES = 107
const REQUESTS = 3_000
const WARM_UP_REQUESTS = 2_000
const TICKS = 300

function settledPool (targets: number, entries = ENTRIES): authorityPool.AuthorityPool {
  const pool = new authorityPool.AuthorityPool({ targets, entries })
  pool.reportHoldings()
  return pool
}

function cpuPerRequest (targets: number, waiting: number): number {
  const pool = settledPool(targets)
  for (let index = 0; index < targets; index++) pool.requestSlot()
  pool.fillQueue(waiting)
  for (let index = 1; index < WARM_UP_REQUESTS; index++) pool.serveRequest(index)
  return resources.cpuMicrosPer(REQUESTS, () => { for (let index = 1; index <= REQUESTS; index++) pool.serveRequest(index) })
}

function cpuPerTick (targets: number, waiting: number): number {
  const pool = settledPool(targets)
  for (let index = 0; index < targets; index++) pool.requestSlot()
  pool.fillQueue(waiting)
  return resources.cpuMicrosPer(TICKS, () => {
    for (let index = 0; index < TICKS; index++) {
      pool.nowMs += 100
      pool.handle({ kind: 'tick' })
    }
  })
}

function cpuPerReport (targets: number): number {
  const pool = settledPool(targets)
  const reportCount = Math.ceil(2_000 / targets)
  return resources.cpuMicrosPer(reportCount, () => {
    for (let index = 0; index < reportCount; index++) {
      pool.nowMs += 1_000
      pool.deliverReports()
    }
  })
}

function warmPool (targets: number): authorityPool.AuthorityPool {
  const pool = settledPool(targets)
  for (let index = 1; index <= targets * 40; index++) pool.serveRequest(index)
  return pool
}

function cpuOfRecovery (running: number): number {
  const poolCount = 5
  const pools = Array.from({ length: poolCount }, () => new authorityPool.AuthorityPool({ targets: 10, entries: ENTRIES }))
  return resources.cpuMicrosPer(poolCount, () => { for (const pool of pools) pool.reportHoldings(running / ENTRIES) })
}

function holdingsBytes (running: number): number {
  const pool = new authorityPool.AuthorityPool({ targets: 10, entries: 1 })
  const holdings = Array.from({ length: running }, (_, index) => pool.createHolding(index))
  return wire.messageBytes({ kind: 'holdings', pool: workload.POOL, holdings })
}

/** Measurements of the authority. */
export const PLANS: readonly series.Plan[] = [
  { role: ROLE, quantity: 'CPU per request (ask, grant, release), no queue', unit: 'us', sizeOf: 'targets', sizes: [4, 8, 16, 32, 64], sample: (targets) => cpuPerRequest(targets, 0) },
  { role: ROLE, quantity: 'CPU per request (ask, grant, release), 10 targets', unit: 'us', sizeOf: 'waiting asks', sizes: [0, 200, 400, 800, 1_600], sample: (waiting) => cpuPerRequest(10, waiting) },
  { role: ROLE, quantity: 'CPU per tick, no queue', unit: 'us', sizeOf: 'targets', sizes: [4, 8, 16, 32, 64], sample: (targets) => cpuPerTick(targets, 0) },
  { role: ROLE, quantity: 'CPU per tick, 10 targets', unit: 'us', sizeOf: 'waiting asks', sizes: [0, 200, 400, 800, 1_600], sample: (waiting) => cpuPerTick(10, waiting) },
  { role: ROLE, quantity: 'CPU per second of load and cache reports, core only', unit: 'us', sizeOf: 'targets', sizes: [4, 8, 16, 32, 64], sample: cpuPerReport },
  { role: ROLE, quantity: 'heap of a pool, 40 requests seen per target', unit: 'bytes', sizeOf: 'targets', sizes: [4, 8, 16, 32, 64], sample: (targets) => resources.heapBytesOf(() => warmPool(targets)) },
  { role: ROLE, quantity: 'heap of a queue, 10 targets', unit: 'bytes', sizeOf: 'waiting asks', sizes: [500, 1_000, 2_000, 4_000], sample: (waiting) => resources.heapBytesOf(() => { const pool = settledPool(10); pool.fillQueue(waiting); return pool }) },
  { role: ROLE, quantity: 'recovery: CPU to take holdings of 107 entries', unit: 'us', sizeOf: 'running requests', sizes: [0, 107, 428, 856, 1_712], sample: cpuOfRecovery },
  { role: ROLE, quantity: 'recovery: network bytes of one holdings message', unit: 'bytes', sizeOf: 'running requests', sizes: [0, 1, 4, 16, 64], sample: holdingsBytes }
]
