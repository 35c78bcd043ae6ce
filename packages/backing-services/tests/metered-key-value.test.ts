import * as assert from 'uvu/assert'
import * as neverthrow from 'neverthrow'
import * as uvu from 'uvu'
import * as backoff from '../src/backoff.js'
import * as jsonLines from '../src/json-lines.js'
import * as keyValue from '../src/key-value.js'
import * as meteredKeyValue from '../src/metered-key-value.js'

const stub: keyValue.KeyValue = {
  get: () => neverthrow.okAsync(undefined),
  list: () => neverthrow.okAsync({ entries: [], era: 0, revision: 1 }),
  compareAndSwap: () => neverthrow.okAsync({ succeeded: true, revision: 2, current: undefined }),
  grantLease: () => neverthrow.okAsync('1'),
  keepLeaseAlive: () => neverthrow.okAsync(10),
  revokeLease: () => neverthrow.okAsync(undefined),
  watch: async function * () { yield [] }
}

const metered = uvu.suite('meteredKeyValue')

metered('counts every call by kind and enforces the budget', async () => {
  let nowMs = 0
  const counted: string[] = []
  const store = meteredKeyValue.createMeteredKeyValue({ keyValue: stub, callsPerS: 2, burst: 3, now: () => nowMs, count: (kind, result) => counted.push(`${kind} ${result}`) })
  assert.ok((await store.get('/a')).isOk())
  assert.ok((await store.list('/a')).isOk())
  for await (const changes of store.watch('/a', { era: 0, revision: 1 }, new AbortController().signal)) assert.is(changes.length, 0)
  const refused = await store.grantLease(10)
  assert.is(refused._unsafeUnwrapErr().failure, 'over-limit')
  assert.match(refused._unsafeUnwrapErr().message, /raise platform\.callsPerMinute in the settings/)
  await store.watch('/a', { era: 0, revision: 1 }, new AbortController().signal).next().then(() => assert.unreachable(), (error: unknown) => assert.instance(error, keyValue.PlatformFailure))
  nowMs = 500
  assert.ok((await store.keepLeaseAlive('1')).isOk())
  assert.ok((await store.revokeLease('1')).isErr())
  nowMs = 100_000
  for (let index = 0; index < 3; index += 1) assert.ok((await store.compareAndSwap({ key: '/a', expectedRevision: 0, value: 'x' })).isOk())
  assert.ok((await store.get('/a')).isErr())
  assert.equal(counted.slice(0, 7), ['get sent', 'list sent', 'watch sent', 'grantLease over-budget', 'watch over-budget', 'keepLeaseAlive sent', 'revokeLease over-budget'])
})

metered.run()

const delays = uvu.suite('backoff')

for (const [jitter, expected] of [[0, [0, 0, 0, 0, 0]], [0.5, [50, 100, 200, 250, 250]], [0.75, [75, 150, 300, 375, 375]]] as const) {
  delays(`doubles up to the maximum, at ${jitter} of the ceiling`, () => {
    const delay = backoff.createBackoff({ initialCeilingMs: 100, maxCeilingMs: 500, random: () => jitter })
    assert.equal(expected.map(() => delay.next()), expected)
    delay.reset()
    assert.is(delay.next(), expected[0])
  })
}

delays.run()

const lines = uvu.suite('jsonLines')

const LINE_CASES = [
  { chunks: ['a\nb\n'], expected: ['a', 'b'] },
  { chunks: ['a', 'b\n', '\n', 'c\n'], expected: ['ab', 'c'] },
  { chunks: ['{"a":"ü"}\n'], expected: ['{"a":"ü"}'] },
  { chunks: ['whole\ncut'], expected: ['whole'] }
]

for (const { chunks, expected } of LINE_CASES) {
  lines(`splits ${JSON.stringify(chunks)}, also byte by byte`, async () => {
    const bytes = Buffer.from(chunks.join(''))
    const single = [...bytes].map((byte) => Uint8Array.of(byte))
    for (const input of [chunks.map((chunk) => Buffer.from(chunk)), single]) {
      const yielded: string[] = []
      for await (const line of jsonLines.jsonLines((async function * () { yield * input })())) yielded.push(line)
      assert.equal(yielded, expected)
    }
  })
}

lines.run()
