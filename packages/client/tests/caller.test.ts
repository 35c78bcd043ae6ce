import * as http from 'node:http'
import type * as net from 'node:net'
import * as protocol from '@persimmonhatch/protocol'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import type * as answers from '../src/answer.js'
import * as callers from '../src/caller.js'
import * as errors from '../src/errors.js'

class FakeDaemon {
  /** Identities of the requests received, in order. */
  readonly identities: string[] = []
  readonly addressQueries: number[] = []
  readonly address: string
  readonly incarnation: string

  constructor (private readonly server: http.Server) {
    const { port } = server.address() as net.AddressInfo
    this.address = `127.0.0.1:${port}`
    this.incarnation = `d${String(port).padStart(12, '0')}`
  }

  async close (): Promise<void> {
    await new Promise((resolve) => {
      this.server.close(resolve)
      this.server.closeAllConnections()
    })
  }
}

type Handler = (request: http.IncomingMessage, response: http.ServerResponse, daemon: FakeDaemon) => void

const suite = uvu.suite('caller')
const startedDaemons: FakeDaemon[] = []
let routes: readonly FakeDaemon[] = []
let nowMs = 0

function respondWithAddresses (response: http.ServerResponse): void {
  const addresses = routes.map(({ address, incarnation }) => ({ address, availabilityZone: 'south-1', identities: [`${incarnation}.12.first`] }))
  response.setHeader('content-type', 'application/json')
  response.end(JSON.stringify({ timeToLiveMs: 15_000, addresses }))
}

async function startDaemon (handler: Handler): Promise<FakeDaemon> {
  const server = http.createServer((request, response) => {
    if (request.url?.startsWith('/v1/addresses') === true) {
      daemon.addressQueries.push(nowMs)
      respondWithAddresses(response)
      return
    }
    daemon.identities.push(String(request.headers['idempotency-key']))
    request.resume().on('end', () => { handler(request, response, daemon) })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const daemon = new FakeDaemon(server)
  startedDaemons.push(daemon)
  return daemon
}

function respondComplete (_request: http.IncomingMessage, response: http.ServerResponse): void {
  response.end('complete response')
}

function refuse (reason: protocol.Reason, namesIdentity = true): Handler {
  return (request, response) => {
    const { status, execution, text, remedy } = protocol.EXPLANATIONS[reason]
    response.writeHead(status, { [protocol.HEADERS.reason]: reason, [protocol.HEADERS.execution]: execution })
    const identity = namesIdentity ? { identity: request.headers['idempotency-key'] } : {}
    response.end(JSON.stringify({ error: { reason, message: text, remedy, execution, retryAfterMs: 2_000, ...identity } }))
  }
}

function stream (chunks: readonly string[]): Handler {
  return (_request, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    for (const chunk of chunks) response.write(chunk)
    response.end()
  }
}

/** Calls the handlers one after another; the last one handles all further requests. */
function inSequence (...handlers: readonly Handler[]): Handler {
  let calls = 0
  return (request, response, daemon) => {
    handlers[Math.min(calls++, handlers.length - 1)]?.(request, response, daemon)
  }
}

const breakConnection: Handler = (request) => { request.socket.destroy() }

const REQUEST = { service: 'stock', method: 'POST', path: '/reservations', body: '{}', deadlineMs: 5_000 }

async function sendRequest (daemons: readonly FakeDaemon[]): Promise<{ readonly response: answers.Answer | undefined, readonly failure: errors.Failure | undefined }> {
  routes = daemons
  const caller = callers.createCaller({ daemons: daemons.map((daemon) => daemon.address), clock: () => nowMs })
  const result = await caller.request(REQUEST)
  const output = result.match((response) => ({ response, failure: undefined }), (failure) => ({ response: undefined, failure }))
  if (output.response?.kind !== 'stream') await caller.close()
  return output
}

async function createClosedDaemon (): Promise<FakeDaemon> {
  const daemon = await startDaemon(respondComplete)
  await daemon.close()
  return daemon
}

suite.after.each(async () => {
  for (const daemon of startedDaemons.splice(0)) await daemon.close()
})

suite('sends a request under an identity of the first address', async () => {
  const [first, second] = [await startDaemon(respondComplete), await startDaemon(respondComplete)]
  const { response } = await sendRequest([first, second])
  assert.ok(response?.kind === 'whole' && response.text === 'complete response')
  assert.match(first.identities[0] ?? '', new RegExp(`^${first.incarnation}\\.12\\.[0-9a-f]{24}$`))
  assert.is(second.identities.length, 0)
})

suite('caches the addresses for their time to live', async () => {
  const daemon = await startDaemon(respondComplete)
  routes = [daemon]
  const caller = callers.createCaller({ daemons: [daemon.address], clock: () => nowMs })
  for (const atMs of [0, 14_000, 16_000]) {
    nowMs = atMs
    await caller.request(REQUEST)
  }
  nowMs = 0
  await caller.close()
  assert.equal(daemon.addressQueries, [0, 16_000])
  assert.is(new Set(daemon.identities).size, 3)
})

suite('fails over with a new identity from an address that refuses the connection', async () => {
  const [first, second] = [await createClosedDaemon(), await startDaemon(respondComplete)]
  const { response } = await sendRequest([first, second])
  assert.is(response?.kind, 'whole')
  assert.ok(second.identities[0]?.startsWith(second.incarnation))
})

suite('fails over from a daemon that is shutting down', async () => {
  const [first, second] = [await startDaemon(refuse('draining')), await startDaemon(respondComplete)]
  const { response } = await sendRequest([first, second])
  assert.is(response?.kind, 'whole')
  assert.not.equal(first.identities, second.identities)
})

suite('resends a request whose connection broke to the same owner under the same identity', async () => {
  const [first, second] = [await startDaemon(inSequence(breakConnection, respondComplete)), await startDaemon(respondComplete)]
  const { response } = await sendRequest([first, second])
  assert.is(response?.kind, 'whole')
  assert.is(first.identities.length, 2)
  assert.is(new Set(first.identities).size, 1)
  assert.is(second.identities.length, 0)
})

suite('never changes the identity once the request may have been run', async () => {
  const first = await startDaemon(breakConnection)
  const second = await startDaemon(refuse('outcome-unknown'))
  const { failure } = await sendRequest([first, second])
  assert.instance(failure, errors.UnknownOutcome)
  assert.is(new Set([...first.identities, ...second.identities]).size, 1)
})

suite('treats a refusal by another daemon as an unknown outcome', async () => {
  const [first, second] = [await startDaemon(breakConnection), await startDaemon(refuse('draining'))]
  const { failure } = await sendRequest([first, second])
  assert.instance(failure, errors.UnknownOutcome)
})

for (const { reason, namesIdentity } of [{ reason: 'draining' as const, namesIdentity: true }, { reason: 'no-authority' as const, namesIdentity: false }]) {
  suite(`treats ${reason} from a later process at the owner's address as an unknown outcome`, async () => {
    const first = await startDaemon(inSequence(breakConnection, refuse(reason, namesIdentity)))
    const second = await startDaemon(respondComplete)
    const { failure } = await sendRequest([first, second])
    assert.instance(failure, errors.UnknownOutcome)
    assert.is(second.identities.length, 0)
  })
}

suite('returns the owner\'s refusal of a resend', async () => {
  const daemon = await startDaemon(inSequence(breakConnection, refuse('shed')))
  const { failure } = await sendRequest([daemon])
  assert.ok(failure instanceof errors.RefusedRequest && failure.execution === 'not-run')
})

suite('reports why a daemon aborted a stream', async () => {
  const chunks = ['data: {"a":1}\n\n', 'event: error\ndata: {"error":{"message":"Stopped for a higher tier."}}\n\n']
  const { response } = await sendRequest([await startDaemon(stream(chunks))])
  if (response?.kind !== 'stream') throw new Error('expected a stream')
  const events = []
  for await (const event of response.events) events.push(event.match((data) => data, (error) => error.message))
  assert.is(events.length, 2)
  assert.match(events[1] ?? '', /^Stopped for a higher tier\./)
})

suite('follows a redirect to the owner once, under the same identity', async () => {
  const second = await startDaemon(respondComplete)
  const first = await startDaemon((_request, response) => {
    response.writeHead(307, { location: `http://${second.address}/s/stock/reservations`, [protocol.HEADERS.reason]: 'other-address', [protocol.HEADERS.execution]: 'not-run' })
    response.end('{}')
  })
  const { response } = await sendRequest([first])
  assert.is(response?.kind, 'whole')
  assert.equal(second.identities, first.identities)
})

suite('fails if daemons redirect to each other', async () => {
  const daemon = await startDaemon((request, response) => {
    response.writeHead(307, { location: `http://${request.headers.host ?? ''}/s/stock/reservations` })
    response.end()
  })
  const { failure } = await sendRequest([daemon])
  assert.instance(failure, errors.UnknownOutcome)
  assert.is(daemon.identities.length, 2)
})

suite('returns a refusal with its execution, retry time and remedy', async () => {
  const daemon = await startDaemon(refuse('shed'))
  const { failure } = await sendRequest([daemon])
  assert.instance(failure, errors.RefusedRequest)
  assert.ok(failure instanceof errors.RefusedRequest && failure.execution === 'not-run' && failure.refusal.retryAfterMs === 2_000)
  assert.match(failure.message, /retry-after/)
  assert.is(daemon.identities.length, 1)
})

suite('passes through errors of the target', async () => {
  const daemon = await startDaemon((_request, response) => { response.writeHead(409).end('already reserved') })
  const { response } = await sendRequest([daemon])
  assert.ok(response?.kind === 'whole' && response.status === 409 && response.text === 'already reserved')
})

for (const { name, chunks, isComplete } of [
  { name: 'reads a stream to its end marker', chunks: ['data: {"a"', ':1}\n\nda', 'ta: [DONE]\n\n'], isComplete: true },
  { name: 'reports a stream without an end marker', chunks: ['data: {"a":1}\n\n'], isComplete: false }
]) {
  suite(name, async () => {
    const { response } = await sendRequest([await startDaemon(stream(chunks))])
    if (response?.kind !== 'stream') throw new Error('expected a stream')
    const events = []
    for await (const event of response.events) events.push(event)
    assert.is(events[0]?.unwrapOr(''), '{"a":1}')
    assert.is(events.at(-1)?.isOk(), isComplete)
    if (!isComplete) assert.instance(events.at(-1)?.match(() => undefined, (error) => error), errors.IncompleteAnswer)
  })
}

suite('names the daemons that could not be reached', async () => {
  const daemon = await createClosedDaemon()
  const { failure } = await sendRequest([daemon])
  assert.instance(failure, errors.UnreachableDaemons)
  assert.match(failure?.message ?? '', new RegExp(daemon.address))
})

suite.run()
