/**
 * Table of the peers: when each was last received from or reported by others, and which are in this daemon's
 * cell.
 *
 * Members of the cell report themselves. Each other cell is reported by one of its members, with a list of the
 * members that are reachable from there.
 *
 * @module
 */
import * as routing from '@persimmonhatch/routing'
import * as endpoint from './endpoint.js'
import type * as peerMessages from './peer-messages.js'

/** Time without a report after which a member of the own cell is not advertised to callers and its share of the caps is reserved for it, ms. */
export const PEER_TIMEOUT_MS = 1_000

/** Minimum interval of reports to other cells, ms. */
const FLEET_INTERVAL_MS = 1_000

/** Increase of that interval per cell, ms, which limits the messages of a large fleet. */
const FLEET_INTERVAL_PER_CELL_MS = 100

/** Number of missed listings after which a member of another cell is not advertised to callers. */
const MISSED_LISTINGS = 2.5

/** Time for which an unresponsive member stays in the division, ms: most respond again sooner, and the division should be stable. */
const DIVISION_RETENTION_MS = 10_000

/** Time without a report after which a peer is no longer a member, ms: it was replaced or removed. */
const MEMBER_RETENTION_MS = 60_000

/** The last report of a peer and when it was received. */
export interface Peer {
  readonly report: peerMessages.Report
  readonly lastReceivedMs: number
}

/** Recipients of reports. */
export interface Recipients {
  /** Members of the own cell. */
  readonly cell: readonly string[]
  /** Members of other cells that this daemon reports its cell to, and a few unresponsive endpoints, as they may respond again. */
  readonly fleet: readonly string[]
}

interface MemberRecord {
  readonly frontAddress: string
  readonly ready: boolean
  readonly lastSeenMs: number
}

/** Place of a daemon on the ring, which decides what it uses of the targets. */
export interface RingPlace {
  /** Segment whose targets the daemon's cell uses. */
  readonly segment: routing.cell.RingSegment
  readonly position: routing.rateShare.RingPosition
  /** Position among the members of the daemon's cell. */
  readonly cellPosition: routing.rateShare.RingPosition
}

/** The peers that hold targets as of a later position, the most recently heard first, and the first one's position. */
export interface LaterTargets {
  readonly endpoints: readonly string[]
  readonly position: routing.targetRegistry.Position | undefined
}

interface CachedDivision {
  /** Whether the fleet has a single cell, so that every daemon reports to every other. */
  readonly isSingleCell: boolean
  readonly division: routing.cell.Division
  readonly cellMembers: ReadonlySet<string>
  readonly atMs: number
}

/** Name by which the daemons of a cell agree on the one whose watches of the store are short. */
const STORE_READER = 'store-reader'

/** Number of members of another cell that are asked for what the cell knows. */
const ASKED_PER_CELL = 2

/** Maximum number of unresponsive endpoints that are sent a report at once. */
const MAX_UNRESPONSIVE_TRIED = 3

/** Time for which a computed division is reused, ms. */
const DIVISION_CACHE_MS = 100

/**
 * The peer table of one daemon.
 *
 * @example
 * ```ts
 * const table = new PeerTable('10.1.0.25:7600', Math.random)
 * table.discover('10.2.0.17:7600', nowMs)
 * ```
 */
export class PeerTable {
  private readonly peers = new Map<string, Peer>()
  private readonly members = new Map<string, MemberRecord>()
  /** Time at which each endpoint was discovered. */
  private readonly discovered = new Map<string, number>()
  private cachedDivision: CachedDivision | undefined
  /** Position when most members were last live. */
  private position: routing.rateShare.RingPosition | undefined

  constructor (private readonly localAddress: string, private readonly random: () => number) {}

  /** Accepts a report unless it is older than a previous one; returns whether the incarnation of its sender is known. */
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

  /** Adds an endpoint at which a peer may be reachable. */
  discover (address: string, nowMs: number): void {
    if (address !== this.localAddress && !this.discovered.has(address)) this.discovered.set(address, nowMs)
  }

  /** Returns whether an endpoint on a host is known. */
  knowsHost (host: string): boolean {
    return [...this.discovered.keys()].some((address) => endpoint.parseEndpoint(address).host === host)
  }

  /** Returns the recipients of reports. The reachable members of this cell share the members of each other cell in turn. */
  recipients (nowMs: number): Recipients {
    const { isSingleCell, division } = this.divide(nowMs)
    if (isSingleCell) return { cell: [...this.discovered.keys()], fleet: [] }
    const reachable = new Set(this.reachablePeers(nowMs).map(({ report }) => report.from))
    // A daemon that has just started or is isolated does not take over the recipients of the others.
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

  /** Whether the fleet has a single cell, so that every daemon reports to every other. */
  isSingleCell (nowMs: number): boolean {
    return this.divide(nowMs).isSingleCell
  }

  /** Returns for how long a watch of the store may wait without a change, ms. */
  watchWaitMs (nowMs: number): number {
    return routing.watchWait.watchWaitMs({
      isSingleCell: this.isSingleCell(nowMs),
      reachablePeers: this.reachablePeers(nowMs).length,
      isReader: this.isCellArbiterOf(STORE_READER, nowMs)
    })
  }

  /** Returns the interval of reports to other cells, ms. */
  fleetIntervalMs (nowMs: number): number {
    const { isSingleCell, division } = this.divide(nowMs)
    return isSingleCell ? FLEET_INTERVAL_MS : Math.max(FLEET_INTERVAL_MS, FLEET_INTERVAL_PER_CELL_MS * (1 + division.otherCells.length))
  }

  /** Returns this daemon's place on the ring. */
  place (nowMs: number): RingPlace {
    const { isSingleCell, division } = this.divide(nowMs)
    // An isolated daemon keeps its position, since the others keep counting it until they miss it for long.
    if (this.position === undefined || this.liveCount(nowMs) * 2 > this.memberCount(nowMs)) this.position = division.position
    const cellPosition = { index: division.ownCell.indexOf(this.localAddress), members: division.ownCell.length }
    return { segment: isSingleCell ? routing.cell.WHOLE_RING : division.segment, position: this.position, cellPosition }
  }

  /** Returns a name for the cell of a member of another cell. */
  cellOf (address: string, nowMs: number): string | undefined {
    const { isSingleCell, division } = this.divide(nowMs)
    const position = isSingleCell ? -1 : division.otherCells.findIndex((members) => members.includes(address))
    return position < 0 ? undefined : String(position)
  }

  /** Returns the reachable peers of the own cell and a few members of each other cell, other ones each time. */
  askedPeers (nowMs: number): readonly string[] {
    const remote = new Set(this.reachableRemoteMembers(nowMs).map(([address]) => address))
    const { isSingleCell, division } = this.divide(nowMs)
    const others = isSingleCell ? [] : division.otherCells.flatMap((members) => this.pickConsecutive(members.filter((address) => remote.has(address)), ASKED_PER_CELL))
    return [...this.reachablePeers(nowMs).map(({ report }) => report.from), ...others]
  }

  /** Returns the members of the own cell that have reported recently. */
  reachablePeers (nowMs: number): readonly Peer[] {
    const { isSingleCell, cellMembers } = this.divide(nowMs)
    return [...this.peers.values()].filter((peer) => nowMs - peer.lastReceivedMs < PEER_TIMEOUT_MS && (isSingleCell || cellMembers.has(peer.report.from)))
  }

  /** Returns all peers that have reported recently, the most recent first. */
  recentPeers (nowMs: number): readonly Peer[] {
    return [...this.peers.values()].filter((peer) => nowMs - peer.lastReceivedMs < this.remoteTimeoutMs(nowMs)).sort((a, b) => b.lastReceivedMs - a.lastReceivedMs)
  }

  /** Returns the peers whose reports name a later position of the targets. */
  withLaterTargets (ownPosition: routing.targetRegistry.Position, nowMs: number): LaterTargets {
    const ahead = this.recentPeers(nowMs)
      .map(({ report: { from, targetsPosition: [era, revision] } }) => ({ from, position: { era, revision } }))
      .filter(({ position }) => routing.targetRegistry.isLater(position, ownPosition))
    return { endpoints: ahead.map(({ from }) => from), position: ahead[0]?.position }
  }

  /** Returns the number of live members, this daemon included. */
  liveCount (nowMs: number): number {
    return 1 + this.reachablePeers(nowMs).length + this.reachableRemoteMembers(nowMs).length
  }

  /** Returns the number of members, this daemon included. */
  memberCount (nowMs: number): number {
    return 1 + [...this.members.values()].filter((member) => nowMs - member.lastSeenMs < MEMBER_RETENTION_MS).length
  }

  /** Returns how many of the daemons are live, also counting endpoints that were discovered recently and have not reported yet. */
  reach (nowMs: number): routing.tokenCap.Reach {
    const { isSingleCell, division: { ownCell, otherCells } } = this.divide(nowMs)
    const cells = isSingleCell || otherCells.length === 0 ? undefined : { count: 1 + otherCells.length, intervalMs: this.fleetIntervalMs(nowMs) }
    return { cells, live: this.liveCount(nowMs), members: Math.max(this.memberCount(nowMs), ownCell.length + otherCells.flat().length) }
  }

  /** Returns the front addresses of peers that accept requests. */
  frontAddresses (nowMs: number): readonly string[] {
    const live = [...this.reachablePeers(nowMs).map(({ report }) => report), ...this.reachableRemoteMembers(nowMs).map(([, member]) => member)]
    // If all peers have timed out, this daemon is the isolated one, so the last known addresses remain advertised.
    const advertised = live.length > 0 ? live : [...this.members.values()].filter((member) => nowMs - member.lastSeenMs < MEMBER_RETENTION_MS)
    return advertised.filter((member) => member.ready).map((member) => member.frontAddress)
  }

  /** Returns the members of the own cell and a few of other cells, for reports to peers. */
  listing (nowMs: number, remoteCount: number): readonly peerMessages.Member[] {
    return [
      ...this.reachablePeers(nowMs).map(({ report, lastReceivedMs }): peerMessages.Member => [report.from, report.frontAddress, report.ready, Math.round(nowMs - lastReceivedMs)]),
      ...this.pickConsecutive(this.reachableRemoteMembers(nowMs), remoteCount).map(([address, member]): peerMessages.Member => [address, member.frontAddress, member.ready, Math.round(nowMs - member.lastSeenMs)])
    ]
  }

  /** Returns whether this daemon is the one of the live members that decides about a name; members that hear each other agree. */
  isArbiterOf (name: string, nowMs: number): boolean {
    const live = [...this.reachablePeers(nowMs).map(({ report }) => report.from), ...this.reachableRemoteMembers(nowMs).map(([address]) => address)]
    return routing.cell.selectMember([this.localAddress, ...live], name) === this.localAddress
  }

  /** Returns whether this daemon is the one of the live members of its cell that decides about a name. */
  isCellArbiterOf (name: string, nowMs: number): boolean {
    return routing.cell.selectMember([this.localAddress, ...this.reachablePeers(nowMs).map(({ report }) => report.from)], name) === this.localAddress
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

  /** Returns the members of other cells that some daemon has received from recently. */
  private reachableRemoteMembers (nowMs: number): readonly (readonly [address: string, MemberRecord])[] {
    const { isSingleCell, cellMembers } = this.divide(nowMs)
    if (isSingleCell) return []
    const timeoutMs = this.remoteTimeoutMs(nowMs)
    return [...this.members].filter(([address, member]) => !cellMembers.has(address) && nowMs - member.lastSeenMs < timeoutMs)
  }
}
