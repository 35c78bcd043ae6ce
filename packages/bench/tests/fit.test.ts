/**
 * Tests line fits, series and network bytes.
 */
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fit from '../src/fit.js'
import * as series from '../src/series.js'
import * as wire from '../src/wire.js'

const test = uvu.suite('bench')

test('fitLine is exact for points on a line', () => {
  const line = fit.fitLine([1, 2, 5, 9].map((size) => ({ size, value: 3 + 2 * size })))
  assert.ok(Math.abs(line.slope - 2) < 1e-9)
  assert.ok(Math.abs(line.intercept - 3) < 1e-9)
  assert.ok(Math.abs(line.r2 - 1) < 1e-9)
})

test('the median of an even number of values is the mean of the two middle ones', () => {
  assert.is(fit.median([9, 1, 4, 2]), 3)
  assert.is(fit.median([9, 1, 4]), 4)
})

test('each size is measured once per repetition and summarised', async () => {
  const seen: number[] = []
  const measured = await series.measure({
    role: 'entry',
    quantity: 'bytes',
    unit: 'bytes',
    sizeOf: 'slot requests',
    sizes: [1, 2, 3, 4],
    sample: (size) => { seen.push(size); return size * 10 + seen.length % 2 }
  })
  assert.equal(seen, [1, 2, 3, 4, 1, 2, 3, 4, 1, 2, 3, 4])
  assert.equal(measured.points[0], { size: 1, median: 11, lowest: 11, highest: 11 })
  assert.ok(measured.line.slope > 9 && measured.line.slope < 11)
})

test('network bytes include the frame, the headers of each segment and an acknowledgement', () => {
  assert.is(wire.networkBytes(100), 100 + 6 + 52 + 52)
  assert.is(wire.networkBytes(1_000), 1_000 + 8 + 52 + 52)
  assert.is(wire.networkBytes(2_000), 2_000 + 8 + 2 * 52 + 52)
})

test.run()
