/**
 * Measures the bytes of platform calls over real HTTP on loopback.
 *
 * @module
 */
import * as document from '@persimmonhatch/document'
import * as backing from '@persimmonhatch/backing-services'
import * as standins from '@persimmonhatch/standins'
import type * as series from '../series.js'
import * as countingProxy from './counting-proxy.js'
import * as workload from '../workload.js'

const ROLE = 'calls on the platform'
const MEMBERS_PREFIX = '/persimmonhatch/members/'
/** Time in which a watch is established. */
const WATCH_SETUP_MS = 100
const MAX_WRITES_PER_S = 100_000

interface MeteredPlatform {
  readonly keyValue: backing.keyValue.KeyValue
  readonly bytes: () => number
  readonly close: () => Promise<void>
}

async function openMeteredPlatform (): Promise<MeteredPlatform> {
  const service = await standins.keyValueService.startKeyValueService({ writesPerS: MAX_WRITES_PER_S })
  const proxy = await countingProxy.startCountingProxy(service.address)
  const client = backing.httpClient.createHttpClient({ connectTimeoutMs: 1_000, headersTimeoutMs: 0, bodyTimeoutMs: 0 })
  return {
    keyValue: backing.etcdKeyValue.createEtcdKeyValue({ client, endpoints: [`http://${proxy.address}`], timeoutMs: 2_000 }),
    bytes: () => proxy.requestBytes() + proxy.responseBytes(),
    close: async () => {
      await client.destroy()
      await proxy.close()
      await service.close()
    }
  }
}

async function measureBytes (platform: MeteredPlatform, run: () => Promise<unknown>): Promise<number> {
  const before = platform.bytes()
  await run()
  return platform.bytes() - before
}

async function writeValue (platform: MeteredPlatform, key: string, value: string, expectedRevision = 0): Promise<void> {
  const swapResult = await platform.keyValue.compareAndSwap({ key, expectedRevision, value })
  if (swapResult.isErr()) throw swapResult.error
}

async function listMembersBytes (members: number): Promise<number> {
  const platform = await openMeteredPlatform()
  for (let index = 0; index < members; index++) await writeValue(platform, `${MEMBERS_PREFIX}${workload.incarnationOf(index)}`, JSON.stringify(workload.createMember(index)))
  const usedBytes = await measureBytes(platform, async () => await platform.keyValue.list(MEMBERS_PREFIX))
  await platform.close()
  return usedBytes
}

/** Measures the bytes to write a document and to deliver the change to one watching daemon. */
async function documentChangeBytes (organisations: number): Promise<number> {
  const platform = await openMeteredPlatform()
  const stop = new AbortController()
  const changes = platform.keyValue.watch(document.storedDocument.KEY_PREFIX, { era: 0, revision: 0 }, stop.signal)
  const firstChange = changes.next()
  await new Promise((resolve) => { setTimeout(resolve, WATCH_SETUP_MS) })
  const content = workload.createDocumentText({ targets: 30, organisations })
  const usedBytes = await measureBytes(platform, async () => {
    await writeValue(platform, document.storedDocument.documentKey('a'), content)
    await firstChange
  })
  stop.abort()
  await platform.close()
  return usedBytes
}

async function vmListBytes (vms: number): Promise<number> {
  const list = Array.from({ length: vms }, (_, index) => ({ name: `replica-${String(index).padStart(3, '0')}`, address: `10.1.${Math.floor(index / 250)}.${index % 250}:8000`, state: 'live' as const }))
  const service = await standins.vmListService.startVmListService({ vms: list })
  const proxy = await countingProxy.startCountingProxy(service.address)
  const client = backing.httpClient.createHttpClient({ connectTimeoutMs: 1_000, headersTimeoutMs: 0, bodyTimeoutMs: 0 })
  const vmListResult = await backing.vmListClient.createVmListClient({ client, url: `http://${proxy.address}`, timeoutMs: 2_000 })()
  if (vmListResult.isErr()) throw vmListResult.error
  const usedBytes = proxy.requestBytes() + proxy.responseBytes()
  await client.destroy()
  await proxy.close()
  await service.close()
  return usedBytes
}

/** Measurements of platform calls. */
export const PLANS: readonly series.Plan[] = [
  { role: ROLE, quantity: 'bytes to list the members', unit: 'bytes', sizeOf: 'members', sizes: [8, 40, 160, 320], repeats: 1, sample: listMembersBytes },
  { role: ROLE, quantity: 'bytes to write a document of 30 targets and to hear of it by watch', unit: 'bytes', sizeOf: 'organisations', sizes: [75, 150, 300, 600], sample: documentChangeBytes },
  { role: ROLE, quantity: 'bytes to read the list of VMs', unit: 'bytes', sizeOf: 'VMs', sizes: [20, 100, 400, 920], repeats: 1, sample: vmListBytes }
]
