import * as fastCheck from 'fast-check'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as relayFrames from '../src/relay-frames.js'

const suite = uvu.suite('relay frames')

const SEED = 36

/** Returns the chunks in frames, with the empty one at the end. */
function encode (chunks: readonly Buffer[]): Buffer {
  const encoder = relayFrames.createFrameEncoder()
  for (const chunk of chunks) encoder.write(chunk)
  encoder.end()
  const encoded: Buffer[] = []
  for (let part = encoder.read() as Buffer | null; part !== null; part = encoder.read() as Buffer | null) encoded.push(part)
  return Buffer.concat(encoded)
}

const CHUNKS = fastCheck.array(fastCheck.uint8Array({ minLength: 1, maxLength: 30 }).map((bytes) => Buffer.from(bytes)), { maxLength: 6 })

suite('bytes are the same after frames that arrive in any parts, and the end comes last', () => {
  fastCheck.assert(fastCheck.property(CHUNKS, fastCheck.integer({ min: 1, max: 20 }), (chunks, size) => {
    const encoded = encode(chunks)
    const decoder = relayFrames.createFrameDecoder()
    const decoded: (Buffer | undefined)[] = []
    for (let start = 0; start < encoded.length; start += size) decoded.push(...decoder.push(encoded.subarray(start, start + size)))
    assert.is(decoded.pop(), undefined)
    assert.ok(Buffer.concat(decoded.map((bytes) => bytes ?? Buffer.from('an early end'))).equals(Buffer.concat(chunks)))
  }), { seed: SEED })
})

suite('no part of the frames but the whole yields the end', () => {
  fastCheck.assert(fastCheck.property(CHUNKS, fastCheck.nat(), (chunks, cut) => {
    const encoded = encode(chunks)
    const part = encoded.subarray(0, cut % encoded.length)
    assert.not([...relayFrames.createFrameDecoder().push(part)].includes(undefined))
  }), { seed: SEED })
})

suite('a frame of a size that no peer sends is an error', () => {
  assert.throws(() => [...relayFrames.createFrameDecoder().push(Buffer.from('HTTP/1.1'))], (error: Error) => error instanceof relayFrames.MalformedFrame)
})

suite.run()
