/**
 * Which peers there are and when each was last heard.
 *
 * @module
 */
import type * as knowledge from './knowledge.js'

/** Silence after which a peer is not named to callers, ms. */
const SILENT_MS = 1_000

/** Silence after which a peer no longer counts as a member, ms: it was replaced or removed. */
const FORGET_MS = 60_000

/** What is known of a peer. */
export interface Peer {
  readonly report: knowledge.Report
  readonly heardMs: number
}

/** The table. */
export interface PeerTable {
  /** Takes a report; undefined when it is older than one that was taken. */
  readonly take: (report: knowledge.Report, nowMs: number) => { readonly before: knowledge.Report | undefined } | undefined
  /** Adds an endpoint that is worth a try. */
  readonly introduce: (address: string) => void
  /** Every endpoint that gets reports. */
  readonly addresses: () => Iterable<string>
  readonly heard: (nowMs: number) => readonly Peer[]
  /** Members, this daemon included. */
  readonly size: (nowMs: number) => number
  /** Front addresses of peers that take requests. */
  readonly frontAddresses: (nowMs: number) => readonly string[]
}

/**
 * Creates the table.
 *
 * @example
 * ```ts
 * const table = createPeerTable('10.1.0.25:7600')
 * table.introduce('10.2.0.17:7600')
 * ```
 */
export function createPeerTable (own: string): PeerTable {
  const peers = new Map<string, Peer>()
  const introduced = new Set<string>()

  const heard = (nowMs: number): readonly Peer[] => [...peers.values()].filter((peer) => nowMs - peer.heardMs < SILENT_MS)

  return {
    take: (report, nowMs) => {
      if (report.from === own) return undefined
      const before = peers.get(report.from)?.report
      const same = before?.incarnation === report.incarnation
      if (same && before.sequence >= report.sequence) return undefined
      peers.set(report.from, { report, heardMs: nowMs })
      introduced.add(report.from)
      for (const address of report.peers) if (address !== own) introduced.add(address)
      return { before: same ? before : undefined }
    },
    introduce: (address) => { if (address !== own) introduced.add(address) },
    addresses: () => introduced,
    heard,
    size: (nowMs) => 1 + [...peers.values()].filter((peer) => nowMs - peer.heardMs < FORGET_MS).length,
    frontAddresses: (nowMs) => {
      const live = heard(nowMs)
      // When every peer fell silent at once it is this daemon that is cut off, so the last known ones stay named.
      const named = live.length > 0 ? live : [...peers.values()].filter((peer) => nowMs - peer.heardMs < FORGET_MS)
      return named.filter((peer) => peer.report.ready).map((peer) => peer.report.frontAddress)
    }
  }
}
