import * as gateway from '@persimmonhatch/gateway'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as rawHeaders from '../src/raw-headers.js'
import * as streamEvents from '../src/stream-events.js'

const suite = uvu.suite('parsing')

const TOKENS: readonly (readonly [text: string | undefined, use: gateway.headerNames.TokenUse | undefined])[] = [
  ['1460,80', { prompt: 1_460, output: 80 }],
  ['1460', undefined],
  ['-1,5', undefined],
  ['1,2,3', undefined],
  [undefined, undefined]
]

for (const [text, use] of TOKENS) {
  suite(`tokens ${String(text)}`, () => assert.equal(gateway.headerNames.parseTokens(text), use))
}

const LOADS: readonly (readonly [text: string | undefined, load: gateway.headerNames.ReportedLoad | undefined])[] = [
  ['3,0,8', { running: 3, waiting: 0, slots: 8, workFactor: undefined }],
  ['3,0,8,250', { running: 3, waiting: 0, slots: 8, workFactor: 2.5 }],
  ['3,0,8,100,7,12', { running: 3, waiting: 0, slots: 8, workFactor: 1 }],
  ['3,0,8,0', { running: 3, waiting: 0, slots: 8, workFactor: undefined }],
  ['3,0,8,999999', { running: 3, waiting: 0, slots: 8, workFactor: undefined }],
  ['3,0,8,-5', undefined],
  ['3,0,8,fast', undefined],
  ['3,0', undefined],
  [undefined, undefined]
]

for (const [text, load] of LOADS) {
  suite(`load ${String(text)}: a further figure does not make the others unreadable`, () => assert.equal(gateway.headerNames.parseLoad(text), load))
}

const LIMITS: readonly (readonly [text: string | undefined, requestsPerS: number | undefined])[] = [
  ['2.8', 2.8],
  ['0', 0],
  ['40', 40],
  ['-1', undefined],
  ['1e3', undefined],
  ['many', undefined],
  [undefined, undefined]
]

for (const [text, requestsPerS] of LIMITS) {
  suite(`request limit ${String(text)}`, () => assert.is(gateway.headerNames.parseRequestLimit(text), requestsPerS))
}

suite('prompt segments are parsed in order', () => {
  assert.equal(gateway.headerNames.parsePromptSegments('5c1e07a2:800,91bd3f06:410'), ['5c1e07a2', '91bd3f06'])
  assert.equal(gateway.headerNames.parsePromptSegments(undefined), [])
})

suite('hop-by-hop headers are removed, also those that Connection names', () => {
  const kept = rawHeaders.withoutHeaders(['Connection', 'Close, X-Own', 'X-Own', '1', 'Transfer-Encoding', 'chunked', 'Accept', 'a', 'Drop', 'b'], { dropped: new Set(['drop']), endToEnd: new Set() })
  assert.equal(kept, ['Accept', 'a'])
})

const STREAM = Buffer.from('id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c')

for (const size of [1, 2, 3, 7, STREAM.length]) {
  suite(`events are assembled from chunks of ${size} bytes`, () => {
    const splitter = streamEvents.createEventSplitter()
    const events: streamEvents.StreamEvent[] = []
    for (let at = 0; at < STREAM.length; at += size) events.push(...splitter.push(STREAM.subarray(at, at + size)))
    assert.equal(events.map((event) => event.id), [1, 2])
    assert.is(Buffer.concat([...events.map((event) => event.bytes), splitter.pending()]).toString(), STREAM.toString())
  })
}

const EVENTS: readonly (readonly [what: string, text: string, ids: readonly (number | undefined)[]])[] = [
  ['carriage returns as line ends', 'id: 1\rdata: a\r\rid: 2\rdata: b\r\r', [1, 2]],
  ['line ends of different kinds', 'id: 1\r\ndata: a\n\r\nid: 2\rdata: b\n\nid: 3\ndata: c\r\r', [1, 2, 3]],
  ['an id after the data', 'data: a\nid: 1\n\n', [1]],
  ['two ids, of which the last counts', 'id: 1\ndata: a\nid: 2\n\n', [2]],
  ['a last id that is no number', 'id: 1\nid: x\ndata: a\n\n', [undefined]],
  ['an empty last id', 'id: 1\nid\ndata: a\n\n', [undefined]],
  ['data that looks like an id', 'id: 1\ndata: id: 7\ndata:id: 8\n\n', [1]],
  ['a field whose name begins with id', 'id: 1\nidea: 7\ndata: a\n\n', [1]],
  ['no space after the colon', 'id:1\ndata:a\n\n', [1]],
  ['an id beyond safe integers', 'id: 99999999999999999999\ndata: a\n\n', [undefined]]
]

for (const [what, text, ids] of EVENTS) {
  for (const size of [1, 2, 3, text.length]) {
    suite(`events with ${what} are read in chunks of ${size} bytes`, () => {
      const bytes = Buffer.from(text)
      const splitter = streamEvents.createEventSplitter()
      const events: streamEvents.StreamEvent[] = []
      for (let at = 0; at < bytes.length; at += size) events.push(...splitter.push(bytes.subarray(at, at + size)))
      assert.equal(events.filter(({ hasData }) => hasData).map(({ id }) => id), ids)
      assert.is(Buffer.concat([...events.map((event) => event.bytes), splitter.pending()]).toString(), text)
    })
  }
}

suite.run()
