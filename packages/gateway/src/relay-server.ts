/**
 * Carries connections of peers that are cut off from targets, as the method CONNECT of HTTP/1.1 describes. Bytes are passed on
 * unchanged in both directions, so the peer keeps its request and all decisions about it.
 *
 * @module
 */
import type * as http from 'node:http'
import * as net from 'node:net'
import * as endpoint from './endpoint.js'
import * as relayFrames from './relay-frames.js'

/** Time limit for connecting to the target, ms. */
const CONNECT_TIMEOUT_MS = 300

/** Maximum number of connections that are carried at once, which leaves most descriptors to this daemon's own callers. */
const MAX_RELAYED = 600

const FORBIDDEN = '403 Forbidden'
const BAD_GATEWAY = '502 Bad Gateway'
const UNAVAILABLE = '503 Service Unavailable'

/** Decisions of the relay and its counter. */
export interface Options {
  /** Whether a host is that of a known peer. */
  readonly isPeer: (host: string) => boolean
  /** Whether an address is that of a registered target. */
  readonly isTarget: (address: string) => boolean
  /** Whether no new connections to a target may be opened: this daemon's own path is lost, or the target leaves or pauses. */
  readonly isClosed: (address: string) => boolean
  readonly countResult: (result: 'carried' | 'refused' | 'unreachable') => void
}

function refuse (socket: net.Socket, status: string): void {
  socket.end(`HTTP/1.1 ${status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`)
}

/** Joins two connections; the end or failure of one ends the other in the same way, or says so in a frame. */
function join (peer: net.Socket, target: net.Socket, hasFrames: boolean): void {
  const encoder = hasFrames ? relayFrames.createFrameEncoder() : undefined
  const fail = (): void => {
    target.resetAndDestroy()
    if (encoder === undefined) {
      peer.resetAndDestroy()
    } else if (!peer.writableEnded) {
      encoder.unpipe(peer)
      peer.end(relayFrames.FAILURE_FRAME)
    }
  }
  // A target that was reset together with its last data reports a regular end, without a remote address.
  target.prependListener('end', () => { if (target.remoteAddress === undefined) fail() })
  target.on('error', fail)
  peer.on('error', () => { target.resetAndDestroy() })
  // A peer that ends its side has left its exchange, at which the target must stop.
  peer.once('end', () => { target.destroy() })
  peer.once('close', () => { target.destroy() })
  target.once('close', () => { if (!target.readableEnded) fail() })
  peer.pipe(target)
  if (encoder === undefined) target.pipe(peer)
  else target.pipe(encoder).pipe(peer)
}

/** The connections that are carried for peers. */
export interface Relay {
  /** Returns the number of connections, those included that are being opened. */
  readonly open: () => number
  /** Resets all connections, so that none looks as if its target had ended it. */
  readonly close: () => void
}

/**
 * Serves CONNECT requests of peers on a listener.
 *
 * @example
 * ```ts
 * const relay = serveRelay(server, { isPeer, isTarget, isClosed, countResult })
 * ```
 */
export function serveRelay (server: http.Server, options: Options): Relay {
  /** The connections of peers whose target is connected or being connected. */
  const relayed = new Set<net.Socket>()

  function refusalOf (address: string, host: string): string | undefined {
    if (!options.isPeer(host) || !options.isTarget(address)) return FORBIDDEN
    if (options.isClosed(address)) return BAD_GATEWAY
    return relayed.size >= MAX_RELAYED ? UNAVAILABLE : undefined
  }

  server.on('connect', (request: http.IncomingMessage, peer: net.Socket) => {
    const address = request.url ?? ''
    peer.on('error', () => { peer.destroy() })
    const refusal = refusalOf(address, peer.remoteAddress ?? '')
    if (refusal !== undefined) {
      options.countResult('refused')
      refuse(peer, refusal)
      return
    }
    relayed.add(peer)
    peer.setNoDelay(true)
    const hasFrames = request.headers[relayFrames.FRAMES_HEADER] === relayFrames.FRAMES_VERSION
    const { host, port } = endpoint.parseEndpoint(address)
    const target = net.connect({ host, port, noDelay: true })
    const timer = setTimeout(() => { target.destroy(new Error(`timed out after ${CONNECT_TIMEOUT_MS} ms`)) }, CONNECT_TIMEOUT_MS)
    const fail = (): void => {
      options.countResult('unreachable')
      refuse(peer, BAD_GATEWAY)
    }
    target.once('error', fail)
    target.once('close', () => {
      clearTimeout(timer)
      relayed.delete(peer)
    })
    target.once('connect', () => {
      clearTimeout(timer)
      target.off('error', fail)
      options.countResult('carried')
      const frames = hasFrames ? `${relayFrames.FRAMES_HEADER}: ${relayFrames.FRAMES_VERSION}\r\n` : ''
      peer.write(`HTTP/1.1 200 Connection Established\r\n${frames}\r\n`)
      join(peer, target, hasFrames)
    })
    peer.once('close', () => { target.destroy() })
  })

  return {
    open: () => relayed.size,
    close: () => { for (const peer of relayed) peer.resetAndDestroy() }
  }
}
