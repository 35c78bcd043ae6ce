/**
 * Connections that tell a regular end from a reset, over a socket to the target itself or to a peer that carries the connection.
 *
 * @module
 */
import type * as net from 'node:net'
import * as stream from 'node:stream'

/** The connection has failed. */
class ConnectionLost extends Error {
  constructor (cause: string) {
    super(`The connection is lost (${cause}). So is the rest of the response; whether the request has run is unknown.`)
    this.name = 'ConnectionLost'
  }
}

/** Decodes the bytes of a socket. */
export interface Decoder {
  /** Yields bytes of the target, or `undefined` at the end of the target's connection. */
  readonly push: (chunk: Buffer) => Iterable<Buffer | undefined>
}

/** How the bytes, the end and the failure of a socket relate to the target. */
export interface Transport {
  /** Decodes the bytes of the socket into those of the target; `undefined` is the end of the target's connection. */
  readonly decoder: Decoder
  /** Returns why the regular end of the socket is not that of the target's connection; undefined if it is. */
  readonly faultOfEnd: (socket: net.Socket) => Error | undefined
  /** Returns the error of the connection when the socket has failed. */
  readonly errorOf: (cause: string) => Error
}

/** Passes on the bytes of a socket as they are. */
export const PLAIN_DECODER: Decoder = { * push (chunk) { yield chunk } }

/** A socket to the target itself. */
export const DIRECT: Transport = {
  decoder: PLAIN_DECODER,
  // When data and a reset arrive together, Node reports a regular end, but the socket has no remote address any more.
  faultOfEnd: (socket) => socket.remoteAddress === undefined ? new ConnectionLost('it was reset') : undefined,
  // The error has no code: undici takes an error with the code ECONNRESET for the regular end of a response without a length.
  errorOf: (cause) => new ConnectionLost(cause)
}

/**
 * One connection to a target. Its readable side ends only if the target has ended the connection in the regular way; any
 * other end is an error, which follows after all bytes that were received before it.
 *
 * @example
 * ```ts
 * const connection = new Connection(socket, transport)
 * ```
 */
export class Connection extends stream.Duplex {
  /** Number of bytes received from the target. */
  bytesRead = 0
  /** Whether the reader has read all bytes and waits for more. */
  private isWanted = false
  private isHeld = false
  /** Whether nothing that the socket still receives belongs to the target's connection. */
  private isOver = false
  private failure: Error | undefined

  constructor (private readonly socket: net.Socket, private readonly transport: Transport) {
    // With a mark of 0, more is asked for only when all was read, so that a failure overtakes no bytes.
    super({ allowHalfOpen: false, readableHighWaterMark: 0 })
    socket.on('readable', () => { this.pull() })
    // Prepended, because the socket's own listener closes it, and a reset is recognized by its state.
    socket.prependOnceListener('end', () => {
      const fault = transport.faultOfEnd(socket)
      if (fault === undefined) this.finish()
      else this.fail(fault)
    })
    socket.on('error', (error) => { this.fail(transport.errorOf(error.message)) })
    socket.once('close', () => { this.fail(transport.errorOf('its connection is closed')) })
  }

  /** Passes on no more of what the socket receives until `release`; the socket stops reading when its buffer is full. */
  hold (): void {
    this.isHeld = true
  }

  release (): void {
    this.isHeld = false
    this.pull()
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
    this.isWanted = true
    this.pull()
  }

  override _write (chunk: Buffer, _: BufferEncoding, done: () => void): void {
    // A write that fails also fails the socket, which is reported after the bytes that were received.
    this.socket.write(chunk, () => { done() })
  }

  override _writev (chunks: readonly { readonly chunk: Buffer }[], done: () => void): void {
    this.socket.cork()
    chunks.forEach(({ chunk }, index) => { this.socket.write(chunk, index === chunks.length - 1 ? () => { done() } : undefined) })
    this.socket.uncork()
  }

  override _final (done: () => void): void {
    this.socket.end()
    done()
  }

  override _destroy (error: Error | null, done: (error?: Error | null) => void): void {
    this.socket.destroy()
    done(error)
  }

  /** Passes on what was received, and then the failure, as soon as the reader waits for it. */
  private pull (): void {
    if (this.isHeld) return
    while (this.isWanted && !this.destroyed) {
      const chunk = this.isOver ? null : this.socket.read() as Buffer | null
      if (chunk === null) break
      this.receive(chunk)
    }
    if (this.isWanted && this.failure !== undefined) this.destroy(this.failure)
  }

  private receive (chunk: Buffer): void {
    let hasEnded = false
    try {
      for (const bytes of this.transport.decoder.push(chunk)) {
        hasEnded = bytes === undefined
        if (bytes === undefined) break
        this.isWanted = false
        this.bytesRead += bytes.length
        this.push(bytes)
      }
    } catch (error) {
      this.fail(error as Error)
      this.isOver = true
    }
    if (hasEnded) this.finish()
  }

  private finish (): void {
    if (this.isOver) return
    this.isOver = true
    this.isWanted = false
    this.push(null)
  }

  private fail (error: Error): void {
    if (this.isOver) return
    this.failure ??= error
    this.pull()
  }
}

/**
 * Returns a connection over a connected socket, in the form that undici takes it.
 *
 * @example
 * ```ts
 * socket.once('connect', () => { callback(null, asSocket(new Connection(socket, DIRECT))) })
 * ```
 */
export function asSocket (connection: Connection): net.Socket {
  // undici uses nothing of the connection that a stream doesn't have.
  return connection as unknown as net.Socket
}
