/**
 * Measures the cost of reading the load and cache reports of targets over real HTTP on loopback.
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
const READS = 8
const SEGMENT_HEADER_BYTES = 52
/** A request, its response and an acknowledgement of each. */
const SEGMENTS_PER_CALL = 4

interface MeteredTargets {
  readonly targets: readonly daemon.targetReports.WatchedTarget[]
  readonly proxies: readonly countingProxy.CountingProxy[]
  readonly engine: standins.modelEngine.ModelEngine
  readonly client: undici.Dispatcher
}

async function openMeteredTargets (count: number): Promise<MeteredTargets> {
  const engine = await standins.modelEngine.startModelEngine({ cacheEventLagMs: 0, loadLagMs: 1_000 })
  const proxies = await Promise.all(Array.from({ length: count }, () => countingProxy.startCountingProxy(engine.address)))
  const targets = proxies.map(({ address }, index) => ({ name: `replica-${index}`, address, kind: 'model' as const }))
  return { targets, proxies, engine, client: backing.httpClient.createHttpClient({ connectTimeoutMs: 1_000, headersTimeoutMs: 0, bodyTimeoutMs: 0 }) }
}

async function closeMeteredTargets (metered: MeteredTargets): Promise<void> {
  await metered.client.close()
  await Promise.all(metered.proxies.map((proxy) => proxy.close()))
  await metered.engine.close()
}

/** Sends prompts without common prefixes, so that each adds its prefixes to the cache. */
async function sendPrompts (address: string, count: number): Promise<void> {
  for (let index = 0; index < count; index++) {
    const response = await undici.request(`http://${address}/v1/completions`, {
      method: 'POST',
      body: JSON.stringify({ prompt: `${index} ${performance.now()} `.repeat(180), max_tokens: 1, user: `m${index}` }),
      headers: { 'content-type': 'application/json' }
    })
    await response.body.dump()
  }
}

/** Measures the network bytes to read all targets once, in both directions, with `SEGMENT_HEADER_BYTES` per segment. */
async function bytesPerRead (count: number): Promise<number> {
  const metered = await openMeteredTargets(count)
  const readReports = daemon.readReports.createReadReports(metered.client)
  for (let readIndex = 0; readIndex < READS; readIndex++) await Promise.all(metered.targets.map((target) => readReports(target, 1_000_000)))
  const bytes = metered.proxies.reduce((sum, proxy) => sum + proxy.requestBytes() + proxy.responseBytes(), 0)
  await closeMeteredTargets(metered)
  return bytes / READS + count * CALLS_PER_TARGET * SEGMENTS_PER_CALL * SEGMENT_HEADER_BYTES
}

/** Measures the bytes of one read of a target that has new cache events. */
async function bytesOfCacheEvents (prompts: number): Promise<number> {
  const metered = await openMeteredTargets(1)
  const readReports = daemon.readReports.createReadReports(metered.client)
  await sendPrompts(metered.engine.address, prompts)
  const [target] = metered.targets
  if (target === undefined) return NaN
  await readReports(target, 0)
  const bytes = metered.proxies.reduce((sum, proxy) => sum + proxy.requestBytes() + proxy.responseBytes(), 0)
  await closeMeteredTargets(metered)
  return bytes
}

/** Measures the CPU time of the reader, the proxy and the stand-in together: an upper bound for the reader. */
async function cpuPerRead (count: number): Promise<number> {
  const metered = await openMeteredTargets(count)
  const readReports = daemon.readReports.createReadReports(metered.client)
  const readAll = async (): Promise<void> => { await Promise.all(metered.targets.map((target) => readReports(target, 1_000_000))) }
  await readAll()
  const cpu = await resources.cpuMicrosPerAsync(READS * 4, async () => { for (let index = 0; index < READS * 4; index++) await readAll() })
  await closeMeteredTargets(metered)
  return cpu
}

/** Measurements of reports. */
export const PLANS: readonly series.Plan[] = [
  { role: ROLE, quantity: 'network bytes to read the reports of all targets once', unit: 'bytes', sizeOf: 'targets', sizes: [4, 8, 16, 32], sample: bytesPerRead },
  { role: ROLE, quantity: 'bytes of one reading with new cache events of 900-token prompts', unit: 'bytes', sizeOf: 'prompts', sizes: [0, 2, 8, 24], sample: bytesOfCacheEvents },
  { role: ROLE, quantity: 'CPU to read the reports of all targets once, proxy and stand-in included', unit: 'us', sizeOf: 'targets', sizes: [4, 8, 16, 32], sample: cpuPerRead }
]
