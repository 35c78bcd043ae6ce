/**
 * Which peers there are, when each was last heard, and which of them share this daemon's cell.
 *
 * Members of the cell are known by their own reports. Of the others one member of each cell tells, with a
 * list of those it hears.
 *
 * @module
 */
import * as routing from '@persimmonhatch/routing'
import type * as peerMessages from './peer-messages.js'

/** Silence after which a member of the own cell is not named to callers, and its share of the caps is left to it, ms. */
export const PEER_TIMEOUT_MS = 1_000

/** Shortest interval at which other cells are told, ms. */
const FLEET_INTERVAL_MS = 1_000

/** What each cell adds to that interval, ms, so that the messages of a large fleet stay few. */
const FLEET_INTERVAL_PER_CELL_MS = 100

/** Lists of its cell that are missed before a member of another cell is not named to callers. */
const MISSED_LISTINGS = 2.5

/** Time for which a silent member keeps its place in the division, ms: most come back sooner, and places should stay. */
const DIVISION_RETENTION_MS = 10_000

/** Silence after which a peer no longer counts as a member, ms: it was replaced or removed. */
const MEMBER_RETENTION_MS = 60_000

/** What is known of a peer. */
export interface Peer {
  readonly report: peerMessages.Report
  readonly lastReceivedMs: number
}

/** Who gets reports. */
export interface Recipients {
  /** Members of the own cell. */
  readonly cell: readonly string[]
  /** Members of other cells that this daemon tells what its cell does, and a few endpoints that nobody hears: one may be back. */
  readonly fleet: readonly string[]
}

interface MemberRecord {
  readonly frontAddress: string
  readonly ready: boolean
  readonly lastSeenMs: number
}

interface CachedDivision {
  /** Whether the fleet is so small that everybody tells everybody. */
  readonly isSingleCell: boolean
  readonly division: routing.cell.Division
  readonly cellMembers: ReadonlySet<string>
  readonly atMs: number
}

/** Endpoints that nobody hears which are tried at once. */
const MAX_UNRESPONSIVE_TRIED = 3

/** Time for which a division is used again, ms. */
const DIVISION_CACHE_MS = 100

/**
 * The table of member daemon.
 *
 * @example
 * ```ts
 * const table = new PeerTable('10.1.0.25:7600', Math.random)
 * table.introduce('10.2.0.17:7600', nowMs)
 * ```
 */
export class PeerTable {
  private readonly peers = new Map<string, Peer>()
  private readonly members = new Map<string, MemberRecord>()
  /** When each endpoint was first named. */
  private readonly discovered = new Map<string, number>()
  private cachedDivision: CachedDivision | undefined

  constructor (private readonly localAddress: string, private readonly random: () => number) {}

  /** Takes a report unless it is older than member that was taken; says whether its sender is known. */
  accept (report: peerMessages.Report, nowMs: number): 'old' | 'new' | 'known' {
    if (report.from === this.localAddress) return 'old'
    const previous = this.peers.get(report.from)?.report
    const isSameIncarnation = previous?.incarnation === report.incarnation
    if (isSameIncarnation && previous.sequence >= report.sequence) return 'old'
    this.peers.set(report.from, { report, lastReceivedMs: nowMs })
    this.updateMember([report.from, report.frontAddress, report.ready, 0], nowMs)
    for (const member of report.members) this.updateMember(member, nowMs)
    return isSameIncarnation ? 'known' : 'new'
  }

  /** Adds an endpoint that is worth a try. */
  discover (address: string, nowMs: number): void {
    if (address !== this.localAddress && !this.discovered.has(address)) this.discovered.set(address, nowMs)
  }

  /** Who gets reports. Each member of another cell is told by the member of this cell whose turn it is by place. */
  recipients (nowMs: number): Recipients {
    const { isSingleCell, division } = this.divide(nowMs)
    if (isSingleCell) return { cell: [...this.discovered.keys()], fleet: [] }
    const reachable = new Set(this.reachablePeers(nowMs).map(({ report }) => report.from))
    // A daemon that has just started, or is cut off, does not take the others' turns.
    const reporters = reachable.size === 0 ? division.ownCell : division.ownCell.filter((address) => address === this.localAddress || reachable.has(address))
    const position = reporters.indexOf(this.localAddress)
    const currentMembers = new Set([...division.ownCell, ...division.otherCells.flat()])
    const reportedTo = division.otherCells.flatMap((addresses) => addresses.filter((_, index) => index % reporters.length === position))
    const unresponsive = [...this.discovered.keys()].filter((address) => !currentMembers.has(address))
    return {
      cell: division.ownCell.filter((address) => address !== this.localAddress),
      fleet: [...reportedTo, ...this.pickConsecutive(unresponsive, MAX_UNRESPONSIVE_TRIED)]
    }
  }

  /** Whether the fleet is so small that everybody tells everybody. */
  isSingleCell (nowMs: number): boolean {
    return this.divide(nowMs).isSingleCell
  }

  /** Interval at which other cells are told, ms. */
  fleetIntervalMs (nowMs: number): number {
    const { isSingleCell, division } = this.divide(nowMs)
    return isSingleCell ? FLEET_INTERVAL_MS : Math.max(FLEET_INTERVAL_MS, FLEET_INTERVAL_PER_CELL_MS * (1 + division.otherCells.length))
  }

  /** This daemon's part of every service's targets. */
  segment (nowMs: number): routing.cell.RingSegment {
    const { isSingleCell, division } = this.divide(nowMs)
    return isSingleCell ? routing.cell.WHOLE_RING : division.segment
  }

  /** A name for the cell of a member of another cell. */
  cellOf (address: string, nowMs: number): string | undefined {
    const { isSingleCell, division } = this.divide(nowMs)
    const position = isSingleCell ? -1 : division.otherCells.findIndex((members) => members.includes(address))
    return position < 0 ? undefined : String(position)
  }

  /** Members of the own cell that were heard lately. */
  reachablePeers (nowMs: number): readonly Peer[] {
    const { isSingleCell, cellMembers } = this.divide(nowMs)
    return [...this.peers.values()].filter((peer) => nowMs - peer.lastReceivedMs < PEER_TIMEOUT_MS && (isSingleCell || cellMembers.has(peer.report.from)))
  }

  /** All whose reports came lately, the latest first. */
  recentPeers (nowMs: number): readonly Peer[] {
    return [...this.peers.values()].filter((peer) => nowMs - peer.lastReceivedMs < this.remoteTimeoutMs(nowMs)).sort((a, b) => b.lastReceivedMs - a.lastReceivedMs)
  }

  /** Members that are alive, this daemon included. */
  liveCount (nowMs: number): number {
    return 1 + this.reachablePeers(nowMs).length + this.reachableRemoteMembers(nowMs).length
  }

  /** Members, this daemon included. */
  memberCount (nowMs: number): number {
    return 1 + [...this.members.values()].filter((member) => nowMs - member.lastSeenMs < MEMBER_RETENTION_MS).length
  }

  /** Front addresses of peers that take requests. */
  frontAddresses (nowMs: number): readonly string[] {
    const live = [...this.reachablePeers(nowMs).map(({ report }) => report), ...this.reachableRemoteMembers(nowMs).map(([, member]) => member)]
    // When every peer fell silent at once it is this daemon that is cut off, so the last known ones stay named.
    const advertised = live.length > 0 ? live : [...this.members.values()].filter((member) => nowMs - member.lastSeenMs < MEMBER_RETENTION_MS)
    return advertised.filter((member) => member.ready).map((member) => member.frontAddress)
  }

  /** What peers are told of the members of the own cell, and of a few of the others. */
  listing (nowMs: number, remoteCount: number): readonly peerMessages.Member[] {
    return [
      ...this.reachablePeers(nowMs).map(({ report, lastReceivedMs }): peerMessages.Member => [report.from, report.frontAddress, report.ready, Math.round(nowMs - lastReceivedMs)]),
      ...this.pickConsecutive(this.reachableRemoteMembers(nowMs), remoteCount).map(([address, member]): peerMessages.Member => [address, member.frontAddress, member.ready, Math.round(nowMs - member.lastSeenMs)])
    ]
  }

  private remoteTimeoutMs (nowMs: number): number {
    return MISSED_LISTINGS * this.fleetIntervalMs(nowMs)
  }

  private pickConsecutive<Item> (items: readonly Item[], count: number): readonly Item[] {
    const first = Math.floor(this.random() * items.length)
    return [...items.slice(first), ...items.slice(0, first)].slice(0, count)
  }

  private updateMember ([address, frontAddress, ready, ageMs]: peerMessages.Member, nowMs: number): void {
    if (address === this.localAddress) return
    this.discover(address, nowMs)
    const previous = this.members.get(address)
    const lastSeenMs = nowMs - ageMs
    if (previous === undefined || previous.lastSeenMs < lastSeenMs) this.members.set(address, { frontAddress, ready, lastSeenMs })
  }

  private divide (nowMs: number): CachedDivision {
    if (this.cachedDivision !== undefined && nowMs - this.cachedDivision.atMs < DIVISION_CACHE_MS) return this.cachedDivision
    const currentMembers = [...this.discovered]
      .filter(([address, atMs]) => nowMs - Math.max(atMs, this.members.get(address)?.lastSeenMs ?? 0) < DIVISION_RETENTION_MS)
      .map(([address]) => address)
    const division = routing.cell.divide(this.localAddress, [this.localAddress, ...currentMembers], routing.cell.cellCount(1 + currentMembers.length))
    this.cachedDivision = { isSingleCell: routing.cell.cellCount(1 + this.discovered.size) === 1, division, cellMembers: new Set(division.ownCell), atMs: nowMs }
    return this.cachedDivision
  }

  /** Members of other cells that somebody heard lately. */
  private reachableRemoteMembers (nowMs: number): readonly (readonly [address: string, MemberRecord])[] {
    const { isSingleCell, cellMembers } = this.divide(nowMs)
    if (isSingleCell) return []
    const timeoutMs = this.remoteTimeoutMs(nowMs)
    return [...this.members].filter(([address, member]) => !cellMembers.has(address) && nowMs - member.lastSeenMs < timeoutMs)
  }
}
