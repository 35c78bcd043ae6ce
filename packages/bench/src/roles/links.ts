/**
 * What open connections between daemons cost, with real sockets on loopback.
 *
 * @module
 */
import * as daemon from '@persimmonhatch/daemon'
import type * as protocol from '@persimmonhatch/protocol'
import * as system from '@persimmonhatch/system'
import * as resources from '../resources.js'
import type * as series from '../series.js'
import * as workload from '../workload.js'

const ROLE = 'connections between daemons'
const MESSAGES = 3_000
const WAIT_MS = 5

interface Hub {
  readonly peers: daemon.peers.Peers
  readonly received: () => number
}

function pause (milliseconds: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}

async function openHub (index: number, address: string, members: ReadonlyMap<string, protocol.MemberNews>): Promise<Hub> {
  let received = 0
  const peers = await daemon.peers.openPeers({
    listen: address,
    clock: () => performance.now(),
    greet: () => ({ version: 1, member: { ...workload.memberOf(index), peerAddress: address }, wanted: '' }),
    findMember: (incarnation) => members.get(incarnation),
    onMessage: () => { received += 1 },
    onConnected: () => {},
    count: () => {}
  })
  return { peers, received: () => received }
}

/** Hubs of which the first is connected to every other. */
async function openStar (links: number): Promise<readonly Hub[]> {
  const ports = await system.freePorts.findFreePorts(links + 1)
  const members = new Map<string, protocol.MemberNews>()
  const hubs: Hub[] = []
  for (const [index, port] of ports.entries()) {
    const address = `127.0.0.1:${port}`
    members.set(workload.incarnationOf(index), { ...workload.memberOf(index), peerAddress: address })
    hubs.push(await openHub(index, address, members))
  }
  return hubs
}

async function connectAll (hubs: readonly Hub[]): Promise<void> {
  for (let index = 1; index < hubs.length; index++) hubs[0]?.peers.send({ to: workload.incarnationOf(index), message: { kind: 'round', round: 1 } })
  while (hubs.slice(1).some((hub) => hub.received() === 0)) await pause(WAIT_MS)
}

async function closeAll (hubs: readonly Hub[]): Promise<void> {
  await Promise.all(hubs.map((hub) => hub.peers.close()))
}

/** Both ends are in this process, so each link holds half of the growth. */
async function memoryPerEnd (links: number): Promise<number> {
  const hubs = await openStar(links)
  const before = resources.heldBytes()
  await connectAll(hubs)
  const after = resources.heldBytes()
  await closeAll(hubs)
  return (after - before) / 2
}

function askOf (index: number): protocol.Ask {
  const { organisation, promptTokens, fingerprint, prefixes } = workload.arrivalOf(index, 4, 1)
  return { kind: 'ask', ask: index, pool: workload.POOL, service: workload.SERVICE, organisation: organisation ?? '', tier: 2, promptTokens, answerTokens: 300, prefixes, deadlineMs: 120_000, nonIdempotent: false, fingerprint, waitedMs: 0, round: 77 }
}

/** Sends asks in bursts of `burst`; each waits until the one before has arrived. */
async function cpuPerMessage (burst: number): Promise<number> {
  const hubs = await openStar(1)
  const receiver = hubs[1]
  await connectAll(hubs)
  const cpu = await resources.cpuMicrosPerAsync(MESSAGES, async () => {
    for (let sent = 0; sent < MESSAGES; sent += burst) {
      const target = (receiver?.received() ?? 0) + burst
      for (let index = 0; index < burst; index++) hubs[0]?.peers.send({ to: workload.incarnationOf(1), message: askOf(sent + index) })
      while ((receiver?.received() ?? target) < target) await new Promise((resolve) => { setImmediate(resolve) })
    }
  })
  await closeAll(hubs)
  return cpu
}

/** What is measured of connections. */
export const PLANS: readonly series.Plan[] = [
  { role: ROLE, quantity: 'heap and buffers of open links, one end', unit: 'bytes', sizeOf: 'links', sizes: [20, 80, 160, 320], sample: memoryPerEnd },
  { role: ROLE, quantity: 'CPU per ask over a socket, both ends', unit: 'us', sizeOf: 'messages in a burst', sizes: [1, 4, 16, 60], sample: cpuPerMessage }
]
