/**
 * One open connection to a peer: JSON-RPC 2.0 over a WebSocket.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'
import * as jsonRpc from 'json-rpc-2.0'
import type * as ws from 'ws'
import * as compression from './compression.js'
import * as silenceModule from './silence.js'

/** Bytes waiting to be sent above which a link is given up: the peer does not read. */
const MAX_BUFFERED_BYTES = 8_388_608

/** Silence after a message was sent that makes the link ask for a sign of life, milliseconds. */
const QUIET_MS = 2_000

/** Silence after which the link is given up, milliseconds. */
const DEAD_MS = 5_000

const HELLO = 'hello'
const REFUSED_GREETING_CODE = -32_001

/** Identity of the only request that a link makes, its greeting. */
const GREETING_ID = 1

/** Gives the frame that carries a message: text as it is, or compressed bytes. */
export type Encode = (text: string) => string | Uint8Array

/** What a link needs of its surroundings. */
export interface Options {
  readonly socket: ws.WebSocket
  readonly clock: protocol.Clock
  readonly encode: Encode
  /** This daemon's own greeting. */
  readonly greet: () => protocol.Handshake
  /** Called once the peer has said who it is. */
  readonly onOpen: (link: Link, member: protocol.MemberUpdate) => void
  readonly onMessage: (link: Link, message: protocol.PeerMessage) => void
  readonly onClose: (link: Link) => void
  readonly count: (counter: string, value: number) => void
}

/** An open connection to a peer. */
export interface Link {
  /** Undefined until the peer has said who it is. */
  readonly peer: () => protocol.Incarnation | undefined
  readonly send: (message: protocol.PeerMessage) => void
  /** Greets the peer; the side that connected calls it first. */
  readonly greet: () => void
  readonly tick: () => void
  readonly close: () => void
}

/** The peer speaks another version of the protocol. */
export class VersionMismatch extends Error {
  constructor (theirs: number) {
    super(`The peer speaks version ${theirs}, this daemon version ${protocol.PROTOCOL_VERSION}: run the same release on both.`)
    this.name = 'VersionMismatch'
  }
}

/** The greeting is not from, or not for, the daemon that the link belongs to. */
export class ForeignIncarnation extends Error {
  constructor (incarnation: protocol.Incarnation) {
    super(`The greeting names incarnation ${incarnation}, which this connection does not belong to: connect again.`)
    this.name = 'ForeignIncarnation'
  }
}

function readGreeting (parameters: unknown): protocol.Handshake {
  const greeting = protocol.handshake.parse(parameters)
  if (greeting.version !== protocol.PROTOCOL_VERSION) throw new VersionMismatch(greeting.version)
  return greeting
}

/** A peer greets under one name, which is not this daemon's own. */
function checkIncarnation (incarnation: protocol.Incarnation, own: protocol.Incarnation, former: protocol.Incarnation | undefined): void {
  if (incarnation === own || (former ?? incarnation) !== incarnation) throw new ForeignIncarnation(incarnation)
}

function createServer (count: Options['count'], acceptGreeting: (parameters: unknown) => protocol.Handshake): jsonRpc.JSONRPCServer {
  const server = new jsonRpc.JSONRPCServer({ errorListener: () => count('peers.rejected', 1) })
  server.addMethod(HELLO, acceptGreeting)
  server.mapErrorToJSONRPCErrorResponse = (id, error: Error) => jsonRpc.createJSONRPCErrorResponse(id, REFUSED_GREETING_CODE, error.message)
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
export function openLink (options: Options): Link {
  const { socket, count } = options
  let peer: protocol.Incarnation | undefined
  const silence = silenceModule.createSilence(options.clock)
  let isGreetingOpen = false

  const server = createServer(count, acceptGreeting)
  const client = new jsonRpc.JSONRPCClient(sendPayload, () => GREETING_ID)

  const link: Link = { peer: () => peer, send, greet, tick, close: () => socket.terminate() }

  // The greeting goes as text, so that daemons of other versions can read it.
  function sendPayload (payload: jsonRpc.JSONRPCRequest): void {
    const text = JSON.stringify(payload)
    transmit(payload.id === undefined ? options.encode(text) : text)
  }

  function transmit (frame: string | Uint8Array): void {
    if (socket.readyState !== socket.OPEN) return
    if (socket.bufferedAmount > MAX_BUFFERED_BYTES) return socket.terminate()
    silence.sent()
    count('peers.sentBytes', frame.length)
    socket.send(frame)
  }

  function send (message: protocol.PeerMessage): void {
    const { kind, ...parameters } = message
    client.notify(kind, parameters)
  }

  function identify (member: protocol.MemberUpdate): void {
    checkIncarnation(member.incarnation, options.greet().member.incarnation, peer)
    if (peer !== undefined) return
    peer = member.incarnation
    options.onOpen(link, member)
  }

  function acceptGreeting (parameters: unknown): protocol.Handshake {
    const greeting = readGreeting(parameters)
    identify(greeting.member)
    return options.greet()
  }

  function greet (): void {
    isGreetingOpen = true
    client.request(HELLO, options.greet()).then(
      (answer: unknown) => identify(readGreeting(answer).member)
    ).then(undefined, () => {
      count('peers.greetingRefused', 1)
      socket.terminate()
    })
  }

  function receiveNotification (method: string, parameters: unknown): void {
    const message = protocol.peerMessage.safeParse({ ...(parameters as object), kind: method })
    if (!message.success || peer === undefined) return count('peers.rejected', 1)
    options.onMessage(link, message.data)
  }

  /** Takes the reply to the greeting, once. */
  function receiveReply (reply: jsonRpc.JSONRPCResponse): void {
    if (!isGreetingOpen || reply.id !== GREETING_ID) return count('peers.rejected', 1)
    isGreetingOpen = false
    client.receive(reply)
  }

  function receive (frame: Buffer, isBinary: boolean): void {
    silence.heard()
    count('peers.receivedBytes', frame.length)
    const text = isBinary ? compression.decompress(frame) : frame.toString('utf8')
    const payload = text === undefined ? undefined : parsePayload(text)
    if (payload === undefined) return count('peers.rejected', 1)
    if (jsonRpc.isJSONRPCResponse(payload)) return receiveReply(payload)
    if (!jsonRpc.isJSONRPCRequest(payload)) return count('peers.rejected', 1)
    if (payload.id === undefined) return receiveNotification(payload.method, payload.params)
    if (!server.hasMethod(payload.method)) count('peers.rejected', 1)
    server.receive(payload).then((answer) => { if (answer !== null) transmit(JSON.stringify(answer)) }).then(undefined, () => count('peers.rejected', 1))
  }

  function tick (): void {
    const isNameless = peer === undefined && silence.ageMs() > DEAD_MS
    if (isNameless || silence.lengthMs() > DEAD_MS) return socket.terminate()
    if (silence.lengthMs() > QUIET_MS && socket.readyState === socket.OPEN) socket.ping()
  }

  socket.on('message', (data, isBinary) => receive(data as Buffer, isBinary))
  socket.on('pong', silence.heard)
  socket.on('error', () => count('peers.errors', 1))
  socket.on('close', () => {
    client.rejectAllPendingRequests('closed')
    options.onClose(link)
  })
  return link
}

function parsePayload (text: string): Readonly<Record<string, unknown>> | undefined {
  try {
    const payload: unknown = JSON.parse(text)
    return typeof payload === 'object' && payload !== null && !Array.isArray(payload) ? payload as Readonly<Record<string, unknown>> : undefined
  } catch {
    return undefined
  }
}
