/**
 * One open connection to a peer: JSON-RPC 2.0 over a WebSocket.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'
import * as jsonRpc from 'json-rpc-2.0'
import type * as ws from 'ws'
import * as compression from './compression.js'
import * as livenessModule from './liveness.js'

/** Maximum bytes in the send buffer; above it the connection is closed, as the peer does not read. */
const MAX_BUFFERED_BYTES = 8_388_608

/** Time without a response to a sent message after which the peer is pinged, milliseconds. */
const PING_AFTER_MS = 2_000

/** Time without a response after which the connection is closed, milliseconds. */
const PEER_TIMEOUT_MS = 5_000

const HANDSHAKE_METHOD = 'hello'
const HANDSHAKE_REFUSED_CODE = -32_001

/** JSON-RPC id of the handshake, the only request sent on a connection. */
const HANDSHAKE_ID = 1

/** Encodes a message as a frame: a string is sent as a text frame, bytes as a binary frame. */
export type Encode = (text: string) => string | Uint8Array

/** Dependencies of a peer connection. */
export interface Options {
  readonly socket: ws.WebSocket
  readonly clock: protocol.Clock
  readonly encode: Encode
  /** Creates this daemon's handshake. */
  readonly createHandshake: () => protocol.Handshake
  /** Called when the peer has been identified by its handshake. */
  readonly onOpen: (connection: PeerConnection, member: protocol.MemberUpdate) => void
  readonly onMessage: (connection: PeerConnection, message: protocol.PeerMessage) => void
  readonly onClose: (connection: PeerConnection) => void
  readonly count: (counter: string, value: number) => void
}

/** An open connection to a peer. */
export interface PeerConnection {
  /** Incarnation of the peer; undefined until the handshake. */
  readonly peer: () => protocol.Incarnation | undefined
  readonly send: (message: protocol.PeerMessage) => void
  /** Sends the handshake; called by the side that opened the connection. */
  readonly sendHandshake: () => void
  readonly tick: () => void
  readonly close: () => void
}

/** Thrown when the peer uses another version of the protocol. */
export class VersionMismatch extends Error {
  constructor (peerVersion: number) {
    super(`The peer uses protocol version ${peerVersion}, this daemon version ${protocol.PROTOCOL_VERSION}: run the same release on both.`)
    this.name = 'VersionMismatch'
  }
}

/** Thrown when a handshake names this daemon itself, or another incarnation than the connection's earlier handshake. */
export class UnexpectedIncarnation extends Error {
  constructor (incarnation: protocol.Incarnation) {
    super(`The handshake names incarnation ${incarnation}, which does not match this connection: connect again.`)
    this.name = 'ForeignIncarnation'
  }
}

function parseHandshake (parameters: unknown): protocol.Handshake {
  const handshake = protocol.handshake.parse(parameters)
  if (handshake.version !== protocol.PROTOCOL_VERSION) throw new VersionMismatch(handshake.version)
  return handshake
}

/** Checks that the incarnation is not the local one and does not change on an open connection. */
function checkIncarnation (incarnation: protocol.Incarnation, local: protocol.Incarnation, previous: protocol.Incarnation | undefined): void {
  if (incarnation === local || (previous ?? incarnation) !== incarnation) throw new UnexpectedIncarnation(incarnation)
}

function createServer (count: Options['count'], acceptHandshake: (parameters: unknown) => protocol.Handshake): jsonRpc.JSONRPCServer {
  const server = new jsonRpc.JSONRPCServer({ errorListener: () => count('peers.rejected', 1) })
  server.addMethod(HANDSHAKE_METHOD, acceptHandshake)
  server.mapErrorToJSONRPCErrorResponse = (id, error: Error) => jsonRpc.createJSONRPCErrorResponse(id, HANDSHAKE_REFUSED_CODE, error.message)
  return server
}

/**
 * Handles one connection until it closes.
 *
 * @example
 * ```ts
 * const connection = openPeerConnection({ socket, clock, encode, createHandshake, onOpen, onMessage, onClose, count })
 * connection.sendHandshake()
 * ```
 */
export function openPeerConnection (options: Options): PeerConnection {
  const { socket, count } = options
  let peer: protocol.Incarnation | undefined
  const liveness = livenessModule.createLiveness(options.clock)
  let isHandshakePending = false

  const server = createServer(count, acceptHandshake)
  const client = new jsonRpc.JSONRPCClient(sendPayload, () => HANDSHAKE_ID)

  const connection: PeerConnection = { peer: () => peer, send, sendHandshake, tick, close: () => socket.terminate() }

  // The handshake is not compressed, so that daemons of other versions can read it.
  function sendPayload (payload: jsonRpc.JSONRPCRequest): void {
    const text = JSON.stringify(payload)
    sendFrame(payload.id === undefined ? options.encode(text) : text)
  }

  function sendFrame (frame: string | Uint8Array): void {
    if (socket.readyState !== socket.OPEN) return
    if (socket.bufferedAmount > MAX_BUFFERED_BYTES) return socket.terminate()
    liveness.recordSent()
    count('peers.sentBytes', frame.length)
    socket.send(frame)
  }

  function send (message: protocol.PeerMessage): void {
    const { kind, ...parameters } = message
    client.notify(kind, parameters)
  }

  function identifyPeer (member: protocol.MemberUpdate): void {
    checkIncarnation(member.incarnation, options.createHandshake().member.incarnation, peer)
    if (peer !== undefined) return
    peer = member.incarnation
    options.onOpen(connection, member)
  }

  function acceptHandshake (parameters: unknown): protocol.Handshake {
    const handshake = parseHandshake(parameters)
    identifyPeer(handshake.member)
    return options.createHandshake()
  }

  function sendHandshake (): void {
    isHandshakePending = true
    client.request(HANDSHAKE_METHOD, options.createHandshake()).then(
      (reply: unknown) => identifyPeer(parseHandshake(reply).member)
    ).then(undefined, () => {
      count('peers.greetingRefused', 1)
      socket.terminate()
    })
  }

  function handleNotification (method: string, parameters: unknown): void {
    const message = protocol.peerMessage.safeParse({ ...(parameters as object), kind: method })
    if (!message.success || peer === undefined) return count('peers.rejected', 1)
    options.onMessage(connection, message.data)
  }

  /** Accepts one reply to the handshake and rejects all others. */
  function handleReply (reply: jsonRpc.JSONRPCResponse): void {
    if (!isHandshakePending || reply.id !== HANDSHAKE_ID) return count('peers.rejected', 1)
    isHandshakePending = false
    client.receive(reply)
  }

  function handleFrame (frame: Buffer, isBinary: boolean): void {
    liveness.recordReceived()
    count('peers.receivedBytes', frame.length)
    const text = isBinary ? compression.decompress(frame) : frame.toString('utf8')
    const payload = text === undefined ? undefined : parsePayload(text)
    if (payload === undefined) return count('peers.rejected', 1)
    if (jsonRpc.isJSONRPCResponse(payload)) return handleReply(payload)
    if (!jsonRpc.isJSONRPCRequest(payload)) return count('peers.rejected', 1)
    if (payload.id === undefined) return handleNotification(payload.method, payload.params)
    if (!server.hasMethod(payload.method)) count('peers.rejected', 1)
    server.receive(payload).then((reply) => { if (reply !== null) sendFrame(JSON.stringify(reply)) }).then(undefined, () => count('peers.rejected', 1))
  }

  function tick (): void {
    const isUnidentified = peer === undefined && liveness.ageMs() > PEER_TIMEOUT_MS
    if (isUnidentified || liveness.unresponsiveMs() > PEER_TIMEOUT_MS) return socket.terminate()
    if (liveness.unresponsiveMs() > PING_AFTER_MS && socket.readyState === socket.OPEN) socket.ping()
  }

  socket.on('message', (data, isBinary) => handleFrame(data as Buffer, isBinary))
  socket.on('pong', liveness.recordReceived)
  socket.on('error', () => count('peers.errors', 1))
  socket.on('close', () => {
    client.rejectAllPendingRequests('closed')
    options.onClose(connection)
  })
  return connection
}

function parsePayload (text: string): Readonly<Record<string, unknown>> | undefined {
  try {
    const payload: unknown = JSON.parse(text)
    return typeof payload === 'object' && payload !== null && !Array.isArray(payload) ? payload as Readonly<Record<string, unknown>> : undefined
  } catch {
    return undefined
  }
}
