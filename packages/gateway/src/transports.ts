/**
 * What the end and the failure of a socket say about a connection to a target.
 *
 * @module
 */
import * as relayFrames from './relay-frames.js'
import type * as targetConnection from './target-connection.js'

/** The connection to the target has failed. */
class TargetLost extends Error {
  constructor (cause: string) {
    super(`The connection to the target is lost (${cause}). So is the rest of the response; whether the request has run is unknown.`)
    this.name = 'TargetLost'
  }
}

/** The peer's connection has ended or failed, which says nothing of the target. */
export class RelayLost extends Error {
  constructor (cause: string) {
    super(`The peer that carried the connection is lost (${cause}). So is the rest of the response; whether the request has run is unknown.`)
    this.name = 'RelayLost'
  }
}

/** A connection through a peer that sends no frames has ended or failed, be it because of the peer or of the target. */
class UnexplainedEnd extends Error {
  constructor (cause: string) {
    super(`The connection through a peer of an older build has ended (${cause}). Whether the target has ended it is unknown.`)
    this.name = 'UnexplainedEnd'
  }
}

const PLAIN_DECODER: relayFrames.FrameDecoder = { * push (chunk) { yield chunk } }

/** A socket to the target itself. */
export const DIRECT: targetConnection.Transport = {
  decoder: PLAIN_DECODER,
  // When data and a reset arrive together, Node reports a regular end, but the socket has no remote address any more.
  faultOfEnd: (socket) => socket.remoteAddress === undefined ? new TargetLost('it was reset') : undefined,
  errorOf: (cause) => new TargetLost(cause)
}

/**
 * Returns the transport over a socket to a peer. A peer that sends no frames can't say that the target has ended the connection.
 *
 * @example
 * ```ts
 * const connection = new targetConnection.TargetConnection(socket, carriedBy({ hasFrames: true }))
 * ```
 */
export function carriedBy ({ hasFrames }: { readonly hasFrames: boolean }): targetConnection.Transport {
  const errorOf = (cause: string): Error => hasFrames ? new RelayLost(cause) : new UnexplainedEnd(cause)
  return {
    decoder: hasFrames ? relayFrames.createFrameDecoder() : PLAIN_DECODER,
    faultOfEnd: () => errorOf('its connection has ended'),
    errorOf
  }
}
