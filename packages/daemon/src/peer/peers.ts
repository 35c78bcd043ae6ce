/**
 * Manages the connections to other daemons: one listener for incoming ones, and outgoing ones that are
 * opened when the first message is sent.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as ws from 'ws'
import * as compression from './compression.js'
import * as peerConnection from './peer-connection.js'
import * as listenerModule from './listener.js'

/** Maximum number of messages queued for a peer while its connection is being opened. */
const MAX_QUEUED_MESSAGES = 2_000

/** Timeout for opening a connection, milliseconds. */
const CONNECT_TIMEOUT_MS = 2_000

/** Dependencies of the connections. */
export interface Options {
  readonly listen: protocol.Address
  /** Encodes a message as a text frame or as a compressed binary frame. */
  readonly encode: peerConnection.Encode
  readonly clock: protocol.Clock
  readonly createHandshake: (expected: string) => protocol.Handshake
  readonly findMember: (incarnation: protocol.Incarnation) => protocol.MemberUpdate | undefined
  readonly onMessage: (from: protocol.Incarnation, message: protocol.PeerMessage) => void
  /** Called when a connection to a daemon was opened, by either side. */
  readonly onConnected: (member: protocol.MemberUpdate) => void
  readonly count: (counter: string, value: number) => void
}

/** All connections to other daemons. */
export interface Peers {
  readonly send: (outbound: protocol.Outbound) => void
  /** Closes the connection to a dead daemon. */
  readonly disconnect: (incarnation: protocol.Incarnation) => void
  /** Connects to an address whose incarnation is not known yet. */
  readonly connectToAddress: (address: protocol.Address) => void
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
  const connections = new Map<protocol.Incarnation, peerConnection.PeerConnection>()
  const allConnections = new Set<peerConnection.PeerConnection>()
  const queues = new Map<protocol.Incarnation, protocol.PeerMessage[]>()

  function startConnection (socket: ws.WebSocket, expected: string): peerConnection.PeerConnection {
    const connection = peerConnection.openPeerConnection({
      socket,
      clock: options.clock,
      encode: options.encode,
      createHandshake: () => options.createHandshake(expected),
      onOpen: (from, member) => handleOpen(from, member, expected),
      onMessage: (from, message) => {
        const peer = from.peer()
        if (peer !== undefined) options.onMessage(peer, message)
      },
      onClose: handleClose,
      count: options.count
    })
    allConnections.add(connection)
    return connection
  }

  function handleOpen (connection: peerConnection.PeerConnection, member: protocol.MemberUpdate, expected: string): void {
    if (expected !== '' && expected !== member.incarnation) return handleReplacedPeer(connection, member)
    connections.set(member.incarnation, connection)
    options.onConnected(member)
    const queued = queues.get(member.incarnation) ?? []
    queues.delete(member.incarnation)
    for (const message of queued) connection.send(message)
  }

  /** Handles an address that now belongs to another incarnation: reports that member and closes the connection. */
  function handleReplacedPeer (connection: peerConnection.PeerConnection, member: protocol.MemberUpdate): void {
    options.count('peers.foreign', 1)
    options.onConnected(member)
    connection.close()
  }

  function handleClose (connection: peerConnection.PeerConnection): void {
    allConnections.delete(connection)
    const peer = connection.peer()
    if (peer !== undefined && connections.get(peer) === connection) connections.delete(peer)
  }

  function connect (address: protocol.Address, expected: string): ws.WebSocket {
    const socket = new ws.WebSocket(`ws://${address}/`, { handshakeTimeout: CONNECT_TIMEOUT_MS, perMessageDeflate: false, maxPayload: compression.MAX_MESSAGE_BYTES })
    const connection = startConnection(socket, expected)
    socket.once('open', () => connection.sendHandshake())
    return socket
  }

  function connectAndSend (member: protocol.MemberUpdate, message: protocol.PeerMessage): void {
    queues.set(member.incarnation, [message])
    connect(member.peerAddress, member.incarnation).once('close', () => {
      const undelivered = queues.get(member.incarnation)?.length ?? 0
      queues.delete(member.incarnation)
      options.count('peers.undelivered', undelivered)
    })
  }

  function send (outbound: protocol.Outbound): void {
    const connection = connections.get(outbound.to)
    if (connection !== undefined) return connection.send(outbound.message)
    const queued = queues.get(outbound.to)
    if (queued !== undefined) {
      if (queued.length < MAX_QUEUED_MESSAGES) queued.push(outbound.message)
      return
    }
    const member = options.findMember(outbound.to)
    if (member === undefined) return options.count('peers.undelivered', 1)
    connectAndSend(member, outbound.message)
  }

  function disconnect (incarnation: protocol.Incarnation): void {
    connections.get(incarnation)?.close()
  }

  const listener = await listenerModule.openListener({
    listen: options.listen,
    maxMessageBytes: compression.MAX_MESSAGE_BYTES,
    onSocket: (socket) => { startConnection(socket, '') }
  })

  async function close (): Promise<void> {
    for (const connection of allConnections) connection.close()
    await listener.close()
  }

  return { send, disconnect, connectToAddress: (address) => { connect(address, '') }, tick: () => { for (const connection of allConnections) connection.tick() }, close }
}
