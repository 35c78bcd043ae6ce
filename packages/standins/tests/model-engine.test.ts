import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as answerToken from '../src/answer-token.js'
import * as modelEngine from '../src/model-engine.js'
import * as timers from '../src/timers.js'
import type * as engineJob from '../src/engine-job.js'

const MAX_READS = 10_000

interface Bench {
  readonly clock: timers.ManualTimers
  readonly target: modelEngine.ModelEngine
}

interface Context {
  bench: Bench // eslint-disable-line no-restricted-syntax -- uvu's hooks write to the context
}

const suite = uvu.suite<Context>('model engine')

suite.before.each(async (context) => {
  const clock = timers.manualTimers()
  context.bench = { clock, target: await modelEngine.startModelEngine({ timers: clock, crashMarker: 'CRASH', prefillTokensPerS: 1_000, decodeTokensPerS: 100, crashForMs: 500 }) }
})
suite.after.each(async ({ bench }) => { await bench.target.close() })

async function log ({ target }: Bench): Promise<readonly engineJob.LogEntry[]> {
  const answer = await fetch(`http://${target.controlAddress}/standin/log`)
  const body = await answer.json() as { readonly requests: readonly engineJob.LogEntry[] }
  return body.requests
}

/** Reads the log until it is as wanted; each read lets the engine's process go on. */
async function logUntil (bench: Bench, isWanted: (entries: readonly engineJob.LogEntry[]) => boolean): Promise<readonly engineJob.LogEntry[]> {
  for (let reads = 0; reads < MAX_READS; reads += 1) {
    const entries = await log(bench)
    if (isWanted(entries)) return entries
  }
  throw new Error('the log did not become as wanted')
}

async function post ({ target }: Bench, path: string, body: unknown, signal?: AbortSignal): Promise<Response> {
  return await fetch(`http://${target.address}${path}`, { method: 'POST', body: JSON.stringify(body), headers: { 'idempotency-key': 'inc.1.x' }, ...(signal === undefined ? {} : { signal }) })
}

async function switchFaults ({ target }: Bench, faults: unknown): Promise<void> {
  const answer = await fetch(`http://${target.controlAddress}/standin/faults`, { method: 'POST', body: JSON.stringify(faults) })
  assert.is(answer.status, 200)
}

async function readAll (answer: Response): Promise<{ readonly text: string, readonly whole: boolean }> {
  let text = ''
  const decoder = new TextDecoder()
  const reader = answer.body?.getReader()
  try {
    for (let part = await reader?.read(); part !== undefined && !part.done; part = await reader?.read()) text += decoder.decode(part.value, { stream: true })
    return { text, whole: true }
  } catch {
    return { text, whole: false }
  }
}

function contentOf (text: string): string {
  const events = text.split('\n\n').filter((event) => event.startsWith('data: {'))
  return events.map((event) => {
    const chunk = JSON.parse(event.slice('data: '.length)) as { readonly choices: ReadonlyArray<{ readonly text?: string, readonly delta?: { readonly content: string } }> }
    return chunk.choices[0]?.text ?? chunk.choices[0]?.delta?.content ?? ''
  }).join('')
}

const STREAM = { prompt: 'Tag this', user: 'm1', max_tokens: 5, stream: true, stream_options: { include_usage: true } }

suite('streams an answer that names its request', async ({ bench }) => {
  const answer = await post(bench, '/v1/completions', STREAM)
  bench.clock.advance(1_000)
  const { text } = await readAll(answer)
  assert.is(contentOf(text), answerToken.answerText('m1', 0, 5))
  assert.ok(text.endsWith('data: [DONE]\n\n'))
  assert.match(text, /"prompt_tokens":2,"completion_tokens":5/)
  const [entry] = await log(bench)
  assert.is(entry?.identity, 'inc.1.x')
  assert.is(entry?.outcome, 'finished')
})

suite('gives a whole chat answer', async ({ bench }) => {
  const pending = post(bench, '/v1/chat/completions', { messages: [{ role: 'user', content: 'hi' }], metadata: { marker: 'm2', answer_tokens: '3' } })
  await logUntil(bench, (entries) => entries.length === 1)
  bench.clock.advance(1_000)
  const answer = await (await pending).json() as { readonly choices: ReadonlyArray<{ readonly message: { readonly content: string } }> }
  assert.is(answer.choices[0]?.message.content, 'm2.0 m2.1 m2.2 ')
})

suite('refuses what is no completion request', async ({ bench }) => {
  assert.is((await post(bench, '/v1/completions', 'text')).status, 400)
  assert.is((await log(bench)).length, 0)
})

suite('resumes a cut stream without a new request', async ({ bench }) => {
  await switchFaults(bench, { cutNextStreams: 1 })
  const answer = await post(bench, '/v1/completions', STREAM)
  bench.clock.advance(1_000)
  const cut = await readAll(answer)
  assert.not(cut.whole)
  assert.is(contentOf(cut.text), 'm1.0 ')
  const rest = await readAll(await fetch(`http://${bench.target.address}/v1/streams/cmpl-1?after=1`))
  assert.is(contentOf(cut.text) + contentOf(rest.text), answerToken.answerText('m1', 0, 5))
  assert.ok(rest.text.endsWith('data: [DONE]\n\n'))
  assert.is((await log(bench)).length, 1)
})

suite('closes early without the end of the stream', async ({ bench }) => {
  await switchFaults(bench, { closeEarly: 1 })
  const answer = await post(bench, '/v1/completions', STREAM)
  bench.clock.advance(1_000)
  const { text, whole } = await readAll(answer)
  assert.ok(whole)
  assert.not.match(text, /DONE/)
})

suite('sends more after the end', async ({ bench }) => {
  await switchFaults(bench, { extraBytes: 1 })
  const answer = await post(bench, '/v1/completions', STREAM)
  bench.clock.advance(1_000)
  assert.match((await readAll(answer)).text, /\[DONE\]\n\ndata: .*after the end/)
})

suite('a stalled stream gives one event, until it is cancelled', async ({ bench }) => {
  await switchFaults(bench, { stallNextStreams: 1 })
  const answer = await post(bench, '/v1/completions', STREAM)
  bench.clock.advance(10_000)
  const [stalled] = await log(bench)
  assert.is(stalled?.outcome, 'running')
  assert.is((await fetch(`http://${bench.target.address}/v1/streams/cmpl-1`, { method: 'DELETE' })).status, 200)
  assert.is(contentOf((await readAll(answer)).text), 'm1.0 ')
  assert.is((await log(bench))[0]?.outcome, 'cancelled')
})

suite('a closed connection cancels', async ({ bench }) => {
  const end = new AbortController()
  const answer = await post(bench, '/v1/completions', STREAM, end.signal)
  bench.clock.advance(20)
  end.abort()
  await readAll(answer)
  const [entry] = await logUntil(bench, (entries) => entries[0]?.outcome !== 'running')
  assert.is(entry?.outcome, 'cancelled')
})

suite('a crash cuts every connection, refuses for a time, and loses the cache', async ({ bench }) => {
  const { clock, target } = bench
  await fetch(`http://${target.address}/kv-cache/abcd`, { method: 'PUT', body: new Uint8Array(128 * 64), headers: { 'x-kv-cache-tokens': '128' } })
  const kept = await fetch(`http://${target.address}/kv-cache/abcd`)
  assert.is((await kept.arrayBuffer()).byteLength, 128 * 64)
  const other = await post(bench, '/v1/completions', STREAM)
  const marked = await post(bench, '/v1/completions', { ...STREAM, prompt: 'CRASH' })
  clock.advance(5)
  for (const answer of [other, marked]) assert.not((await readAll(answer)).whole)
  assert.equal((await log(bench)).map((entry) => entry.outcome), ['crashed', 'crashed'])
  assert.is(await fetch(`http://${target.address}/load`).then(() => 'answered', () => 'refused'), 'refused')
  clock.advance(500)
  assert.is((await fetch(`http://${target.address}/kv-cache/abcd`)).status, 404)
})

suite('refuses connections and comes back', async ({ bench }) => {
  const { target } = bench
  await switchFaults(bench, { refuseConnections: true })
  assert.is(await fetch(`http://${target.address}/load`).then(() => 'answered', () => 'refused'), 'refused')
  await switchFaults(bench, { refuseConnections: false, leaving: true })
  await post(bench, '/v1/completions', STREAM)
  assert.is((await log(bench))[0]?.arrivedWhileLeaving, true)
})

suite('refuses an order with an older fencing number', async ({ bench }) => {
  assert.is((await post(bench, '/orders', { fencing: '5', model: 'a', version: '1', role: 'prefill' })).status, 200)
  assert.is((await post(bench, '/orders', { fencing: 4, model: 'b', version: '1' })).status, 409)
  const orders = await (await fetch(`http://${bench.target.address}/orders`)).json()
  assert.equal(orders, { fencing: '5', model: 'a', version: '1', adapters: [], role: 'prefill' })
})

suite.run()
