/**
 * Measures the cost of membership, of selecting addresses for callers, and of assigning pools.
 *
 * @module
 */
import * as daemon from '@persimmonhatch/daemon'
import * as membership from '@persimmonhatch/membership'
import * as resources from '../resources.js'
import type * as series from '../series.js'
import * as wire from '../wire.js'
import * as memberNetwork from './member-network.js'
import * as workload from '../workload.js'

const ROLE = 'member'
const SIZES = [8, 40, 160, 320]
const SETTLE_MS = 40_000
const MEASUREMENT_S = 10
const ADDRESS_SELECTIONS = 500
const ASSIGNMENTS = 5

const settledNetworks = new Map<number, memberNetwork.MemberNetwork>()

function settledNetwork (members: number): memberNetwork.MemberNetwork {
  const cachedNetwork = settledNetworks.get(members)
  if (cachedNetwork !== undefined) return cachedNetwork
  const network = new memberNetwork.MemberNetwork(members)
  network.run(SETTLE_MS)
  if (network.firstMemberViewSize() !== members) throw new Error(`the first of ${members} members sees ${network.firstMemberViewSize()}: let the network settle for longer`)
  settledNetworks.set(members, network)
  return network
}

function bytesPerSecond (members: number): number {
  const network = settledNetwork(members)
  const before = network.sentBytes
  network.run(MEASUREMENT_S * 1_000)
  return (network.sentBytes - before) / MEASUREMENT_S / members
}

function compressedBytesPerSecond (members: number): number {
  const network = settledNetwork(members)
  const before = network.sentMessages
  network.run(MEASUREMENT_S * 1_000)
  const bytes = network.recentMessages.map((text) => wire.networkBytes(daemon.compression.compress(text).length))
  const mean = bytes.reduce((sum, value) => sum + value, 0) / bytes.length
  return mean * (network.sentMessages - before) / MEASUREMENT_S / members
}

function messagesPerSecond (members: number): number {
  const network = settledNetwork(members)
  const before = network.sentMessages
  network.run(MEASUREMENT_S * 1_000)
  return (network.sentMessages - before) / MEASUREMENT_S / members
}

function cpuPerSecond (members: number): number {
  const network = settledNetwork(members)
  return resources.cpuMicrosPer(MEASUREMENT_S * members, () => network.run(MEASUREMENT_S * 1_000))
}

function heapPerDaemon (members: number): number {
  const bytes = resources.heapBytesOf(() => {
    const network = new memberNetwork.MemberNetwork(members)
    network.run(SETTLE_MS / 2)
    return network
  })
  return bytes / members
}

/**
 * Measures the bytes that each daemon sends per second while `updates` are disseminated, each applied by one daemon
 * first, averaged over ten seconds.
 */
function bytesOfUpdates (updates: number): number {
  const members = 160
  const network = settledNetwork(members)
  const before = network.sentBytes
  for (let index = 0; index < updates; index++) network.applyUpdate(index % members, { kind: 'revision', service: `service-${index % 20}`, revision: Math.floor(network.nowMs) + index })
  network.run(MEASUREMENT_S * 1_000)
  return (network.sentBytes - before) / MEASUREMENT_S / members
}

function cpuPerAddressSelection (members: number): number {
  const random = workload.seededRandom(5)
  const allMembers = Array.from({ length: members }, (_, index) => workload.createMember(index))
  const selectAddresses = (): unknown => membership.addresses.selectAddresses({ members: allMembers, availabilityZone: 'region-1-1', region: 'region-1', random })
  for (let index = 0; index < ADDRESS_SELECTIONS; index++) selectAddresses()
  return resources.cpuMicrosPer(ADDRESS_SELECTIONS, () => { for (let index = 0; index < ADDRESS_SELECTIONS; index++) JSON.stringify(selectAddresses()) })
}

function cpuPerAssignment (members: number, assign: daemon.assignment.Assign): number {
  const allMembers = Array.from({ length: members }, (_, index) => workload.createMember(index))
  const pools = Array.from({ length: 320 }, (_, index) => ({ pool: `pool-${index}`, region: `region-${index % 3}` }))
  assign(allMembers, pools)
  return resources.cpuMicrosPer(ASSIGNMENTS, () => { for (let index = 0; index < ASSIGNMENTS; index++) assign(allMembers, pools) })
}

/** Measurements of membership. */
export const PLANS: readonly series.Plan[] = [
  { role: ROLE, quantity: 'network bytes sent per second and daemon (as many are received)', unit: 'bytes', sizeOf: 'members', sizes: SIZES, sample: bytesPerSecond },
  { role: ROLE, quantity: 'the same, compressed', unit: 'bytes', sizeOf: 'members', sizes: SIZES, sample: compressedBytesPerSecond },
  { role: ROLE, quantity: 'messages sent per second and daemon', unit: 'messages', sizeOf: 'members', sizes: SIZES, sample: messagesPerSecond },
  { role: ROLE, quantity: 'CPU per second and daemon: core, text and checks, no sockets', unit: 'us', sizeOf: 'members', sizes: SIZES, sample: cpuPerSecond },
  { role: ROLE, quantity: 'heap per daemon', unit: 'bytes', sizeOf: 'members', sizes: SIZES, repeats: 1, sample: heapPerDaemon },
  { role: ROLE, quantity: 'network bytes sent per second and daemon of 160, with fresh news in ten seconds', unit: 'bytes', sizeOf: 'pieces of news', sizes: [0, 1, 10, 40], sample: bytesOfUpdates },
  { role: 'caller steering', quantity: 'CPU per answer', unit: 'us', sizeOf: 'members', sizes: SIZES, sample: cpuPerAddressSelection },
  { role: 'member', quantity: 'CPU to assign 320 pools to authorities', unit: 'us', sizeOf: 'members', sizes: SIZES, sample: (members) => cpuPerAssignment(members, membership.rendezvous.assignAuthorities) },
  { role: 'member', quantity: 'CPU to assign 320 pools to authorities again when neither changed', unit: 'us', sizeOf: 'members', sizes: SIZES, sample: (members) => cpuPerAssignment(members, daemon.assignment.createCachedAssign()) }
]
