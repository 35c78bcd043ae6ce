/**
 * Measures the cost of complete daemons that run as separate processes.
 *
 * @module
 */
import * as system from '@persimmonhatch/system'
import * as undici from 'undici'
import type * as series from '../series.js'
import * as benchSystem from '../processes/bench-system.js'
import * as processUsage from '../processes/process-usage.js'

const ROLE = 'whole daemon'
const IDLE_MEASUREMENT_S = 5
const STREAM_MEASUREMENT_S = 4
const EVENT_INTERVAL_MS = 50
const ADOPTION_TIMEOUT_MS = 10_000
const CHANGED_REVISION = 2

function pause (milliseconds: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}

/** Measurements of one run of a system. */
interface SystemMeasurements {
  readonly idleCpu: number
  readonly residentBytes: number
  readonly adoptionMs: number
}

type Daemons = benchSystem.BenchSystem['daemons']

async function meanOf (daemons: Daemons, read: (pid: number) => Promise<number>): Promise<number> {
  const values = await Promise.all(daemons.map((daemon) => read(daemon.child.pid)))
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

async function hasAdoptedChange (daemons: Daemons): Promise<true | undefined> {
  const statuses = await Promise.all(daemons.map((daemon) => benchSystem.readStatus(daemon.address)))
  return statuses.every(({ services }) => services.some((each) => each.service === benchSystem.MODEL_SERVICE && each.revision === CHANGED_REVISION)) ? true : undefined
}

async function measureSystem (count: number): Promise<SystemMeasurements> {
  const running = await benchSystem.startBenchSystem({ daemons: count, targets: 4 })
  await pause(2_000)
  const before = await meanOf(running.daemons, processUsage.cpuSeconds)
  await pause(IDLE_MEASUREMENT_S * 1_000)
  const idleCpu = (await meanOf(running.daemons, processUsage.cpuSeconds) - before) / IDLE_MEASUREMENT_S * 1e6
  const residentBytes = await meanOf(running.daemons, processUsage.residentBytes)
  const startMs = performance.now()
  await running.rewriteDocument(CHANGED_REVISION)
  await system.waitUntil.waitUntil('the change is in force', ADOPTION_TIMEOUT_MS, () => hasAdoptedChange(running.daemons))
  const adoptionMs = performance.now() - startMs
  await running.close()
  return { idleCpu, residentBytes, adoptionMs }
}

const measurements = new Map<number, SystemMeasurements[]>()

/** Returns a sampler for one measurement. All samplers share the same runs. */
function sampleOf (read: (run: SystemMeasurements) => number): series.Plan['sample'] {
  const samplesTaken = new Map<number, number>()
  return async (count) => {
    const index = samplesTaken.get(count) ?? 0
    samplesTaken.set(count, index + 1)
    const runs = measurements.get(count) ?? []
    measurements.set(count, runs)
    const run = runs[index] ?? await measureSystem(count)
    runs[index] = run
    return read(run)
  }
}

async function readStream (address: string): Promise<void> {
  const response = await undici.request(`http://${address}/s/${benchSystem.MODEL_SERVICE}/v1/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'x-persimmonhatch-organisation': benchSystem.ORGANISATION },
    body: JSON.stringify({ prompt: 'Tag this', max_tokens: 1, stream: true, events: (STREAM_MEASUREMENT_S + 2) * 1_000 / EVENT_INTERVAL_MS, intervalMs: EVENT_INTERVAL_MS })
  })
  if (response.statusCode !== 200) throw new Error(`a stream request got status ${response.statusCode}: ${await response.body.text()}`)
  await response.body.dump({ limit: 100_000_000 })
}

/** Measures the CPU time per second of a daemon that forwards `rate` events per second. */
async function cpuOfStreams (rate: number): Promise<number> {
  const streamCount = rate * EVENT_INTERVAL_MS / 1_000
  const running = await benchSystem.startBenchSystem({ daemons: 1, targets: 32 })
  const [daemon] = running.daemons
  if (daemon === undefined) return NaN
  const pendingStreams = Array.from({ length: streamCount }, () => readStream(daemon.address))
  await pause(1_000)
  const before = await processUsage.cpuSeconds(daemon.child.pid)
  const startMs = performance.now()
  await pause(STREAM_MEASUREMENT_S * 1_000)
  const cpu = (await processUsage.cpuSeconds(daemon.child.pid) - before) / (performance.now() - startMs) * 1e9
  await Promise.all(pendingStreams)
  await running.close()
  return cpu
}

const SIZES = [3, 5, 7, 9]

/** Measurements of complete daemons. */
export const PLANS: readonly series.Plan[] = [
  { role: ROLE, quantity: 'CPU per second without requests', unit: 'us', sizeOf: 'daemons', sizes: SIZES, sample: sampleOf((run) => run.idleCpu) },
  { role: ROLE, quantity: 'resident memory without requests', unit: 'bytes', sizeOf: 'daemons', sizes: SIZES, sample: sampleOf((run) => run.residentBytes) },
  { role: 'configuration follower', quantity: 'time until a change is in force at every daemon', unit: 'ms', sizeOf: 'daemons', sizes: SIZES, sample: sampleOf((run) => run.adoptionMs) },
  { role: 'data path', quantity: 'CPU per second of a daemon that passes on streams', unit: 'us', sizeOf: 'events per second', sizes: [500, 1_000, 2_000, 4_000], sample: cpuOfStreams }
]
