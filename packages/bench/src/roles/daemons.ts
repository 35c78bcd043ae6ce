/**
 * What whole daemons cost, as separate processes.
 *
 * @module
 */
import * as system from '@persimmonhatch/system'
import * as undici from 'undici'
import type * as series from '../series.js'
import * as benchSystem from '../processes/bench-system.js'
import * as processUsage from '../processes/process-usage.js'

const ROLE = 'whole daemon'
const IDLE_S = 5
const STREAM_S = 4
const EVENT_INTERVAL_MS = 50
const TAKE_UP_LIMIT_MS = 10_000
const CHANGED_REVISION = 2

function pause (milliseconds: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}

/** What one system of some size showed. */
interface Observed {
  readonly idleCpu: number
  readonly residentBytes: number
  readonly takeUpMs: number
}

type Daemons = benchSystem.BenchSystem['daemons']

async function meanOf (daemons: Daemons, read: (pid: number) => Promise<number>): Promise<number> {
  const values = await Promise.all(daemons.map((daemon) => read(daemon.child.pid)))
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

async function hasTakenUp (daemons: Daemons): Promise<true | undefined> {
  const statuses = await Promise.all(daemons.map((daemon) => benchSystem.readStatus(daemon.address)))
  return statuses.every(({ services }) => services.some((one) => one.service === benchSystem.MODEL_SERVICE && one.revision === CHANGED_REVISION)) ? true : undefined
}

async function observe (count: number): Promise<Observed> {
  const running = await benchSystem.startBenchSystem({ daemons: count, targets: 4 })
  await pause(2_000)
  const before = await meanOf(running.daemons, processUsage.cpuSeconds)
  await pause(IDLE_S * 1_000)
  const idleCpu = (await meanOf(running.daemons, processUsage.cpuSeconds) - before) / IDLE_S * 1e6
  const residentBytes = await meanOf(running.daemons, processUsage.residentBytes)
  const startMs = performance.now()
  await running.change(CHANGED_REVISION)
  await system.waitUntil.waitUntil('the change is in force', TAKE_UP_LIMIT_MS, () => hasTakenUp(running.daemons))
  const takeUpMs = performance.now() - startMs
  await running.close()
  return { idleCpu, residentBytes, takeUpMs }
}

const observed = new Map<number, Observed[]>()

/** Each plan takes its samples from the same runs. */
function sampleOf (read: (one: Observed) => number): series.Plan['sample'] {
  const taken = new Map<number, number>()
  return async (count) => {
    const index = taken.get(count) ?? 0
    taken.set(count, index + 1)
    const runs = observed.get(count) ?? []
    observed.set(count, runs)
    const run = runs[index] ?? await observe(count)
    runs[index] = run
    return read(run)
  }
}

async function readStream (address: string): Promise<void> {
  const answer = await undici.request(`http://${address}/s/${benchSystem.MODEL_SERVICE}/v1/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'x-persimmonhatch-organisation': benchSystem.ORGANISATION },
    body: JSON.stringify({ prompt: 'Tag this', max_tokens: 1, stream: true, events: (STREAM_S + 2) * 1_000 / EVENT_INTERVAL_MS, intervalMs: EVENT_INTERVAL_MS })
  })
  if (answer.statusCode !== 200) throw new Error(`a stream was answered with ${answer.statusCode}: ${await answer.body.text()}`)
  await answer.body.dump({ limit: 100_000_000 })
}

/** CPU of one daemon a second while it passes on `rate` events a second. */
async function cpuOfStreams (rate: number): Promise<number> {
  const streams = rate * EVENT_INTERVAL_MS / 1_000
  const running = await benchSystem.startBenchSystem({ daemons: 1, targets: 32 })
  const [daemon] = running.daemons
  if (daemon === undefined) return NaN
  const all = Array.from({ length: streams }, () => readStream(daemon.address))
  await pause(1_000)
  const before = await processUsage.cpuSeconds(daemon.child.pid)
  const startMs = performance.now()
  await pause(STREAM_S * 1_000)
  const cpu = (await processUsage.cpuSeconds(daemon.child.pid) - before) / (performance.now() - startMs) * 1e9
  await Promise.all(all)
  await running.close()
  return cpu
}

const SIZES = [3, 5, 7, 9]

/** What is measured of whole daemons. */
export const PLANS: readonly series.Plan[] = [
  { role: ROLE, quantity: 'CPU per second without requests', unit: 'us', sizeOf: 'daemons', sizes: SIZES, sample: sampleOf((one) => one.idleCpu) },
  { role: ROLE, quantity: 'resident memory without requests', unit: 'bytes', sizeOf: 'daemons', sizes: SIZES, sample: sampleOf((one) => one.residentBytes) },
  { role: 'configuration follower', quantity: 'time until a change is in force at every daemon', unit: 'ms', sizeOf: 'daemons', sizes: SIZES, sample: sampleOf((one) => one.takeUpMs) },
  { role: 'data path', quantity: 'CPU per second of a daemon that passes on streams', unit: 'us', sizeOf: 'events per second', sizes: [500, 1_000, 2_000, 4_000], sample: cpuOfStreams }
]
