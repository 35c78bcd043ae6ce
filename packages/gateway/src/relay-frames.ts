/**
 * Frames of the bytes that a peer carries from a target. A frame is the number of its bytes, as an unsigned 32-bit integer in
 * network byte order, and these bytes. An empty frame says that the target has ended its connection in the regular way, and a
 * header of all ones that the target's connection has failed. The end of the peer's own connection says neither, since a process
 * that stops or is killed ends it in the same way.
 *
 * @module
 */
import * as stream from 'node:stream'

/** Header of a CONNECT request and its response, by which both sides agree on frames. Builds without it ignore it. */
export const FRAMES_HEADER = 'persimmonhatch-relay-frames'

/** Value of the header for the frames described here. */
export const FRAMES_VERSION = '1'

const HEADER_BYTES = 4

/** Maximum size of a frame, bytes; the encoder makes smaller ones, as it gets what was read from a socket at once. */
const MAX_FRAME_BYTES = 16_777_216

/** The peer has sent bytes that are no frame. */
export class MalformedFrame extends Error {
  constructor (bytes: number) {
    super(`A frame of ${bytes} bytes exceeds ${MAX_FRAME_BYTES}. Check that the peer runs a build of this project.`)
    this.name = 'MalformedFrame'
  }
}

/** Header which says that the target's connection has failed. */
const FAILURE = 0xffff_ffff

/** The frame which says that the target's connection has failed. */
export const FAILURE_FRAME = encodeHeader(FAILURE)

/** The target's connection has failed, as the peer says. */
export class TargetFailure extends Error {
  constructor () {
    super('The connection of the peer to the target has failed.')
    this.name = 'TargetFailure'
  }
}

function encodeHeader (bytes: number): Buffer {
  const header = Buffer.alloc(HEADER_BYTES)
  header.writeUInt32BE(bytes)
  return header
}

/**
 * Returns a transform that puts the bytes written to it into frames, and ends with an empty one.
 *
 * @example
 * ```ts
 * target.pipe(createFrameEncoder()).pipe(peer)
 * ```
 */
export function createFrameEncoder (): stream.Transform {
  return new stream.Transform({
    transform (chunk: Buffer, _, done) {
      // A frame is written at once, so that what is written next follows a whole one.
      done(null, Buffer.concat([encodeHeader(chunk.length), chunk]))
    },
    flush (done) {
      done(null, encodeHeader(0))
    }
  })
}

/** Decodes frames; `undefined` is the end. */
export interface FrameDecoder {
  /** Yields the bytes of frames as they arrive, also in part. */
  readonly push: (chunk: Buffer) => Generator<Buffer | undefined, void>
}

/**
 * Creates a decoder of one connection.
 *
 * @example
 * ```ts
 * for (const bytes of decoder.push(chunk)) handle(bytes)
 * ```
 */
export function createFrameDecoder (): FrameDecoder {
  let header = Buffer.alloc(0)
  let remainingBytes = 0

  return {
    * push (chunk) {
      let rest = chunk
      while (rest.length > 0) {
        if (remainingBytes > 0) {
          const bytes = rest.subarray(0, remainingBytes)
          remainingBytes -= bytes.length
          rest = rest.subarray(bytes.length)
          yield bytes
          continue
        }
        const missing = HEADER_BYTES - header.length
        header = Buffer.concat([header, rest.subarray(0, missing)])
        rest = rest.subarray(missing)
        if (header.length < HEADER_BYTES) return
        remainingBytes = header.readUInt32BE()
        header = Buffer.alloc(0)
        if (remainingBytes === FAILURE) throw new TargetFailure()
        if (remainingBytes > MAX_FRAME_BYTES) throw new MalformedFrame(remainingBytes)
        if (remainingBytes === 0) yield undefined
      }
    }
  }
}
