import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as eventSplitter from '../src/dispatch/event-splitter.js'

const STREAM = 'data: {"id":"a","n":1}\n\ndata: {"n":2}\n\ndata: [DONE]\n\n'

function split (pieces: readonly string[]): readonly eventSplitter.StreamEvent[] {
  const splitter = eventSplitter.createEventSplitter()
  return pieces.flatMap((piece) => [...splitter.push(piece)])
}

const splitting = uvu.suite('createEventSplitter')

for (const size of [1, 2, 7, 1_000]) {
  splitting(`yields the same events from chunks of ${size} characters`, () => {
    const pieces = STREAM.match(new RegExp(`[\\s\\S]{1,${size}}`, 'g')) ?? []
    const events = split(pieces)
    assert.is(events.map((event) => event.text).join(''), STREAM)
    assert.equal(events.map((event) => event.isDone), [false, false, true])
    assert.equal(events.map((event) => event.hasContent), [true, true, false])
  })
}

splitting('yields nothing of an unfinished event', () => {
  const splitter = eventSplitter.createEventSplitter()
  assert.equal([...splitter.push('data: {"n":')], [])
  assert.is(splitter.pendingLength(), 11)
})

splitting('does not count a comment as content', () => {
  assert.equal(split([': keep-alive\n\n']).map((event) => event.hasContent), [false])
})

splitting('throws when an event grows without an end', () => {
  const splitter = eventSplitter.createEventSplitter()
  assert.throws(() => [...splitter.push('x'.repeat(5_000_000))], /without an end/)
})

const usage = uvu.suite('readUsage')

for (const [text, expected] of [
  ['{"usage":{"prompt_tokens":9,"completion_tokens":2}}', { promptTokens: 9, answerTokens: 2, cachedTokens: undefined }],
  ['{"usage":{"prompt_tokens":9,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":4}}}', { promptTokens: 9, answerTokens: 2, cachedTokens: 4 }],
  ['{"usage":null}', undefined],
  ['{}', undefined],
  ['not json', undefined]
] as const) {
  usage(text, () => assert.equal(eventSplitter.readUsage(text), expected))
}

splitting.run()
usage.run()
