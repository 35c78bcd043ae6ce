/**
 * What reading the load and cache reports of targets costs, over real HTTP on loopback.
 *
 * @module
 */
import * as daemon from '@persimmonhatch/daemon'
import * as backing from '@persimmonhatch/backing-services'
import * as standins from '@persimmonhatch/standins'
import * as undici from 'undici'
import * as resources from '../resources.js'
import type * as series from '../series.js'
import * as countingProxy from './counting-proxy.js'

const ROLE = 'authority'
const CALLS_PER_TARGET = 2
const ROUNDS = 8
const HEADER_BYTES = 52
/** A request, its answer and an acknowledgement of each. */
const SEGMENTS_PER_CALL = 4

interface Bench {
  readonly targets: readonly daemon.targetReports.WatchedTarget[]
  readonly proxies: readonly countingProxy.CountingProxy[]
  readonly engine: standins.modelEngine.ModelEngine
  readonly client: undici.Dispatcher
}

async function openBench (count: number): Promise<Bench> {
  const engine = await standins.modelEngine.startModelEngine({ cacheEventLagMs: 0, loadLagMs: 1_000 })
  const proxies = await Promise.all(Array.from({ length: count }, () => countingProxy.startCountingProxy(engine.address)))
  const targets = proxies.map(({ address }, index) => ({ name: `replica-${index}`, address, kind: 'model' as const }))
  return { targets, proxies, engine, client: backing.httpClient.httpClient({ connectTimeoutMs: 1_000, headersTimeoutMs: 0, bodyTimeoutMs: 0 }) }
}

async function closeBench (bench: Bench): Promise<void> {
  await bench.client.close()
  await Promise.all(bench.proxies.map((proxy) => proxy.close()))
  await bench.engine.close()
}

/** Sends prompts that share nothing, so that each stores its prefixes. */
async function sendPrompts (address: string, count: number): Promise<void> {
  for (let index = 0; index < count; index++) {
    const answer = await undici.request(`http://${address}/v1/completions`, {
      method: 'POST',
      body: JSON.stringify({ prompt: `${index} ${performance.now()} `.repeat(180), max_tokens: 1, user: `m${index}` }),
      headers: { 'content-type': 'application/json' }
    })
    await answer.body.dump()
  }
}

/** Network bytes to read `targets` targets once, in both directions, with `HEADER_BYTES` for each segment. */
async function bytesPerRound (count: number): Promise<number> {
  const bench = await openBench(count)
  const read = daemon.readReports.createReadReports(bench.client)
  for (let round = 0; round < ROUNDS; round++) await Promise.all(bench.targets.map((target) => read(target, 1_000_000)))
  const bytes = bench.proxies.reduce((sum, proxy) => sum + proxy.requestBytes() + proxy.answerBytes(), 0)
  await closeBench(bench)
  return bytes / ROUNDS + count * CALLS_PER_TARGET * SEGMENTS_PER_CALL * HEADER_BYTES
}

/** Bytes that new cache events add to one reading. */
async function bytesOfCacheEvents (prompts: number): Promise<number> {
  const bench = await openBench(1)
  const read = daemon.readReports.createReadReports(bench.client)
  await sendPrompts(bench.engine.address, prompts)
  const [target] = bench.targets
  if (target === undefined) return NaN
  await read(target, 0)
  const bytes = bench.proxies.reduce((sum, proxy) => sum + proxy.requestBytes() + proxy.answerBytes(), 0)
  await closeBench(bench)
  return bytes
}

/** CPU of the reading side, the proxy and the stand-in together: an upper bound for the reader. */
async function cpuPerRound (count: number): Promise<number> {
  const bench = await openBench(count)
  const read = daemon.readReports.createReadReports(bench.client)
  const round = async (): Promise<void> => { await Promise.all(bench.targets.map((target) => read(target, 1_000_000))) }
  await round()
  const cpu = await resources.cpuMicrosPerAsync(ROUNDS * 4, async () => { for (let index = 0; index < ROUNDS * 4; index++) await round() })
  await closeBench(bench)
  return cpu
}

/** What is measured of reports. */
export const PLANS: readonly series.Plan[] = [
  { role: ROLE, quantity: 'network bytes to read the reports of all targets once', unit: 'bytes', sizeOf: 'targets', sizes: [4, 8, 16, 32], sample: bytesPerRound },
  { role: ROLE, quantity: 'bytes of one reading with new cache events of 900-token prompts', unit: 'bytes', sizeOf: 'prompts', sizes: [0, 2, 8, 24], sample: bytesOfCacheEvents },
  { role: ROLE, quantity: 'CPU to read the reports of all targets once, proxy and stand-in included', unit: 'us', sizeOf: 'targets', sizes: [4, 8, 16, 32], sample: cpuPerRound }
]
