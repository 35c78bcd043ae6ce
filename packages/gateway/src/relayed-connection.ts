/**
 * Connections to targets that a peer carries.
 *
 * @module
 */
import type * as net from 'node:net'
import * as stream from 'node:stream'
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
 * One connection to a target through a peer. Its readable side ends only when the peer says that the target has ended the
 * connection; if the peer's connection ends without that, it fails.
 *
 * @example
 * ```ts
 * const connection = new RelayedConnection(socket, { hasFrames: true })
 * ```
 */
export class RelayedConnection extends stream.Duplex {
  /** The peer's address. It stays when the connection ends, as an end that is reported is no reset. */
  readonly remoteAddress: string | undefined
  /** Number of bytes received from the target. */
  bytesRead = 0
  private readonly decoder: relayFrames.FrameDecoder
  private hasEnded = false

  /** `hasFrames`: whether the peer sends frames; one without can't say that the target has ended the connection. */
  constructor (private readonly socket: net.Socket, { hasFrames }: { readonly hasFrames: boolean }) {
    super({ allowHalfOpen: false })
    const lose = (cause: string): void => { if (!this.hasEnded) this.destroy(hasFrames ? new RelayLost(cause) : new UnexplainedEnd(cause)) }
    this.remoteAddress = socket.remoteAddress
    this.decoder = hasFrames ? relayFrames.createFrameDecoder() : { * push (chunk) { yield chunk } }
    socket.on('data', (chunk: Buffer) => { this.receive(chunk) })
    socket.once('end', () => { lose('its connection has ended') })
    socket.once('close', () => { lose('its connection is closed') })
    socket.on('error', (error) => { lose(error.message) })
  }

  ref (): this {
    this.socket.ref()
    return this
  }

  unref (): this {
    this.socket.unref()
    return this
  }

  override _read (): void {
    this.socket.resume()
  }

  override _write (chunk: Buffer, encoding: BufferEncoding, done: (error?: Error | null) => void): void {
    this.socket.write(chunk, encoding, done)
  }

  override _final (done: (error?: Error | null) => void): void {
    this.socket.end()
    done()
  }

  override _destroy (error: Error | null, done: (error?: Error | null) => void): void {
    this.socket.destroy()
    done(error)
  }

  private receive (chunk: Buffer): void {
    try {
      for (const bytes of this.decoder.push(chunk)) {
        if (this.hasEnded) return
        this.hasEnded = bytes === undefined
        this.bytesRead += bytes?.length ?? 0
        if (!this.push(bytes ?? null) && !this.hasEnded) this.socket.pause()
      }
    } catch (error) {
      this.destroy(error as Error)
    }
  }
}
