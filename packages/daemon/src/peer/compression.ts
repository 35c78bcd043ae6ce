/**
 * Compresses messages between daemons with raw deflate (RFC 1951) and a preset dictionary, which makes
 * the repeated field names almost free. Each message is compressed independently and synchronously, so
 * a connection holds no compression state and no thread pool is involved.
 *
 * @module
 */
import * as zlib from 'node:zlib'

/** Maximum message size, bytes: room for a service document and its envelope. */
export const MAX_MESSAGE_BYTES = 4_194_304

const WINDOW_BITS = 12
const MEMORY_LEVEL = 4
const BUFFER_BYTES = 1_024

const SAMPLE_MEMBER = '{"kind":"member","incarnation":"","address":"10.","peerAddress":"10.","availabilityZone":"","region":"","beat":,"state":"alive","load":0.}'

const SAMPLE_FIGURES = '"figures":{"service":"","target":"","waitedMs":0,"expectedMs":,"queueTokens":0,"tokensInFlight":,"cachedTokens":0,"slowdown":1}'

/** Preset dictionary of common message parts, the most frequent last. A change requires a new `PROTOCOL_VERSION`. */
const DICTIONARY = Buffer.from([
  '{"jsonrpc":"2.0","method":"holdings","params":{"pool":"","holdings":[{"ask":,"runningMs":',
  `{"jsonrpc":"2.0","method":"ack","params":{"sequence":,"news":[${SAMPLE_MEMBER},`,
  '{"kind":"target","target":"","version":1,"state":"leaving"},{"kind":"revision","service":"","revision":}',
  `{"jsonrpc":"2.0","method":"probe","params":{"sequence":,"news":[${SAMPLE_MEMBER}`,
  '{"jsonrpc":"2.0","method":"round","params":{"round":',
  '{"jsonrpc":"2.0","method":"release","params":{"ask":,"outcome":"finished","promptTokens":,"cachedTokens":0,"answerTokens":,"firstTokenMs":,"totalMs":}}',
  `{"jsonrpc":"2.0","method":"grant","params":{"ask":,"target":"","round":,${SAMPLE_FIGURES}}}`,
  '{"jsonrpc":"2.0","method":"ask","params":{"ask":,"pool":"","service":"","organisation":"","tier":0,"promptTokens":,"answerTokens":,"prefixes":["",""],"deadlineMs":120000,"nonIdempotent":false,"fingerprint":"","waitedMs":0,"round":1}}'
].join(''))

/**
 * Compresses a message.
 *
 * @example
 * ```ts
 * socket.send(compress(text))
 * ```
 */
export function compress (text: string): Uint8Array {
  return zlib.deflateRawSync(text, { dictionary: DICTIONARY, windowBits: WINDOW_BITS, memLevel: MEMORY_LEVEL, chunkSize: BUFFER_BYTES })
}

/**
 * Decompresses a message. Returns undefined when the bytes are malformed or the message exceeds `MAX_MESSAGE_BYTES`.
 *
 * @example
 * ```ts
 * decompress(compress('{}')) // '{}'
 * ```
 */
export function decompress (bytes: Uint8Array): string | undefined {
  try {
    return zlib.inflateRawSync(bytes, { dictionary: DICTIONARY, windowBits: WINDOW_BITS, maxOutputLength: MAX_MESSAGE_BYTES, chunkSize: BUFFER_BYTES }).toString('utf8')
  } catch {
    return undefined
  }
}
