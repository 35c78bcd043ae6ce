/**
 * What the end and the failure of a socket to a peer say about a connection to a target.
 *
 * @module
 */
import * as backing from '@persimmonhatch/backing-services'
import * as relayFrames from './relay-frames.js'

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

/**
 * Returns the transport over a socket to a peer. A peer that sends no frames can't say that the target has ended the connection.
 *
 * @example
 * ```ts
 * const connection = new backing.connection.Connection(socket, carriedBy({ hasFrames: true }))
 * ```
 */
export function carriedBy ({ hasFrames }: { readonly hasFrames: boolean }): backing.connection.Transport {
  const errorOf = (cause: string): Error => hasFrames ? new RelayLost(cause) : new UnexplainedEnd(cause)
  return {
    decoder: hasFrames ? relayFrames.createFrameDecoder() : backing.connection.PLAIN_DECODER,
    faultOfEnd: () => errorOf('its connection has ended'),
    errorOf
  }
}
