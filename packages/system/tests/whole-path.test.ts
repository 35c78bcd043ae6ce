import * as http from 'node:http'
import * as net from 'node:net'
import * as protocol from '@persimmonhatch/protocol'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import type * as call from '../src/call.js'
import * as callers from '../src/callers.js'
import * as deployment from '../src/deployment.js'
import type * as daemonProcess from '../src/daemon-process.js'
import * as checkHistory from '../src/check-history.js'
import * as recorder from '../src/recorder.js'
import * as systemModule from '../src/system.js'

interface Context {
  readonly system: systemModule.System
  readonly recorder: recorder.Recorder
  readonly callers: callers.Callers
  readonly requests: Map<string, call.Request>
}

const QUESTION: call.Request = {
  request: '', service: 'support', kind: 'model', method: 'POST', path: '/v1/chat/completions', organisation: 'maarif', tier: 'shop', rank: 1, nonIdempotent: false, promptText: 'Is the battery under warranty?', answerTokens: 12, stream: true
}
const RESERVATION: call.Request = {
  ...QUESTION, service: 'stock', kind: 'plain', path: '/reservations', tier: 'reservation', rank: 0, nonIdempotent: true, stream: false
}

let context: Context

const suite = uvu.suite('the whole path')

suite.before(async () => {
  const started = await systemModule.startSystem({ deployment: await deployment.readDeployment('atlasrenew'), daemons: 3, seed: 11 })
  const recording = recorder.createRecorder()
  context = { system: started, recorder: recording, callers: callers.createCallers({ recorder: recording, daemons: started.daemons }), requests: new Map() }
})

suite.after(async () => {
  await context.callers.close()
  await context.system.close()
})

function registerRequest (context: Context, request: call.Request, name: string): call.Request {
  const renamed = { ...request, request: name }
  context.requests.set(name, renamed)
  return renamed
}

function daemonAt (context: Context, index: number): daemonProcess.DaemonProcess {
  const daemon = context.system.daemons()[index]
  if (daemon === undefined) throw new Error('no such daemon')
  return daemon
}

async function findDestination (context: Context, index: number, service: string): Promise<callers.Destination> {
  const destination = await context.callers.findDestination(daemonAt(context, index), service)
  if (destination === undefined) throw new Error('no address was returned')
  return destination
}

for (const index of [0, 1, 2]) {
  suite(`streams a response through daemon ${index + 1}`, async () => {
    const result = await context.callers.send(registerRequest(context, QUESTION, `streamed-${index}`), { daemon: daemonAt(context, index), identity: undefined })
    assert.is(result.outcome, 'answered')
  })
}

suite('returns a complete response', async () => {
  const result = await context.callers.send(registerRequest(context, { ...QUESTION, stream: false }, 'whole'), { daemon: daemonAt(context, 0), identity: undefined })
  assert.is(result.outcome, 'answered')
})

suite('serves an idempotent plain call', async () => {
  const request = { ...RESERVATION, method: 'GET', path: '/stock/item-1', tier: 'check', rank: 1, nonIdempotent: false }
  const result = await context.callers.send(registerRequest(context, request, 'check'), { daemon: daemonAt(context, 0), identity: undefined })
  assert.is(result.outcome, 'answered')
})

suite('runs a reservation that is sent three times at once only once, and responds to all calls', async () => {
  const destination = await findDestination(context, 0, 'stock')
  const request = registerRequest(context, RESERVATION, 'reservation')
  const results = await Promise.all([1, 2, 3].map(() => context.callers.send(request, destination)))
  assert.equal(results.map((result) => result.outcome), ['answered', 'answered', 'answered'])
  const later = await context.callers.send(request, destination)
  assert.is(later.outcome, 'answered')
})

suite('redirects a reservation that is sent to another daemon to its owner', async () => {
  const destination = await findDestination(context, 0, 'stock')
  const other = context.system.daemons().find((daemon) => daemon.address !== destination.daemon.address)
  if (other === undefined) throw new Error('no other daemon')
  const request = registerRequest(context, RESERVATION, 'elsewhere')
  const result = await context.callers.send(request, { daemon: other, identity: destination.identity })
  assert.is(result.outcome, 'redirected')
  assert.is(result.location, `http://${destination.daemon.address}/s/stock/reservations`)
  assert.is((await context.callers.send(request, destination)).outcome, 'answered')
})

suite('explains a finished request', async () => {
  const destination = await findDestination(context, 1, 'support')
  await context.callers.send(registerRequest(context, QUESTION, 'explained'), destination)
  const response = await fetch(`http://${destination.daemon.address}/v1/requests/${destination.identity}`)
  const body = await response.json() as { readonly sentences: readonly string[] }
  assert.match(body.sentences[0] ?? '', /^The request ran to its end on engine-\d after waiting/)
})

function post (daemon: daemonProcess.DaemonProcess, path: string, headers: Record<string, string>, body: string): Promise<Response> {
  return fetch(`http://${daemon.address}${path}`, { method: 'POST', headers: { 'x-persimmonhatch-organisation': 'maarif', ...headers }, body, redirect: 'manual' })
}

const COMPLETION = '{"messages":[{"role":"user","content":"hi"}]}'

for (const [name, path, headers, body, status, reason] of [
  ['malformed JSON', '/s/support/v1/chat/completions', {}, '{"messages":', 400, 'malformed-request'],
  ['JSON that is no object', '/s/support/v1/chat/completions', {}, '[]', 400, 'malformed-request'],
  ['an oversized body', '/s/support/v1/chat/completions', {}, 'x'.repeat(5_000_000), 413, 'body-too-large'],
  ['an unknown service', '/s/nothing/v1/chat/completions', {}, COMPLETION, 404, 'unknown-service'],
  ['an unknown organisation', '/s/support/v1/chat/completions', { 'x-persimmonhatch-organisation': 'nobody' }, COMPLETION, 403, 'unknown-organisation'],
  ['an unknown tier', '/s/support/v1/chat/completions', { 'x-persimmonhatch-tier': 'nothing' }, COMPLETION, 400, 'unknown-tier'],
  ['a deadline that is no number', '/s/support/v1/chat/completions', { 'x-persimmonhatch-deadline-ms': 'soon' }, COMPLETION, 400, 'malformed-request'],
  ['a non-idempotent request without an identity', '/s/stock/reservations', {}, '{}', 400, 'identity-required'],
  ['an identity of the caller\'s own making', '/s/stock/reservations', { 'idempotency-key': 'mine' }, '{}', 400, 'identity-malformed'],
  ['an identity of a daemon that nobody knows', '/s/stock/reservations', { 'idempotency-key': 'aaaaaaaaaaaaa.5.x' }, '{}', 409, 'outcome-unknown']
] as const) {
  suite(`refuses ${name} with its remedy`, async () => {
    const response = await post(daemonAt(context, 0), path, headers, body)
    const answer = await response.json() as { readonly error: { readonly reason: string, readonly remedy: string, readonly execution: string } }
    assert.is(response.status, status)
    assert.is(answer.error.reason, reason)
    assert.is(response.headers.get(protocol.HEADERS.reason), reason)
    assert.ok(answer.error.remedy.length > 0)
  })
}

suite('reports the execution as unknown when it refuses an unread request under an identity', async () => {
  const destination = await findDestination(context, 0, 'stock')
  for (const body of ['x'.repeat(5_000_000), '{"messages":']) {
    const response = await post(destination.daemon, '/s/stock/v1/completions', { 'idempotency-key': destination.identity }, body)
    assert.is(response.headers.get(protocol.HEADERS.execution), 'unknown')
    assert.match(await response.text(), /"execution":"unknown"/)
  }
})

suite('refuses oversized headers with status 431', async () => {
  const [host = '', port = ''] = daemonAt(context, 0).address.split(':')
  const status = await new Promise<number | undefined>((resolve, reject) => {
    const request = http.request({ host, port, path: '/s/support/x', headers: { filler: 'x'.repeat(20_000) } }, (response) => {
      response.resume()
      resolve(response.statusCode)
    })
    request.once('error', reject)
    request.end()
  })
  assert.is(status, 431)
})

suite('keeps no state for a partially sent request or a disconnected caller', async () => {
  const daemon = daemonAt(context, 0)
  const [host = '', port = ''] = daemon.address.split(':')
  const socket = net.connect(Number(port), host)
  await new Promise<void>((resolve) => socket.write('POST /s/support/v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 500\r\n\r\n{"mess', () => resolve()))
  socket.destroy()
  const disconnecting = new AbortController()
  const disconnected = context.callers.send(registerRequest(context, { ...QUESTION, answerTokens: 4_000 }, 'left'), { daemon, identity: undefined }, disconnecting.signal)
  disconnecting.abort()
  assert.is((await disconnected).outcome, 'disconnected')
  assert.is((await context.callers.send(registerRequest(context, QUESTION, 'next'), { daemon, identity: undefined })).outcome, 'answered')
  const { entry } = await (await fetch(`http://${daemon.address}/v1/status`)).json() as { readonly entry: { readonly waiting: number, readonly running: number } }
  assert.equal([entry.waiting, entry.running], [0, 0])
})

suite('the history of callers and targets violates no guarantee', async () => {
  const historyCheck = await checkHistory.checkHistory(context.system, context.recorder, context.requests)
  assert.equal(historyCheck.violations, [])
  assert.ok(historyCheck.runs >= 8)
})

suite.run()
