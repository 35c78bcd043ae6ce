/**
 * What open connections between daemons cost, with real sockets on loopback.
 *
 * @module
 */
import * as daemon from '@persimmonhatch/daemon'
import * as protocol from '@persimmonhatch/protocol'
import * as system from '@persimmonhatch/system'
import * as countingProxy from './counting-proxy.js'
import * as resources from '../resources.js'
import type * as series from '../series.js'
import * as workload from '../workload.js'

const ROLE = 'connections between daemons'
const PREFIXES = 4
const WARM_UP_REQUESTS = 50
const WAIT_MS = 5

/** How messages become frames. */
type Encode = daemon.peerConnection.Encode

interface Hub {
  readonly peers: daemon.peers.Peers
  readonly received: () => number
  readonly proxy: countingProxy.CountingProxy
}

function pause (milliseconds: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}

async function openPeers (index: number, address: string, members: ReadonlyMap<string, protocol.MemberUpdate>, encode: Encode): Promise<Omit<Hub, 'proxy'>> {
  let received = 0
  const peers = await daemon.peers.openPeers({
    listen: address,
    encode,
    clock: () => performance.now(),
    createHandshake: () => ({ version: protocol.PROTOCOL_VERSION, member: { ...workload.memberOf(index), peerAddress: address }, wanted: '' }),
    findMember: (incarnation) => members.get(incarnation),
    onMessage: () => { received += 1 },
    onConnected: () => {},
    count: () => {}
  })
  return { peers, received: () => received }
}

/** Hubs of which the first reaches every other through a proxy. */
async function openStar (links: number, encode: Encode): Promise<readonly Hub[]> {
  const ports = await system.freePorts.findFreePorts(links + 1)
  const members = new Map<string, protocol.MemberUpdate>()
  const addresses = ports.map((port) => `127.0.0.1:${port}`)
  const opened = await Promise.all(addresses.map((address, index) => openPeers(index, address, members, encode)))
  const hubs = await Promise.all(opened.map(async (one, index) => ({ ...one, proxy: await countingProxy.startCountingProxy(addresses[index] ?? '') })))
  for (const [index, hub] of hubs.entries()) members.set(workload.incarnationOf(index), { ...workload.memberOf(index), peerAddress: hub.proxy.address })
  return hubs
}

async function connectAll (hubs: readonly Hub[]): Promise<void> {
  for (let index = 1; index < hubs.length; index++) hubs[0]?.peers.send({ to: workload.incarnationOf(index), message: { kind: 'round', round: 1 } })
  while (hubs.slice(1).some((hub) => hub.received() === 0)) await pause(WAIT_MS)
}

async function closeAll (hubs: readonly Hub[]): Promise<void> {
  await Promise.all(hubs.map((hub) => hub.peers.close()))
  await Promise.all(hubs.map((hub) => hub.proxy.close()))
}

/** Both ends are in this process, so each link holds half of the growth. */
async function memoryPerEnd (links: number, encode: Encode): Promise<number> {
  const hubs = await openStar(links, encode)
  const before = process.memoryUsage().rss
  await connectAll(hubs)
  for (let index = 1; index < hubs.length; index++) await exchange(hubs, index, index)
  resources.heldBytes()
  const after = process.memoryUsage().rss
  await closeAll(hubs)
  return (after - before) / 2
}

function askOf (index: number): protocol.SlotRequest {
  const { organisation, promptTokens, fingerprint, prefixes } = workload.arrivalOf(index, PREFIXES, 1)
  return { kind: 'ask', ask: index, pool: workload.POOL, service: workload.SERVICE, organisation: organisation ?? '', tier: index % 4, promptTokens: promptTokens + index % 97, answerTokens: 300, prefixes, deadlineMs: 120_000, nonIdempotent: false, fingerprint, waitedMs: 0, round: 77 + index }
}

function grantOf (index: number): protocol.Grant {
  const target = `replica-${String(index % 10).padStart(3, '0')}`
  return { kind: 'grant', ask: index, target, round: 77 + index, figures: { service: workload.SERVICE, target, waitedMs: index % 13, expectedMs: 15_000 + index % 997, queueTokens: 0, tokensInFlight: 4_000 + index % 1_999, cachedTokens: 256, slowdown: 1.02 } }
}

function releaseOf (index: number): protocol.Release {
  return { kind: 'release', ask: index, outcome: 'finished', promptTokens: 900 + index % 97, cachedTokens: 256, answerTokens: 200 + index % 101, firstTokenMs: 400 + index % 89, totalMs: 15_000 + index % 1_009 }
}

async function arrived (hub: Hub, count: number): Promise<void> {
  while (hub.received() < count) await new Promise((resolve) => { setImmediate(resolve) })
}

/** The messages of one request between the first hub and another, one after the other. */
async function exchange (hubs: readonly Hub[], other: number, index: number): Promise<void> {
  const [entry, authority] = [hubs[0], hubs[other]]
  if (entry === undefined || authority === undefined) return
  const [received, granted] = [authority.received(), entry.received()]
  entry.peers.send({ to: workload.incarnationOf(other), message: askOf(index) })
  await arrived(authority, received + 1)
  authority.peers.send({ to: workload.incarnationOf(0), message: grantOf(index) })
  await arrived(entry, granted + 1)
  entry.peers.send({ to: workload.incarnationOf(other), message: releaseOf(index) })
  await arrived(authority, received + 2)
}

async function exchanges (requests: number, encode: Encode, read: (hubs: readonly Hub[], run: () => Promise<void>) => Promise<number>): Promise<number> {
  const hubs = await openStar(1, encode)
  await connectAll(hubs)
  for (let index = 0; index < WARM_UP_REQUESTS; index++) await exchange(hubs, 1, index)
  const value = await read(hubs, async () => { for (let index = 0; index < requests; index++) await exchange(hubs, 1, WARM_UP_REQUESTS + index) })
  await closeAll(hubs)
  return value
}

/** Bytes over the socket, in both directions, without the headers of segments. */
function payloadBytes (requests: number, encode: Encode): Promise<number> {
  return exchanges(requests, encode, async (hubs, run) => {
    const proxy = hubs[1]?.proxy
    const before = (proxy?.requestBytes() ?? 0) + (proxy?.answerBytes() ?? 0)
    await run()
    return (proxy?.requestBytes() ?? 0) + (proxy?.answerBytes() ?? 0) - before
  })
}

function cpuOfExchanges (requests: number, encode: Encode): Promise<number> {
  return exchanges(requests, encode, (_, run) => resources.cpuMicrosPerAsync(1, run))
}

function timeOfExchanges (requests: number, encode: Encode): Promise<number> {
  return exchanges(requests, encode, async (_, run) => {
    const startMs = performance.now()
    await run()
    return performance.now() - startMs
  })
}

function plansFor (name: string, encode: Encode): readonly series.Plan[] {
  const sizes = [100, 200, 400, 800]
  return [
    { role: ROLE, quantity: `${name}: bytes over the socket for ask, grant and release`, unit: 'bytes', sizeOf: 'requests', sizes, sample: (requests) => payloadBytes(requests, encode) },
    { role: ROLE, quantity: `${name}: CPU for ask, grant and release, both ends and a proxy`, unit: 'us', sizeOf: 'requests', sizes, sample: (requests) => cpuOfExchanges(requests, encode) },
    { role: ROLE, quantity: `${name}: time for ask, grant and release one after the other, through a proxy`, unit: 'ms', sizeOf: 'requests', sizes, sample: (requests) => timeOfExchanges(requests, encode) },
    { role: ROLE, quantity: `${name}: resident memory of open links, one end`, unit: 'bytes', sizeOf: 'links', sizes: [20, 80, 160, 320], sample: (links) => memoryPerEnd(links, encode) }
  ]
}

/** What is measured of connections, as they are and without compression. */
export const PLANS: readonly series.Plan[] = [
  ...plansFor('plain', (text) => text),
  ...plansFor('compressed', daemon.compression.compress)
]
