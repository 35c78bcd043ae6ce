/**
 * All connections to other daemons: one listener, links opened when something is to be sent.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as ws from 'ws'
import * as compression from './compression.js'
import * as linkModule from './link.js'
import * as listenerModule from './listener.js'

/** Messages kept for a peer while its connection is being opened. */
const MAX_QUEUED_MESSAGES = 2_000

/** Time for a connection to open, milliseconds. */
const CONNECT_TIMEOUT_MS = 2_000

/** What the connections need of their surroundings. */
export interface Options {
  readonly listen: protocol.Address
  /** Gives the frame that carries a message; a text frame goes as it is, a binary one compressed. */
  readonly encode: linkModule.Encode
  readonly clock: protocol.Clock
  readonly greet: (wanted: string) => protocol.Handshake
  readonly findMember: (incarnation: protocol.Incarnation) => protocol.MemberUpdate | undefined
  readonly onMessage: (from: protocol.Incarnation, message: protocol.PeerMessage) => void
  /** A connection to a daemon was opened, by either side. */
  readonly onConnected: (member: protocol.MemberUpdate) => void
  readonly count: (counter: string, value: number) => void
}

/** All connections to other daemons. */
export interface Peers {
  readonly send: (outbound: protocol.Outbound) => void
  /** Closes the connections to a daemon that is gone. */
  readonly drop: (incarnation: protocol.Incarnation) => void
  /** Connects to an address without knowing who is there. */
  readonly introduce: (address: protocol.Address) => void
  readonly tick: () => void
  readonly close: () => Promise<void>
}

/**
 * Listens for other daemons.
 *
 * @example
 * ```ts
 * const peers = await openPeers(options)
 * peers.send({ to: incarnation, message: { kind: 'round', round: 7 } })
 * ```
 */
export async function openPeers (options: Options): Promise<Peers> {
  const links = new Map<protocol.Incarnation, linkModule.Link>()
  const all = new Set<linkModule.Link>()
  const dialing = new Map<protocol.Incarnation, protocol.PeerMessage[]>()

  function startLink (socket: ws.WebSocket, wanted: string): linkModule.Link {
    const link = linkModule.openLink({
      socket,
      clock: options.clock,
      encode: options.encode,
      greet: () => options.greet(wanted),
      onOpen: (from, member) => opened(from, member, wanted),
      onMessage: (from, message) => {
        const peer = from.peer()
        if (peer !== undefined) options.onMessage(peer, message)
      },
      onClose: closed,
      count: options.count
    })
    all.add(link)
    return link
  }

  function opened (link: linkModule.Link, member: protocol.MemberUpdate, wanted: string): void {
    if (wanted !== '' && wanted !== member.incarnation) return meetSuccessor(link, member)
    links.set(member.incarnation, link)
    options.onConnected(member)
    const queued = dialing.get(member.incarnation) ?? []
    dialing.delete(member.incarnation)
    for (const message of queued) link.send(message)
  }

  /** The wanted daemon's address belongs to another incarnation now: learn of it, and close. */
  function meetSuccessor (link: linkModule.Link, member: protocol.MemberUpdate): void {
    options.count('peers.foreign', 1)
    options.onConnected(member)
    link.close()
  }

  function closed (link: linkModule.Link): void {
    all.delete(link)
    const peer = link.peer()
    if (peer !== undefined && links.get(peer) === link) links.delete(peer)
  }

  function connect (address: protocol.Address, wanted: string): ws.WebSocket {
    const socket = new ws.WebSocket(`ws://${address}/`, { handshakeTimeout: CONNECT_TIMEOUT_MS, perMessageDeflate: false, maxPayload: compression.MAX_MESSAGE_BYTES })
    const link = startLink(socket, wanted)
    socket.once('open', () => link.greet())
    return socket
  }

  function dial (member: protocol.MemberUpdate, message: protocol.PeerMessage): void {
    dialing.set(member.incarnation, [message])
    connect(member.peerAddress, member.incarnation).once('close', () => {
      const lost = dialing.get(member.incarnation)?.length ?? 0
      dialing.delete(member.incarnation)
      options.count('peers.undelivered', lost)
    })
  }

  function send (outbound: protocol.Outbound): void {
    const link = links.get(outbound.to)
    if (link !== undefined) return link.send(outbound.message)
    const queued = dialing.get(outbound.to)
    if (queued !== undefined) {
      if (queued.length < MAX_QUEUED_MESSAGES) queued.push(outbound.message)
      return
    }
    const member = options.findMember(outbound.to)
    if (member === undefined) return options.count('peers.undelivered', 1)
    dial(member, outbound.message)
  }

  function drop (incarnation: protocol.Incarnation): void {
    links.get(incarnation)?.close()
  }

  const listener = await listenerModule.openListener({
    listen: options.listen,
    maxMessageBytes: compression.MAX_MESSAGE_BYTES,
    onSocket: (socket) => { startLink(socket, '') }
  })

  async function close (): Promise<void> {
    for (const link of all) link.close()
    await listener.close()
  }

  return { send, drop, introduce: (address) => { connect(address, '') }, tick: () => { for (const link of all) link.tick() }, close }
}
