/**
 * Fixture: a fleet of daemons that report to each other, in simulated time.
 */
import * as gatewayPackage from '@persimmonhatch/gateway'
import * as routing from '@persimmonhatch/routing'
import * as distribution from 'pure-rand/distribution/uniformFloat64'
import * as generator from 'pure-rand/generator/xoroshiro128plus'

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
}

export interface Fleet {
  readonly members: readonly Member[]
  /** Messages and bytes per second that a daemon sent on average during the last simulation. */
  readonly mean: () => { readonly messages: number, readonly bytes: number }
  /** Runs the fleet; `eachSecond` is called at the start of every second. */
  readonly simulate: (durationMs: number, reaches: (from: number, to: number) => boolean, eachSecond?: () => void) => void
  readonly now: () => number
}

export function createMember (address: string, random: () => number): Member {
  const peers = new gatewayPackage.peerTable.PeerTable(address, random)
  const caps = routing.tokenCap.createTokenCaps({ toleratedTokens: 0 })
  caps.adopt([ORGANISATION], 0)
  const suspects = new routing.suspects.Suspects()
  const registry = routing.targetRegistry.createTargetRegistry()
  const writer = gatewayPackage.reportWriter.createReportWriter({
    sender: { from: address, incarnation: address, frontAddress: address.replace('7600', '80') },
    peers,
    pools: { loads: () => ({}) } as never,
    caps,
    suspects,
    registry,
    isReady: () => true,
    documentVersion: () => 1
  })
  return { address, peers, writer, caps, suspects, registry, reportedTokens: gatewayPackage.reportedTokens.createReportedTokens({ caps, countCellTokens: writer.countCellTokens, cellOf: (peer, nowMs) => peers.cellOf(peer, nowMs), intervalMs: (nowMs) => peers.fleetIntervalMs(nowMs) }) }
}

/** Creates a fleet in which every daemon knows the first `seeds` members at the start. */
export function createFleet (size: number, seeds: number): Fleet {
  const source = generator.xoroshiro128plus(size)
  const random = (): number => distribution.uniformFloat64(source)
  const members = Array.from({ length: size }, (_, index) => createMember(`10.0.${Math.floor(index / 100)}.${index % 100}:7600`, random))
  const indexes = new Map(members.map((member, index) => [member.address, index]))
  for (const { peers } of members) for (const seed of members.slice(0, seeds)) peers.discover(seed.address, 0)
  let nowMs = 0
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

  const mean = (): { readonly messages: number, readonly bytes: number } => ({
    messages: sent.messages * MS_PER_S / simulatedMs / size,
    bytes: sent.bytes * MS_PER_S / simulatedMs / size
  })
  return { members, mean, simulate, now: () => nowMs }
}

export const CONNECTED = (): boolean => true
