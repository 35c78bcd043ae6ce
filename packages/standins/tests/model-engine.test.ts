import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as answerToken from '../src/answer-token.js'
import * as modelEngine from '../src/model-engine.js'
import * as timers from '../src/timers.js'
import type * as engineJob from '../src/engine-job.js'

const MAX_READS = 10_000

interface Fixture {
  readonly clock: timers.ManualTimers
  readonly target: modelEngine.ModelEngine
}

interface Context {
  fixture: Fixture // eslint-disable-line no-restricted-syntax -- uvu's hooks write to the context
}

const suite = uvu.suite<Context>('model engine')

suite.before.each(async (context) => {
  const clock = timers.manualTimers()
  context.fixture = { clock, target: await modelEngine.startModelEngine({ timers: clock, crashMarker: 'CRASH', prefillTokensPerS: 1_000, decodeTokensPerS: 100, crashForMs: 500 }) }
})
suite.after.each(async ({ fixture }) => { await fixture.target.close() })

async function readLog ({ target }: Fixture): Promise<readonly engineJob.LogEntry[]> {
  const response = await fetch(`http://${target.controlAddress}/standin/log`)
  const body = await response.json() as { readonly requests: readonly engineJob.LogEntry[] }
  return body.requests
}

/** Reads the log until it is as expected; awaiting each read lets the engine make progress. */
async function readLogUntil (fixture: Fixture, isExpected: (entries: readonly engineJob.LogEntry[]) => boolean): Promise<readonly engineJob.LogEntry[]> {
  for (let reads = 0; reads < MAX_READS; reads += 1) {
    const entries = await readLog(fixture)
    if (isExpected(entries)) return entries
  }
  throw new Error('the log did not reach the expected state')
}

async function post ({ target }: Fixture, path: string, body: unknown, signal?: AbortSignal): Promise<Response> {
  return await fetch(`http://${target.address}${path}`, { method: 'POST', body: JSON.stringify(body), headers: { 'idempotency-key': 'inc.1.x' }, ...(signal === undefined ? {} : { signal }) })
}

async function setFaults ({ target }: Fixture, faults: unknown): Promise<void> {
  const response = await fetch(`http://${target.controlAddress}/standin/faults`, { method: 'POST', body: JSON.stringify(faults) })
  assert.is(response.status, 200)
}

async function readBody (response: Response): Promise<{ readonly text: string, readonly complete: boolean }> {
  let text = ''
  const decoder = new TextDecoder()
  const reader = response.body?.getReader()
  try {
    for (let chunk = await reader?.read(); chunk !== undefined && !chunk.done; chunk = await reader?.read()) text += decoder.decode(chunk.value, { stream: true })
    return { text, complete: true }
  } catch {
    return { text, complete: false }
  }
}

function readContent (text: string): string {
  const events = text.split('\n\n').filter((event) => event.startsWith('data: {'))
  return events.map((event) => {
    const chunk = JSON.parse(event.slice('data: '.length)) as { readonly choices: ReadonlyArray<{ readonly text?: string, readonly delta?: { readonly content: string } }> }
    return chunk.choices[0]?.text ?? chunk.choices[0]?.delta?.content ?? ''
  }).join('')
}

const STREAM = { prompt: 'Tag this', user: 'm1', max_tokens: 5, stream: true, stream_options: { include_usage: true } }

suite('streams an answer that contains the marker of its request', async ({ fixture }) => {
  const response = await post(fixture, '/v1/completions', STREAM)
  fixture.clock.advance(1_000)
  const { text } = await readBody(response)
  assert.is(readContent(text), answerToken.answerText('m1', 0, 5))
  assert.ok(text.endsWith('data: [DONE]\n\n'))
  assert.match(text, /"prompt_tokens":2,"completion_tokens":5/)
  const [entry] = await readLog(fixture)
  assert.is(entry?.identity, 'inc.1.x')
  assert.is(entry?.outcome, 'finished')
})

suite('returns a complete chat response', async ({ fixture }) => {
  const pending = post(fixture, '/v1/chat/completions', { messages: [{ role: 'user', content: 'hi' }], metadata: { marker: 'm2', answer_tokens: '3' } })
  await readLogUntil(fixture, (entries) => entries.length === 1)
  fixture.clock.advance(1_000)
  const completion = await (await pending).json() as { readonly choices: ReadonlyArray<{ readonly message: { readonly content: string } }> }
  assert.is(completion.choices[0]?.message.content, 'm2.0 m2.1 m2.2 ')
})

suite('refuses a body that is not a completion request', async ({ fixture }) => {
  assert.is((await post(fixture, '/v1/completions', 'text')).status, 400)
  assert.is((await readLog(fixture)).length, 0)
})

suite('resumes a cut stream without a new request', async ({ fixture }) => {
  await setFaults(fixture, { cutNextStreams: 1 })
  const response = await post(fixture, '/v1/completions', STREAM)
  fixture.clock.advance(1_000)
  const cut = await readBody(response)
  assert.not(cut.complete)
  assert.is(readContent(cut.text), 'm1.0 ')
  const rest = await readBody(await fetch(`http://${fixture.target.address}/v1/streams/cmpl-1?after=1`))
  assert.is(readContent(cut.text) + readContent(rest.text), answerToken.answerText('m1', 0, 5))
  assert.ok(rest.text.endsWith('data: [DONE]\n\n'))
  assert.is((await readLog(fixture)).length, 1)
})

suite('closes a stream early without its final event', async ({ fixture }) => {
  await setFaults(fixture, { closeEarly: 1 })
  const response = await post(fixture, '/v1/completions', STREAM)
  fixture.clock.advance(1_000)
  const { text, complete } = await readBody(response)
  assert.ok(complete)
  assert.not.match(text, /DONE/)
})

suite('sends extra bytes after the final event', async ({ fixture }) => {
  await setFaults(fixture, { extraBytes: 1 })
  const response = await post(fixture, '/v1/completions', STREAM)
  fixture.clock.advance(1_000)
  assert.match((await readBody(response)).text, /\[DONE\]\n\ndata: .*after the end/)
})

suite('a stalled stream sends one event and stays open until it is cancelled', async ({ fixture }) => {
  await setFaults(fixture, { stallNextStreams: 1 })
  const response = await post(fixture, '/v1/completions', STREAM)
  fixture.clock.advance(10_000)
  const [stalled] = await readLog(fixture)
  assert.is(stalled?.outcome, 'running')
  assert.is((await fetch(`http://${fixture.target.address}/v1/streams/cmpl-1`, { method: 'DELETE' })).status, 200)
  assert.is(readContent((await readBody(response)).text), 'm1.0 ')
  assert.is((await readLog(fixture))[0]?.outcome, 'cancelled')
})

suite('closing the connection cancels the request', async ({ fixture }) => {
  const end = new AbortController()
  const response = await post(fixture, '/v1/completions', STREAM, end.signal)
  fixture.clock.advance(20)
  end.abort()
  await readBody(response)
  const [entry] = await readLogUntil(fixture, (entries) => entries[0]?.outcome !== 'running')
  assert.is(entry?.outcome, 'cancelled')
})

suite('a crash resets every connection, refuses new ones for a time, and clears the cache', async ({ fixture }) => {
  const { clock, target } = fixture
  await fetch(`http://${target.address}/kv-cache/abcd`, { method: 'PUT', body: new Uint8Array(128 * 64), headers: { 'x-kv-cache-tokens': '128' } })
  const stored = await fetch(`http://${target.address}/kv-cache/abcd`)
  assert.is((await stored.arrayBuffer()).byteLength, 128 * 64)
  const other = await post(fixture, '/v1/completions', STREAM)
  const marked = await post(fixture, '/v1/completions', { ...STREAM, prompt: 'CRASH' })
  clock.advance(5)
  for (const response of [other, marked]) assert.not((await readBody(response)).complete)
  assert.equal((await readLog(fixture)).map((entry) => entry.outcome), ['crashed', 'crashed'])
  assert.is(await fetch(`http://${target.address}/load`).then(() => 'answered', () => 'refused'), 'refused')
  clock.advance(500)
  assert.is((await fetch(`http://${target.address}/kv-cache/abcd`)).status, 404)
})

suite('refuses connections and accepts them again', async ({ fixture }) => {
  const { target } = fixture
  await setFaults(fixture, { refuseConnections: true })
  assert.is(await fetch(`http://${target.address}/load`).then(() => 'answered', () => 'refused'), 'refused')
  await setFaults(fixture, { refuseConnections: false, leaving: true })
  await post(fixture, '/v1/completions', STREAM)
  assert.is((await readLog(fixture))[0]?.arrivedWhileLeaving, true)
})

suite('refuses an order with an older fencing number', async ({ fixture }) => {
  assert.is((await post(fixture, '/orders', { fencing: '5', model: 'a', version: '1', role: 'prefill' })).status, 200)
  assert.is((await post(fixture, '/orders', { fencing: 4, model: 'b', version: '1' })).status, 409)
  const orders = await (await fetch(`http://${fixture.target.address}/orders`)).json()
  assert.equal(orders, { fencing: '5', model: 'a', version: '1', adapters: [], role: 'prefill' })
})

suite.run()
