/**
 * What callers receive of streams whose targets skip ids, repeat or restart events, or break off.
 */
import type * as http from 'node:http'
import * as fastCheck from 'fast-check'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as streamContinuity from '../src/stream-continuity.js'
import type * as streamEvents from '../src/stream-events.js'
import * as fixtureModule from './fixture.js'

const SEED = 39

/** Time in which the gateway reads what was written before the connection closes, ms. */
const SETTLE_MS = 30

type End = 'complete' | 'broken'

/** What a target sends: chunks, each with the ids of its events, or its text. */
interface Sent {
  readonly chunks: readonly (readonly number[] | string)[]
  readonly end: End
}

let fixture: fixtureModule.Fixture
const suite = uvu.suite('continuity of streams')

suite.before.each(async () => { fixture = await fixtureModule.openFixture(2) })
suite.after.each(async () => { await fixture.close() })

function eventsOf (ids: readonly number[]): string {
  return ids.map((id) => `id: ${id}\ndata: ${id}\n\n`).join('')
}

async function sendChunks (response: http.ServerResponse, { chunks, end }: Sent): Promise<void> {
  for (const chunk of chunks) {
    response.write(typeof chunk === 'string' ? chunk : eventsOf(chunk))
    await fixtureModule.wait(SETTLE_MS)
  }
  if (end === 'complete') response.end()
  else response.socket?.destroy()
}

/** Lets each target that is tried send the next of the responses. */
function scriptStreams (responses: readonly Sent[]): void {
  fixture.script((arrival, response, count) => {
    fixtureModule.beginStream(arrival, response)
    response.flushHeaders()
    sendChunks(response, responses[count - 1] ?? { chunks: [], end: 'broken' }).catch((error: Error) => { response.destroy(error) })
  })
}

function lastEventIds (): readonly unknown[] {
  return fixture.arrivals.map(({ headers }) => headers['last-event-id'])
}

const REST: Sent = { chunks: [[3, 4]], end: 'complete' }

const RESUMED: readonly (readonly [what: string, chunks: readonly (readonly number[])[]])[] = [
  ['repeats an event within a chunk', [[1, 2, 2, 3, 4]]],
  ['repeats an event between chunks', [[1, 2], [2, 3, 4]]],
  ['steps back within a chunk', [[1, 2, 1, 2, 3]]],
  ['steps back between chunks', [[1, 2], [1, 2, 3]]]
]

/** Differences between the ids of successive events: one, or the number of tokens of an event. */
const ID_STEPS: readonly number[] = [1, 6]

for (const [what, chunks] of RESUMED) {
  for (const step of ID_STEPS) {
    suite(`a resumable stream whose target ${what} goes on at another one without a duplicate (ids that increase by ${step})`, async () => {
      const multiplied = (ids: readonly number[]): readonly number[] => ids.map((id) => id * step)
      scriptStreams([{ chunks: chunks.map(multiplied), end: 'complete' }, { chunks: [multiplied([3, 4])], end: 'complete' }])
      const reply = await fixture.call('/generate/7')
      assert.equal([reply.status, reply.isComplete, reply.body], [200, true, eventsOf(multiplied([1, 2, 3, 4]))])
      assert.equal(lastEventIds(), [undefined, String(2 * step)])
    })
  }
}

const RUN_AGAIN: readonly (readonly [what: string, second: Sent])[] = [
  ['goes on behind the last event', { chunks: [[18], [24]], end: 'complete' }],
  ['goes on at the last event', { chunks: [[12, 18], [24]], end: 'complete' }],
  ['begins from the first event again', { chunks: [[6], [12, 18], [24]], end: 'complete' }]
]

for (const [what, second] of RUN_AGAIN) {
  suite(`a stream whose ids skip is whole after a break in the middle of an event if the next target ${what}`, async () => {
    scriptStreams([{ chunks: [[6, 12], 'id: 18\nda'], end: 'broken' }, second])
    const reply = await fixture.call('/generate/7')
    assert.equal([reply.isComplete, reply.body, lastEventIds()], [true, eventsOf([6, 12, 18, 24]), [undefined, '12']])
  })
}

for (const step of ID_STEPS) {
  suite(`a late response to another request is not joined with a stream (ids that increase by ${step})`, async () => {
    fixture.script((arrival, response, count) => {
      const isLate = count === 2
      fixtureModule.beginStream(isLate ? { ...arrival, headers: { ...arrival.headers, 'request-id': 'r-other' } } : arrival, response)
      sendChunks(response, isLate ? { chunks: [[3 * step, 4 * step]], end: 'complete' } : { chunks: [[step, 2 * step]], end: 'broken' }).catch((error: Error) => { response.destroy(error) })
    })
    const reply = await fixture.call('/generate/7')
    assert.equal([reply.isComplete, reply.body, lastEventIds()], [false, eventsOf([step, 2 * step]), [undefined, String(2 * step)]])
  })
}

suite('a second run with other boundaries between its events is not joined with the first, as they overlap', async () => {
  scriptStreams([{ chunks: [[6, 12]], end: 'broken' }, { chunks: [[5, 10], [15]], end: 'complete' }])
  const reply = await fixture.call('/generate/7')
  assert.equal([reply.isComplete, reply.body], [false, eventsOf([6, 12])])
})

for (const [what, chunks] of [['within a chunk', [[1, 2, 2, 3]]], ['between chunks', [[1, 2], [1, 2, 3]]]] as const) {
  suite(`a stream that must not be resumed and whose ids don't increase ${what} is cut off behind its sound events`, async () => {
    scriptStreams([{ chunks, end: 'complete' }])
    const reply = await fixture.call('/answer/7')
    assert.equal([reply.isComplete, reply.body, fixture.arrivals.length], [false, eventsOf([1, 2]), 1])
  })
}

// Guards against sound streams that are cut after an event of several tokens, as a skipped id was taken for a missing event.
for (const path of ['/generate/7', '/answer/7']) {
  for (const [what, chunks] of [['within a chunk', [[1, 2, 4, 7]]], ['between chunks', [[1, 2], [4], [7]]], ['by the tokens of each event', [[6], [12], [18, 24]]]] as const) {
    suite(`a stream whose target skips ids ${what} is forwarded unchanged from one target on ${path}`, async () => {
      scriptStreams([{ chunks, end: 'complete' }])
      const reply = await fixture.call(path)
      assert.equal([reply.isComplete, reply.body, fixture.arrivals.length], [true, eventsOf(chunks.flat()), 1])
    })
  }
}

const SOUND: readonly (readonly [what: string, text: string])[] = [
  ['an event without an id between others', `${eventsOf([1])}data: x\n\n${eventsOf([2])}`],
  ['no ids', 'data: a\n\ndata: b\n\n'],
  ['ids that are no numbers', 'id: a\ndata: 1\n\nid: b\ndata: 2\n\n'],
  ['a first id of 0', eventsOf([0, 1])],
  ['a first id of 5', eventsOf([5, 6])],
  ['comments', `: wait\n\n${eventsOf([1])}: wait\n\n${eventsOf([2])}: done\n\n`],
  ['a line before the id', 'weights: 3\nid: 1\ndata: 1\n\nweights: 4\nid: 2\ndata: 2\n\n']
]

for (const path of ['/generate/7', '/answer/7']) {
  for (const [what, text] of SOUND) {
    suite(`a stream with ${what} is forwarded unchanged on ${path}`, async () => {
      scriptStreams([{ chunks: [text], end: 'complete' }])
      const reply = await fixture.call(path)
      assert.equal([reply.status, reply.isComplete, reply.body, fixture.arrivals.length], [200, true, text, 1])
    })
  }
}

/** A caller's request that resumes a stream after event 2. */
const TAKEN_UP = { headers: { 'last-event-id': '2' } }

const TAKEN_UP_AT: readonly (readonly [what: string, first: Sent, body: readonly number[], expected: readonly (string | undefined)[]])[] = [
  ['at the next event', { chunks: [[3, 4]], end: 'complete' }, [3, 4], ['2']],
  ['from the start', { chunks: [[1, 2, 3, 4]], end: 'complete' }, [3, 4], ['2']],
  ['from the start in chunks', { chunks: [[1], [2], [3, 4]], end: 'complete' }, [3, 4], ['2']],
  ['at the last event that the caller has', { chunks: [[2, 3, 4]], end: 'complete' }, [3, 4], ['2']],
  ['at an event whose id skips', { chunks: [[4]], end: 'complete' }, [4], ['2']],
  ['at the next event and breaks off', { chunks: [[3]], end: 'broken' }, [3, 4], ['2', '3']],
  ['and breaks off before its first event', { chunks: [], end: 'broken' }, [3, 4], ['2', '2']],
  ['from the start and breaks off before the next event', { chunks: [[1, 2]], end: 'broken' }, [3, 4], ['2', '2']]
]

for (const [what, first, body, expected] of TAKEN_UP_AT) {
  suite(`a caller that resumes a stream gets just the events after its last one if the target begins ${what}`, async () => {
    const after = (expected[1] ?? '2') === '3' ? [4] : [3, 4]
    scriptStreams([first, { chunks: [after], end: 'complete' }])
    const reply = await fixture.call('/generate/7', TAKEN_UP)
    assert.equal([reply.status, reply.isComplete, reply.body], [200, true, eventsOf(body)])
    assert.equal(lastEventIds(), expected)
  })
}

const BETWEEN_IDS: readonly (readonly [what: string, chunks: readonly (readonly number[])[], body: readonly number[], expected: readonly string[]])[] = [
  ['goes on behind it', [[14, 20]], [14, 20], ['8']],
  ['begins from the first event again, whose boundaries differ', [[6, 12]], [14, 20], ['8', '8']]
]

for (const [what, chunks, body, expected] of BETWEEN_IDS) {
  suite(`a caller that resumes a stream between the ids of a target's events gets no overlap if the target ${what}`, async () => {
    scriptStreams([{ chunks, end: 'complete' }, { chunks: [[14, 20]], end: 'complete' }])
    const reply = await fixture.call('/generate/7', { headers: { 'last-event-id': '8' } })
    assert.equal([reply.status, reply.isComplete, reply.body, lastEventIds()], [200, true, eventsOf(body), expected])
  })
}

for (const name of ['LAST-EVENT-ID', 'Last-Event-ID']) {
  suite(`a caller may spell the header ${name}`, async () => {
    scriptStreams([{ chunks: [[3]], end: 'broken' }, { chunks: [[4]], end: 'complete' }])
    const reply = await fixture.call('/generate/7', { headers: { [name]: '2' } })
    assert.equal([reply.isComplete, reply.body, lastEventIds()], [true, eventsOf([3, 4]), ['2', '3']])
  })
}

suite('a last event id that is no number is forwarded, and the stream begins where the target wants', async () => {
  scriptStreams([{ chunks: [[7, 8]], end: 'complete' }])
  const reply = await fixture.call('/generate/7', { headers: { 'last-event-id': 'x' } })
  assert.equal([reply.isComplete, reply.body, lastEventIds()], [true, eventsOf([7, 8]), ['x']])
})

suite('a last event id means nothing on a route whose streams must not be resumed', async () => {
  scriptStreams([{ chunks: [[1, 2, 3]], end: 'complete' }])
  const reply = await fixture.call('/answer/7', TAKEN_UP)
  assert.equal([reply.isComplete, reply.body, lastEventIds()], [true, eventsOf([1, 2, 3]), ['2']])
})

suite('a stream that breaks off behind its last event ends at another target', async () => {
  scriptStreams([{ chunks: [[1, 2]], end: 'broken' }, { chunks: [], end: 'complete' }])
  const reply = await fixture.call('/generate/7')
  assert.equal([reply.isComplete, reply.body, lastEventIds()], [true, eventsOf([1, 2]), [undefined, '2']])
})

suite('a resumed stream that starts again at its target brings no event again', async () => {
  scriptStreams([{ chunks: [[1, 2]], end: 'broken' }, { chunks: [[1], [2, 3]], end: 'complete' }])
  const reply = await fixture.call('/generate/7')
  assert.equal([reply.isComplete, reply.body], [true, eventsOf([1, 2, 3])])
})

const OTHER_ANSWERS: readonly (readonly [what: string, status: number])[] = [['a plain success', 200], ['a client error', 404], ['a server error', 500]]

for (const [what, status] of OTHER_ANSWERS) {
  suite(`a resumed stream that another target answers with ${what} is cut off`, async () => {
    fixture.script((arrival, response, count) => {
      if (count > 1) {
        fixtureModule.respondComplete(arrival, response, status)
        return
      }
      fixtureModule.beginStream(arrival, response)
      sendChunks(response, { chunks: [[1, 2]], end: 'broken' }).catch((error: Error) => { response.destroy(error) })
    })
    const reply = await fixture.call('/generate/7')
    assert.equal([reply.status, reply.isComplete, reply.body, fixture.arrivals.length], [200, false, eventsOf([1, 2]), 2])
  })
}

suite('two last event ids are forwarded as they are, since it is open which one counts', async () => {
  scriptStreams([{ chunks: [[2, 3]], end: 'complete' }])
  const reply = await fixture.call('/generate/7', { headers: { 'last-event-id': ['1', '2'] } })
  assert.equal([reply.isComplete, reply.body, lastEventIds()], [true, eventsOf([2, 3]), ['1, 2']])
})

suite('a caller that resumes a stream of which nothing is left gets its end', async () => {
  scriptStreams([{ chunks: [], end: 'complete' }])
  const reply = await fixture.call('/generate/7', TAKEN_UP)
  assert.equal([reply.status, reply.isComplete, reply.body], [200, true, ''])
  assert.is(reply.headers.proof, fixture.arrivals[0]?.target)
})

suite('a caller that resumes a stream at its end gets nothing again from a target that begins from the start', async () => {
  scriptStreams([{ chunks: [[1, 2]], end: 'complete' }])
  const reply = await fixture.call('/generate/7', TAKEN_UP)
  assert.equal([reply.status, reply.isComplete, reply.body], [200, true, ''])
})

suite('a new stream that ends before its first event is not forwarded as complete', async () => {
  scriptStreams([{ chunks: [], end: 'complete' }])
  const reply = await fixture.call('/answer/7')
  assert.is(reply.status, 502)
})

suite('a resumed stream that ends at another target before the events that the caller has is not complete', async () => {
  scriptStreams([{ chunks: [[1, 2]], end: 'broken' }, { chunks: [[1]], end: 'complete' }])
  const reply = await fixture.call('/generate/7')
  assert.equal([reply.isComplete, reply.body], [false, eventsOf([1, 2])])
})

suite('a caller that resumes a stream gets no end from a target that ends before the events that it has', async () => {
  scriptStreams([{ chunks: [[1]], end: 'complete' }, { chunks: [[3]], end: 'complete' }])
  const reply = await fixture.call('/generate/7', TAKEN_UP)
  assert.equal([reply.status, reply.isComplete, reply.body], [200, true, eventsOf([3])])
})

const UNNAMED: readonly (readonly [what: string, text: string])[] = [
  ['events without ids', 'data: a\n\ndata: b\n\n'],
  ['an event without an id behind one with an id', `${eventsOf([1])}data: x\n\n`],
  ['ids that are no numbers', 'id: a\ndata: a\n\n']
]

for (const [what, text] of UNNAMED) {
  suite(`a stream that breaks off behind ${what} is cut off, since it can't be resumed without repeating them`, async () => {
    scriptStreams([{ chunks: [text], end: 'broken' }, { chunks: [text], end: 'complete' }])
    const reply = await fixture.call('/generate/7')
    assert.equal([reply.status, reply.isComplete, reply.body, fixture.arrivals.length], [200, false, text, 1])
  })
}

suite('comments behind an event don\'t keep a stream from being resumed', async () => {
  scriptStreams([{ chunks: [`${eventsOf([1])}: wait\n\n`], end: 'broken' }, { chunks: [[2]], end: 'complete' }])
  const reply = await fixture.call('/generate/7')
  assert.equal([reply.isComplete, reply.body], [true, `${eventsOf([1])}: wait\n\n${eventsOf([2])}`])
})

suite('a stream on a route that is not resumable is not joined with that of another target', async () => {
  scriptStreams([{ chunks: [[1]], end: 'broken' }, { chunks: [[1, 2]], end: 'complete' }])
  const reply = await fixture.call('/read/7')
  assert.equal([reply.isComplete, reply.body, fixture.arrivals.length], [false, eventsOf([1]), 1])
})

interface Followed {
  readonly ids: readonly number[]
  /** Index of the chunk at which the response was given up; -1 if it was not. */
  readonly faultyChunk: number
}

/** Follows one response of a target. */
function follow (response: streamContinuity.ResponseContinuity, chunks: readonly (readonly number[])[]): Followed {
  const ids: number[] = []
  const faultyChunk = chunks.findIndex((chunk) => {
    try {
      for (const event of response.follow(chunk.map((id): streamEvents.StreamEvent => ({ bytes: Buffer.alloc(0), id, hasData: true })))) ids.push(event.id ?? NaN)
      return false
    } catch (error) {
      if (error instanceof streamContinuity.Discontinuity) return true
      throw error
    }
  })
  return { ids, faultyChunk }
}

const IDS = fastCheck.array(fastCheck.nat(6), { maxLength: 8 })

suite('no order of events from any targets reaches a caller with a duplicate, or with events left out of what a target sent behind its last one', () => {
  fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.array(IDS, { maxLength: 3 }), { maxLength: 4 }), (responses) => {
    const continuity = streamContinuity.createStreamContinuity({ lastId: undefined })
    const ids = responses.flatMap((chunks) => {
      const lastId = continuity.lastId()
      const sent = chunks.flat()
      const followed = follow(continuity.beginResponse(), chunks)
      // A response is joined at its start or behind the last event that the caller has.
      const start = lastId === undefined || (sent[0] ?? lastId) > lastId ? 0 : sent.indexOf(lastId) + 1
      assert.equal(followed.ids, followed.ids.length === 0 ? [] : sent.slice(start, start + followed.ids.length))
      return followed.ids
    })
    assert.equal(ids, [...new Set(ids)].sort((first, second) => first - second))
    assert.is(continuity.lastId(), ids.at(-1))
  }), { seed: SEED })
})

suite('what is forwarded of a response does not depend on its chunks', () => {
  fastCheck.assert(fastCheck.property(fastCheck.array(IDS, { maxLength: 4 }), fastCheck.option(fastCheck.nat(6), { nil: undefined }), (chunks, lastId) => {
    const whole = follow(streamContinuity.createStreamContinuity({ lastId }).beginResponse(), [chunks.flat()])
    const split = follow(streamContinuity.createStreamContinuity({ lastId }).beginResponse(), chunks)
    assert.equal([split.ids, split.faultyChunk >= 0], [whole.ids, whole.faultyChunk >= 0])
  }), { seed: SEED })
})

suite('a sound target is never given up, whichever event it resumes the stream from and however its ids increase', () => {
  fastCheck.assert(fastCheck.property(fastCheck.nat(9), fastCheck.nat(9), fastCheck.array(fastCheck.integer({ min: 1, max: 9 }), { minLength: 20, maxLength: 20 }), (forwarded, start, steps) => {
    const continuity = streamContinuity.createStreamContinuity({ lastId: undefined })
    const all = steps.map((_, index) => steps.slice(0, index + 1).reduce((sum, step) => sum + step))
    const resumed = all.slice(Math.min(start, forwarded))
    const ids = [all.slice(0, forwarded), resumed].flatMap((chunk) => {
      const followed = follow(continuity.beginResponse(), [chunk])
      assert.is(followed.faultyChunk, -1)
      return followed.ids
    })
    assert.equal(ids, all)
  }), { seed: SEED })
})

for (const type of ['text/event-stream; charset=utf-8', 'Text/Event-Stream', 'TEXT/EVENT-STREAM;charset=UTF-8', 'text/event-stream ;x=y']) {
  suite(`a stream of the type ${type} is forwarded as its events arrive, and resumed`, async () => {
    fixture.script((arrival, response, count) => {
      response.writeHead(200, { 'request-id': arrival.headers['request-id'] ?? '', proof: arrival.target, 'content-type': type })
      sendChunks(response, count === 1 ? { chunks: [[1, 2]], end: 'broken' } : REST).catch((error: Error) => { response.destroy(error) })
    })
    const reply = await fixture.call('/generate/7')
    assert.equal([reply.isComplete, reply.body, lastEventIds()], [true, eventsOf([1, 2, 3, 4]), [undefined, '2']])
  })
}

suite('a stream with a length that breaks off is resumed', async () => {
  fixture.script((arrival, response, count) => {
    const sent = count === 1 ? [1, 2] : [3, 4]
    response.writeHead(200, { 'request-id': arrival.headers['request-id'] ?? '', proof: arrival.target, 'content-type': 'text/event-stream', 'content-length': eventsOf([1, 2, 3, 4]).length - (count - 1) * eventsOf([1, 2]).length })
    sendChunks(response, { chunks: [sent], end: count === 1 ? 'broken' : 'complete' }).catch((error: Error) => { response.destroy(error) })
  })
  const reply = await fixture.call('/generate/7')
  assert.equal([reply.isComplete, reply.body, reply.headers['content-length']], [true, eventsOf([1, 2, 3, 4]), undefined])
})

for (const [what, text] of [['carriage returns as line ends', eventsOf([1, 2]).replaceAll('\n', '\r')], ['an empty line at its end', `${eventsOf([1, 2])}\n`], ['empty lines between events', `\n${eventsOf([1])}\n\n\n${eventsOf([2])}`]] as const) {
  suite(`a stream with ${what} is forwarded unchanged as complete`, async () => {
    scriptStreams([{ chunks: [text], end: 'complete' }])
    const reply = await fixture.call('/answer/7')
    assert.equal([reply.status, reply.isComplete, reply.body], [200, true, text])
  })
}

suite('the metrics count a stream that is not continuous', async () => {
  scriptStreams([{ chunks: [[1, 2, 2]], end: 'complete' }, REST])
  await fixture.call('/generate/7')
  assert.match(fixture.gateway.metrics.text(), 'stream_discontinuities_total{service="stock"} 1')
})

suite.run()
