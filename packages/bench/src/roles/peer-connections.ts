/**
 * Measures the cost of peer connections over real sockets on loopback.
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
const POLL_INTERVAL_MS = 5

/** Encodes messages as frames. */
type Encode = daemon.peerConnection.Encode

interface PeerNode {
  readonly peers: daemon.peers.Peers
  readonly received: () => number
  readonly proxy: countingProxy.CountingProxy
}

function pause (milliseconds: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}

async function openPeerNode (index: number, address: string, members: ReadonlyMap<string, protocol.MemberUpdate>, encode: Encode): Promise<Omit<PeerNode, 'proxy'>> {
  let received = 0
  const peers = await daemon.peers.openPeers({
    listen: address,
    encode,
    clock: () => performance.now(),
    createHandshake: () => ({ version: protocol.PROTOCOL_VERSION, member: { ...workload.createMember(index), peerAddress: address }, wanted: '' }),
    findMember: (incarnation) => members.get(incarnation),
    onMessage: () => { received += 1 },
    onConnected: () => {},
    count: () => {}
  })
  return { peers, received: () => received }
}

/** Opens a star topology: the first node can reach every other node through a proxy. */
async function openStar (connections: number, encode: Encode): Promise<readonly PeerNode[]> {
  const ports = await system.freePorts.findFreePorts(connections + 1)
  const members = new Map<string, protocol.MemberUpdate>()
  const addresses = ports.map((port) => `127.0.0.1:${port}`)
  const opened = await Promise.all(addresses.map((address, index) => openPeerNode(index, address, members, encode)))
  const nodes = await Promise.all(opened.map(async (openedNode, index) => ({ ...openedNode, proxy: await countingProxy.startCountingProxy(addresses[index] ?? '') })))
  for (const [index, node] of nodes.entries()) members.set(workload.incarnationOf(index), { ...workload.createMember(index), peerAddress: node.proxy.address })
  return nodes
}

async function connectAll (nodes: readonly PeerNode[]): Promise<void> {
  for (let index = 1; index < nodes.length; index++) nodes[0]?.peers.send({ to: workload.incarnationOf(index), message: { kind: 'round', round: 1 } })
  while (nodes.slice(1).some((node) => node.received() === 0)) await pause(POLL_INTERVAL_MS)
}

async function closeAll (nodes: readonly PeerNode[]): Promise<void> {
  await Promise.all(nodes.map((node) => node.peers.close()))
  await Promise.all(nodes.map((node) => node.proxy.close()))
}

/** Measures the memory of open connections at one end. Both ends are in this process, so each accounts for half. */
async function memoryPerEnd (connections: number, encode: Encode): Promise<number> {
  const nodes = await openStar(connections, encode)
  const before = process.memoryUsage().rss
  await connectAll(nodes)
  for (let index = 1; index < nodes.length; index++) await exchangeMessages(nodes, index, index)
  resources.retainedBytes()
  const after = process.memoryUsage().rss
  await closeAll(nodes)
  return (after - before) / 2
}

function createSlotRequest (index: number): protocol.SlotRequest {
  const { organisation, promptTokens, fingerprint, prefixes } = workload.createArrival(index, PREFIXES, 1)
  return { kind: 'ask', ask: index, pool: workload.POOL, service: workload.SERVICE, organisation: organisation ?? '', tier: index % 4, promptTokens: promptTokens + index % 97, answerTokens: 300, prefixes, deadlineMs: 120_000, nonIdempotent: false, fingerprint, waitedMs: 0, round: 77 + index }
}

function createGrant (index: number): protocol.Grant {
  const target = `replica-${String(index % 10).padStart(3, '0')}`
  return { kind: 'grant', ask: index, target, round: 77 + index, figures: { service: workload.SERVICE, target, waitedMs: index % 13, expectedMs: 15_000 + index % 997, queueTokens: 0, tokensInFlight: 4_000 + index % 1_999, cachedTokens: 256, slowdown: 1.02 } }
}

function createRelease (index: number): protocol.Release {
  return { kind: 'release', ask: index, outcome: 'finished', promptTokens: 900 + index % 97, cachedTokens: 256, answerTokens: 200 + index % 101, firstTokenMs: 400 + index % 89, totalMs: 15_000 + index % 1_009 }
}

async function waitForMessages (node: PeerNode, count: number): Promise<void> {
  while (node.received() < count) await new Promise((resolve) => { setImmediate(resolve) })
}

/** Exchanges the messages of one request between the first node and another, sequentially. */
async function exchangeMessages (nodes: readonly PeerNode[], peerIndex: number, index: number): Promise<void> {
  const [entry, authority] = [nodes[0], nodes[peerIndex]]
  if (entry === undefined || authority === undefined) return
  const [received, granted] = [authority.received(), entry.received()]
  entry.peers.send({ to: workload.incarnationOf(peerIndex), message: createSlotRequest(index) })
  await waitForMessages(authority, received + 1)
  authority.peers.send({ to: workload.incarnationOf(0), message: createGrant(index) })
  await waitForMessages(entry, granted + 1)
  entry.peers.send({ to: workload.incarnationOf(peerIndex), message: createRelease(index) })
  await waitForMessages(authority, received + 2)
}

async function measureExchanges (requests: number, encode: Encode, takeMeasurement: (nodes: readonly PeerNode[], run: () => Promise<void>) => Promise<number>): Promise<number> {
  const nodes = await openStar(1, encode)
  await connectAll(nodes)
  for (let index = 0; index < WARM_UP_REQUESTS; index++) await exchangeMessages(nodes, 1, index)
  const value = await takeMeasurement(nodes, async () => { for (let index = 0; index < requests; index++) await exchangeMessages(nodes, 1, WARM_UP_REQUESTS + index) })
  await closeAll(nodes)
  return value
}

/** Measures the bytes over the socket in both directions, without segment headers. */
function socketBytes (requests: number, encode: Encode): Promise<number> {
  return measureExchanges(requests, encode, async (nodes, run) => {
    const proxy = nodes[1]?.proxy
    const before = (proxy?.requestBytes() ?? 0) + (proxy?.responseBytes() ?? 0)
    await run()
    return (proxy?.requestBytes() ?? 0) + (proxy?.responseBytes() ?? 0) - before
  })
}

function cpuOfExchanges (requests: number, encode: Encode): Promise<number> {
  return measureExchanges(requests, encode, (_, run) => resources.cpuMicrosPerAsync(1, run))
}

function timeOfExchanges (requests: number, encode: Encode): Promise<number> {
  return measureExchanges(requests, encode, async (_, run) => {
    const startMs = performance.now()
    await run()
    return performance.now() - startMs
  })
}

function plansFor (name: string, encode: Encode): readonly series.Plan[] {
  const sizes = [100, 200, 400, 800]
  return [
    { role: ROLE, quantity: `${name}: bytes over the socket for ask, grant and release`, unit: 'bytes', sizeOf: 'requests', sizes, sample: (requests) => socketBytes(requests, encode) },
    { role: ROLE, quantity: `${name}: CPU for ask, grant and release, both ends and a proxy`, unit: 'us', sizeOf: 'requests', sizes, sample: (requests) => cpuOfExchanges(requests, encode) },
    { role: ROLE, quantity: `${name}: time for ask, grant and release one after the other, through a proxy`, unit: 'ms', sizeOf: 'requests', sizes, sample: (requests) => timeOfExchanges(requests, encode) },
    { role: ROLE, quantity: `${name}: resident memory of open links, one end`, unit: 'bytes', sizeOf: 'links', sizes: [20, 80, 160, 320], sample: (connections) => memoryPerEnd(connections, encode) }
  ]
}

/** Measurements of peer connections, without and with compression. */
export const PLANS: readonly series.Plan[] = [
  ...plansFor('plain', (text) => text),
  ...plansFor('compressed', daemon.compression.compress)
]
