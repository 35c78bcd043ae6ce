import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as readArrival from '../src/http/read-arrival.js'

const suite = uvu.suite('readArrival')

const HASHES: readArrival.Hashes = { prefix: () => '00000000', fingerprint: () => '0000000000000000' }

function detailOf (path: string, body: object): string | undefined {
  const request = { request: 1, service: 'support', method: 'POST', path, headers: {}, body: Buffer.from(JSON.stringify(body)) }
  return readArrival.readArrival(request, HASHES).match(() => undefined, (error) => error.detail)
}

const MESSAGE = { role: 'user', content: 'Is the battery under warranty?' }

const CASES: readonly (readonly [what: string, path: string, body: object, field: string | undefined])[] = [
  ['a list of messages', '/v1/chat/completions', { messages: [MESSAGE] }, undefined],
  ['messages that are a string', '/v1/chat/completions', { messages: 'Is the battery under warranty?' }, 'messages'],
  ['no messages', '/v1/chat/completions', {}, 'messages'],
  ['an empty list of messages', '/v1/chat/completions', { messages: [] }, 'messages'],
  ['a message that is a string', '/v1/chat/completions', { messages: [MESSAGE, 'text'] }, 'messages[1]'],
  ['a prompt', '/v1/completions', { prompt: 'Tag this laptop' }, undefined],
  ['a prompt that is a number', '/v1/completions', { prompt: 7 }, 'prompt'],
  ['any body on another path', '/reservations', { messages: 'text' }, undefined]
]

for (const [what, path, body, field] of CASES) {
  suite(`${what} ${field === undefined ? 'is accepted' : `is rejected with an error that names ${field}`}`, () => {
    const detail = detailOf(path, body)
    if (field === undefined) assert.is(detail, undefined)
    else assert.ok(detail?.startsWith(`${field} `), String(detail))
  })
}

suite.run()
