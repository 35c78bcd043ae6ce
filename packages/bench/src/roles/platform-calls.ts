/**
 * Bytes of the calls on the platform, over real HTTP on loopback.
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
const SETTLE_MS = 100
const WRITES_PER_S = 100_000

interface Bench {
  readonly keyValue: backing.keyValue.KeyValue
  readonly bytes: () => number
  readonly close: () => Promise<void>
}

async function openBench (): Promise<Bench> {
  const service = await standins.keyValueService.startKeyValueService({ writesPerS: WRITES_PER_S })
  const proxy = await countingProxy.startCountingProxy(service.address)
  const client = backing.httpClient.httpClient({ connectTimeoutMs: 1_000, headersTimeoutMs: 0, bodyTimeoutMs: 0 })
  return {
    keyValue: backing.etcdKeyValue.etcdKeyValue({ client, endpoints: [`http://${proxy.address}`], timeoutMs: 2_000 }),
    bytes: () => proxy.requestBytes() + proxy.answerBytes(),
    close: async () => {
      await client.destroy()
      await proxy.close()
      await service.close()
    }
  }
}

async function bytesOf (bench: Bench, run: () => Promise<unknown>): Promise<number> {
  const before = bench.bytes()
  await run()
  return bench.bytes() - before
}

async function write (bench: Bench, key: string, value: string, expectedRevision = 0): Promise<void> {
  const swap = await bench.keyValue.compareAndSwap({ key, expectedRevision, value })
  if (swap.isErr()) throw swap.error
}

async function listingBytes (members: number): Promise<number> {
  const bench = await openBench()
  for (let index = 0; index < members; index++) await write(bench, `${MEMBERS_PREFIX}${workload.incarnationOf(index)}`, JSON.stringify(workload.memberOf(index)))
  const used = await bytesOf(bench, async () => await bench.keyValue.list(MEMBERS_PREFIX))
  await bench.close()
  return used
}

/** One change of a document as a watch brings it to one daemon. */
async function changeBytes (organisations: number): Promise<number> {
  const bench = await openBench()
  const stop = new AbortController()
  const changes = bench.keyValue.watch(document.storedDocument.KEY_PREFIX, 0, stop.signal)
  const first = changes.next()
  await new Promise((resolve) => { setTimeout(resolve, SETTLE_MS) })
  const content = workload.documentText({ targets: 30, organisations })
  const used = await bytesOf(bench, async () => {
    await write(bench, document.storedDocument.documentKey('a'), content)
    await first
  })
  stop.abort()
  await bench.close()
  return used
}

async function vmListBytes (vms: number): Promise<number> {
  const list = Array.from({ length: vms }, (_, index) => ({ name: `replica-${String(index).padStart(3, '0')}`, address: `10.1.${Math.floor(index / 250)}.${index % 250}:8000`, state: 'live' as const }))
  const service = await standins.vmListService.startVmListService({ vms: list })
  const proxy = await countingProxy.startCountingProxy(service.address)
  const client = backing.httpClient.httpClient({ connectTimeoutMs: 1_000, headersTimeoutMs: 0, bodyTimeoutMs: 0 })
  const answer = await backing.vmListClient.vmListClient({ client, url: `http://${proxy.address}`, timeoutMs: 2_000 })()
  if (answer.isErr()) throw answer.error
  const used = proxy.requestBytes() + proxy.answerBytes()
  await client.destroy()
  await proxy.close()
  await service.close()
  return used
}

/** What is measured of the calls on the platform. */
export const PLANS: readonly series.Plan[] = [
  { role: ROLE, quantity: 'bytes to list the members', unit: 'bytes', sizeOf: 'members', sizes: [8, 40, 160, 320], repeats: 1, sample: listingBytes },
  { role: ROLE, quantity: 'bytes to write a document of 30 targets and to hear of it by watch', unit: 'bytes', sizeOf: 'organisations', sizes: [75, 150, 300, 600], sample: changeBytes },
  { role: ROLE, quantity: 'bytes to read the list of VMs', unit: 'bytes', sizeOf: 'VMs', sizes: [20, 100, 400, 920], repeats: 1, sample: vmListBytes }
]
