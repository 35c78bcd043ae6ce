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

/** Bytes waiting to be sent above which a link is given up: the peer does not read. */
const MAX_BUFFERED_BYTES = 8_388_608

/** Silence after a message was sent that makes the link ask for a sign of life, milliseconds. */
const PING_AFTER_MS = 2_000

/** Silence after which the link is given up, milliseconds. */
const PEER_TIMEOUT_MS = 5_000

const HANDSHAKE_METHOD = 'hello'
const HANDSHAKE_REFUSED_CODE = -32_001

/** Identity of the only request that a link makes, its greeting. */
const HANDSHAKE_ID = 1

/** Gives the frame that carries a message: text as it is, or compressed bytes. */
export type Encode = (text: string) => string | Uint8Array

/** What a link needs of its surroundings. */
export interface Options {
  readonly socket: ws.WebSocket
  readonly clock: protocol.Clock
  readonly encode: Encode
  /** This daemon's own greeting. */
  readonly createHandshake: () => protocol.Greeting
  /** Called once the peer has said who it is. */
  readonly onOpen: (connection: PeerConnection, member: protocol.MemberNews) => void
  readonly onMessage: (connection: PeerConnection, message: protocol.PeerMessage) => void
  readonly onClose: (connection: PeerConnection) => void
  readonly count: (counter: string, value: number) => void
}

/** An open connection to a peer. */
export interface PeerConnection {
  /** Undefined until the peer has said who it is. */
  readonly peer: () => protocol.Incarnation | undefined
  readonly send: (message: protocol.PeerMessage) => void
  /** Greets the peer; the side that connected calls it first. */
  readonly sendHandshake: () => void
  readonly tick: () => void
  readonly close: () => void
}

/** The peer speaks another version of the protocol. */
export class VersionMismatch extends Error {
  constructor (peerVersion: number) {
    super(`The peer speaks version ${peerVersion}, this daemon version ${protocol.PROTOCOL_VERSION}: run the same release on both.`)
    this.name = 'VersionMismatch'
  }
}

/** The greeting is not from, or not for, the daemon that the link belongs to. */
export class UnexpectedIncarnation extends Error {
  constructor (incarnation: protocol.Incarnation) {
    super(`The greeting names incarnation ${incarnation}, which this connection does not belong to: connect again.`)
    this.name = 'ForeignIncarnation'
  }
}

function parseHandshake (parameters: unknown): protocol.Greeting {
  const handshake = protocol.greeting.parse(parameters)
  if (handshake.version !== protocol.PROTOCOL_VERSION) throw new VersionMismatch(handshake.version)
  return handshake
}

/** A peer greets under one name, which is not this daemon's own. */
function checkIncarnation (incarnation: protocol.Incarnation, local: protocol.Incarnation, previous: protocol.Incarnation | undefined): void {
  if (incarnation === local || (previous ?? incarnation) !== incarnation) throw new UnexpectedIncarnation(incarnation)
}

function createServer (count: Options['count'], acceptHandshake: (parameters: unknown) => protocol.Greeting): jsonRpc.JSONRPCServer {
  const server = new jsonRpc.JSONRPCServer({ errorListener: () => count('peers.rejected', 1) })
  server.addMethod(HANDSHAKE_METHOD, acceptHandshake)
  server.mapErrorToJSONRPCErrorResponse = (id, error: Error) => jsonRpc.createJSONRPCErrorResponse(id, HANDSHAKE_REFUSED_CODE, error.message)
  return server
}

/**
 * Runs one connection until it closes.
 *
 * @example
 * ```ts
 * const link = openLink({ socket, clock, greet, onOpen, onMessage, onClose, count })
 * link.greet()
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

  // The greeting goes as text, so that daemons of other versions can read it.
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

  function identifyPeer (member: protocol.MemberNews): void {
    checkIncarnation(member.incarnation, options.createHandshake().member.incarnation, peer)
    if (peer !== undefined) return
    peer = member.incarnation
    options.onOpen(connection, member)
  }

  function acceptHandshake (parameters: unknown): protocol.Greeting {
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

  /** Takes the reply to the greeting, once. */
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
