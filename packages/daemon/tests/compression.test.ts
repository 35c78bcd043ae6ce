/**
 * Messages between daemons must survive compression, and malformed bytes must be rejected.
 */
import * as zlib from 'node:zlib'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as compression from '../src/peer/compression.js'

const test = uvu.suite('compression')

test('decompresses to the original text, including non-Latin and long texts', () => {
  for (const text of ['{}', '{"jsonrpc":"2.0","method":"round","params":{"round":7}}', 'Ñandú ⵣ 🐑', 'x'.repeat(100_000)]) {
    assert.is(compression.decompress(compression.compress(text)), text)
  }
})

test('returns undefined for malformed bytes and for messages over the maximum size', () => {
  assert.is(compression.decompress(Uint8Array.of(255, 1, 2, 3)), undefined)
  assert.is(compression.decompress(new Uint8Array(0)), undefined)
  assert.is(compression.decompress(zlib.deflateRawSync('x'.repeat(compression.MAX_MESSAGE_BYTES + 1))), undefined)
})

test.run()
