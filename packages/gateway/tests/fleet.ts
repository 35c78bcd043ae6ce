/**
 * Fixture: a fleet of daemons that report to each other, in simulated time.
 */
import * as gatewayPackage from '@persimmonhatch/gateway'
import * as routing from '@persimmonhatch/routing'
import * as distribution from 'pure-rand/distribution/uniformFloat64'
import * as generator from 'pure-rand/generator/xoroshiro128plus'
import * as servicePools from '../src/service-pools.js'

const CELL_INTERVAL_MS = 200
const MS_PER_S = 1_000
const ORGANISATION: routing.document.Organisation = { name: 'maarif', keys: [], priority: undefined, cap: { tokensPerS: 1, burst: 10_000_000 }, plainTokens: 0 }

export interface Member {
  readonly address: string
  readonly peers: gatewayPackage.peerTable.PeerTable
  readonly writer: gatewayPackage.reportWriter.ReportWriter
  readonly caps: routing.tokenCap.TokenCaps
  readonly reportedTokens: gatewayPackage.reportedTokens.ReportedTokens
  readonly suspects: routing.suspects.Suspects
  readonly registry: routing.targetRegistry.TargetRegistry
  readonly targetLimits: routing.targetLimits.TargetLimits
  readonly streams: routing.streamVersions.StreamVersions
  /** Calls a function for each new beginning of a stream. */
  readonly onBeginning: (listener: (beginning: routing.streamVersions.StreamBeginning) => void) => void
  readonly pauses: routing.targetPauses.TargetPauses
  readonly pools: servicePools.ServicePools
  readonly paths: routing.targetPaths.TargetPaths
}

export interface Fleet {
  readonly members: readonly Member[]
  /** Messages and bytes per second that a daemon sent on average during the last simulation. */
  readonly mean: () => { readonly messages: number, readonly bytes: number }
  /** Runs the fleet; `eachSecond` is called at the start of every second. */
  readonly simulate: (durationMs: number, reaches: (from: number, to: number) => boolean, eachSecond?: () => void) => void
  readonly now: () => number
  /** Replaces a member by one that has just started and knows the first `seeds` members. */
  readonly restart: (index: number) => void
}

export function createMember (address: string, random: () => number, now: () => number = () => 0, incarnation = address): Member {
  const peers = new gatewayPackage.peerTable.PeerTable(address, random)
  const caps = routing.tokenCap.createTokenCaps({ toleratedTokens: 0 })
  caps.adopt([ORGANISATION], 0)
  const suspects = new routing.suspects.Suspects()
  const registry = routing.targetRegistry.createTargetRegistry()
  const targetLimits = routing.targetLimits.createTargetLimits((target) => registry.startOf(target))
  let noteBeginning: (beginning: routing.streamVersions.StreamBeginning) => void = () => {}
  const streams = routing.streamVersions.createStreamVersions((beginning) => { noteBeginning(beginning) })
  const paths = routing.targetPaths.createTargetPaths({ random, onChange: () => {} })
  const pauses = routing.targetPauses.createTargetPauses(random)
  const pools = servicePools.createServicePools({ now, random, registry, pauses, limitOf: targetLimits.limitOf, onSilent: paths.suspect, changed: () => {} })
  const writer = gatewayPackage.reportWriter.createReportWriter({
    sender: { from: address, incarnation, frontAddress: address.replace('7600', '80') },
    peers,
    pools,
    caps,
    suspects,
    targetLimits,
    targetPauses: pauses,
    streams,
    registry,
    paths,
    isReady: () => true,
    documentVersion: () => 1
  })
  return { address, peers, writer, caps, suspects, registry, targetLimits, streams, onBeginning: (listener) => { noteBeginning = listener }, pauses, pools, paths, reportedTokens: gatewayPackage.reportedTokens.createReportedTokens({ caps, countCellTokens: writer.countCellTokens, cellOf: (peer, nowMs) => peers.cellOf(peer, nowMs), intervalMs: (nowMs) => peers.fleetIntervalMs(nowMs) }) }
}

/** Creates a fleet in which every daemon knows the first `seeds` members at the start; `clock` is the time of its pools, by default that of the reports. */
export function createFleet (size: number, seeds: number, clock?: () => number): Fleet {
  const source = generator.xoroshiro128plus(size)
  const random = (): number => distribution.uniformFloat64(source)
  let nowMs = 0
  const now = clock ?? ((): number => nowMs)
  const addresses = Array.from({ length: size }, (_, index) => `10.0.${Math.floor(index / 100)}.${index % 100}:7600`)
  const members = addresses.map((address) => createMember(address, random, now))
  const indexes = new Map(addresses.map((address, index) => [address, index]))
  for (const { peers } of members) for (const seed of addresses.slice(0, seeds)) peers.discover(seed, 0)
  let simulatedMs = 0
  const lastListingMs = new Map<number, number>()
  let sent = { messages: 0, bytes: 0 }

  function deliver (from: number, addresses: readonly string[], report: gatewayPackage.peerMessages.Report, reaches: (from: number, to: number) => boolean): void {
    sent = { messages: sent.messages + addresses.length, bytes: sent.bytes + addresses.length * JSON.stringify({ jsonrpc: '2.0', method: 'report', params: gatewayPackage.peerMessages.toMessage(report) }).length }
    for (const address of addresses) {
      const to = indexes.get(address) ?? -1
      const member = members[to]
      if (member === undefined || !reaches(from, to)) continue
      if (member.peers.accept(report, nowMs) === 'old') continue
      member.reportedTokens.apply(report, nowMs)
      member.suspects.applyReport(report.suspects, report.scope, nowMs)
      const changed = report.limits.map(gatewayPackage.peerMessages.limitStatementOf).filter((statement) => member.targetLimits.apply(statement, report.scope, nowMs))
      if (changed.length > 0) refreshTargets(member, nowMs)
      member.streams.applyReport(report.streams, nowMs)
      const departed = report.departures.filter((row) => member.registry.depart(gatewayPackage.peerMessages.departureOf(row)))
      if (departed.length > 0) refreshTargets(member, nowMs)
      for (const [target, durationMs, told] of report.pauses) {
        if (told === member.address || member.paths.isLost(target)) member.pauses.record({ target, durationMs, told }, nowMs)
      }
      if (report.scope !== 'cell') continue
      member.pools.applyPeerLoads(report.from, report.pools)
      member.paths.applyReport(report.from, report.lostTargets)
    }
  }

  function simulate (durationMs: number, reaches: (from: number, to: number) => boolean, eachSecond?: () => void): void {
    sent = { messages: 0, bytes: 0 }
    simulatedMs = durationMs
    for (const endMs = nowMs + durationMs; nowMs < endMs; nowMs += CELL_INTERVAL_MS) {
      if (nowMs % MS_PER_S === 0) eachSecond?.()
      for (const [index, { peers, writer }] of members.entries()) {
        const withListing = nowMs - (lastListingMs.get(index) ?? -Infinity) >= peers.fleetIntervalMs(nowMs)
        if (withListing) lastListingMs.set(index, nowMs)
        const recipients = peers.recipients(nowMs)
        deliver(index, recipients.cell, writer.writeForCell(withListing, nowMs), reaches)
        if (withListing) deliver(index, recipients.fleet, writer.writeForFleet(nowMs), reaches)
      }
    }
  }

  function restart (index: number): void {
    const address = addresses[index] ?? ''
    const member = createMember(address, random, now, `${address} ${nowMs}`)
    for (const seed of addresses.slice(0, seeds)) member.peers.discover(seed, nowMs)
    members[index] = member
    lastListingMs.delete(index)
  }

  const mean = (): { readonly messages: number, readonly bytes: number } => ({
    messages: sent.messages * MS_PER_S / simulatedMs / size,
    bytes: sent.bytes * MS_PER_S / simulatedMs / size
  })
  return { members, mean, simulate, now: () => nowMs, restart }
}

/** Assigns the targets to the pools of a member, as a gateway does several times a second. */
export function refreshTargets ({ peers, pools }: Member, nowMs: number): void {
  pools.refreshTargets(peers.place(nowMs), nowMs)
}

export const CONNECTED = (): boolean => true
