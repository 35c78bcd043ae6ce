import * as http from 'node:http'
import type * as net from 'node:net'
import * as protocol from '@persimmonhatch/protocol'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import type * as answers from '../src/answer.js'
import * as callers from '../src/caller.js'
import * as errors from '../src/errors.js'

class Daemon {
  /** Identities of the requests received, in order. */
  readonly identities: string[] = []
  readonly lookups: number[] = []
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

type Handler = (request: http.IncomingMessage, response: http.ServerResponse, daemon: Daemon) => void

const suite = uvu.suite('caller')
const opened: Daemon[] = []
let routes: readonly Daemon[] = []
let nowMs = 0

function answerAddresses (response: http.ServerResponse): void {
  const addresses = routes.map(({ address, incarnation }) => ({ address, availabilityZone: 'south-1', identities: [`${incarnation}.12.first`] }))
  response.setHeader('content-type', 'application/json')
  response.end(JSON.stringify({ timeToLiveMs: 15_000, addresses }))
}

async function startDaemon (handler: Handler): Promise<Daemon> {
  const server = http.createServer((request, response) => {
    if (request.url?.startsWith('/v1/addresses') === true) {
      daemon.lookups.push(nowMs)
      answerAddresses(response)
      return
    }
    daemon.identities.push(String(request.headers['idempotency-key']))
    request.resume().on('end', () => { handler(request, response, daemon) })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const daemon = new Daemon(server)
  opened.push(daemon)
  return daemon
}

function finish (_request: http.IncomingMessage, response: http.ServerResponse): void {
  response.end('whole answer')
}

function refuse (reason: protocol.Reason, looksUp = true): Handler {
  return (request, response) => {
    const { status, execution, text, remedy } = protocol.EXPLANATIONS[reason]
    response.writeHead(status, { [protocol.HEADERS.reason]: reason, [protocol.HEADERS.execution]: execution })
    const identity = looksUp ? { identity: request.headers['idempotency-key'] } : {}
    response.end(JSON.stringify({ error: { reason, message: text, remedy, execution, retryAfterMs: 2_000, ...identity } }))
  }
}

function stream (parts: readonly string[]): Handler {
  return (_request, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    for (const part of parts) response.write(part)
    response.end()
  }
}

/** Performs the handlers in turn; the last one goes on. */
function inTurn (...handlers: readonly Handler[]): Handler {
  let calls = 0
  return (request, response, daemon) => {
    handlers[Math.min(calls++, handlers.length - 1)]?.(request, response, daemon)
  }
}

const breakConnection: Handler = (request) => { request.socket.destroy() }

const REQUEST = { service: 'stock', method: 'POST', path: '/reservations', body: '{}', deadlineMs: 5_000 }

async function ask (daemons: readonly Daemon[]): Promise<{ readonly answer: answers.Answer | undefined, readonly failure: errors.Failure | undefined }> {
  routes = daemons
  const caller = callers.createCaller({ daemons: daemons.map((daemon) => daemon.address), clock: () => nowMs })
  const result = await caller.request(REQUEST)
  const read = result.match((answer) => ({ answer, failure: undefined }), (failure) => ({ answer: undefined, failure }))
  if (read.answer?.kind !== 'stream') await caller.close()
  return read
}

async function closed (): Promise<Daemon> {
  const daemon = await startDaemon(finish)
  await daemon.close()
  return daemon
}

suite.after.each(async () => {
  for (const daemon of opened.splice(0)) await daemon.close()
})

suite('sends a request under an identity of the first address', async () => {
  const [first, second] = [await startDaemon(finish), await startDaemon(finish)]
  const { answer } = await ask([first, second])
  assert.ok(answer?.kind === 'whole' && answer.text === 'whole answer')
  assert.match(first.identities[0] ?? '', new RegExp(`^${first.incarnation}\\.12\\.[0-9a-f]{24}$`))
  assert.is(second.identities.length, 0)
})

suite('keeps the addresses for their time to live', async () => {
  const daemon = await startDaemon(finish)
  routes = [daemon]
  const caller = callers.createCaller({ daemons: [daemon.address], clock: () => nowMs })
  for (const atMs of [0, 14_000, 16_000]) {
    nowMs = atMs
    await caller.request(REQUEST)
  }
  nowMs = 0
  await caller.close()
  assert.equal(daemon.lookups, [0, 16_000])
  assert.is(new Set(daemon.identities).size, 3)
})

suite('fails over with a new identity from an address that refuses the connection', async () => {
  const [first, second] = [await closed(), await startDaemon(finish)]
  const { answer } = await ask([first, second])
  assert.is(answer?.kind, 'whole')
  assert.ok(second.identities[0]?.startsWith(second.incarnation))
})

suite('fails over from a daemon that is shutting down', async () => {
  const [first, second] = [await startDaemon(refuse('draining')), await startDaemon(finish)]
  const { answer } = await ask([first, second])
  assert.is(answer?.kind, 'whole')
  assert.not.equal(first.identities, second.identities)
})

suite('sends a request whose connection broke to the same owner under the same identity', async () => {
  const [first, second] = [await startDaemon(inTurn(breakConnection, finish)), await startDaemon(finish)]
  const { answer } = await ask([first, second])
  assert.is(answer?.kind, 'whole')
  assert.is(first.identities.length, 2)
  assert.is(new Set(first.identities).size, 1)
  assert.is(second.identities.length, 0)
})

suite('never changes the identity once the request may have been run', async () => {
  const first = await startDaemon(breakConnection)
  const second = await startDaemon(refuse('outcome-unknown'))
  const { failure } = await ask([first, second])
  assert.instance(failure, errors.UnknownOutcome)
  assert.is(new Set([...first.identities, ...second.identities]).size, 1)
})

suite('does not believe another daemon that the request was not run', async () => {
  const [first, second] = [await startDaemon(breakConnection), await startDaemon(refuse('draining'))]
  const { failure } = await ask([first, second])
  assert.instance(failure, errors.UnknownOutcome)
})

for (const { reason, looksUp } of [{ reason: 'draining' as const, looksUp: true }, { reason: 'no-authority' as const, looksUp: false }]) {
  suite(`does not believe a later process at the same address that answers ${reason}`, async () => {
    const first = await startDaemon(inTurn(breakConnection, refuse(reason, looksUp)))
    const second = await startDaemon(finish)
    const { failure } = await ask([first, second])
    assert.instance(failure, errors.UnknownOutcome)
    assert.is(second.identities.length, 0)
  })
}

suite('believes the owner that a resend was not run', async () => {
  const daemon = await startDaemon(inTurn(breakConnection, refuse('shed')))
  const { failure } = await ask([daemon])
  assert.ok(failure instanceof errors.RefusedRequest && failure.execution === 'not-run')
})

suite('says why a daemon cut a stream off', async () => {
  const parts = ['data: {"a":1}\n\n', 'event: error\ndata: {"error":{"message":"Stopped for a higher tier."}}\n\n']
  const { answer } = await ask([await startDaemon(stream(parts))])
  if (answer?.kind !== 'stream') throw new Error('expected a stream')
  const events = []
  for await (const event of answer.events) events.push(event.match((data) => data, (error) => error.message))
  assert.is(events.length, 2)
  assert.match(events[1] ?? '', /^Stopped for a higher tier\./)
})

suite('follows a redirect to the owner once, under the same identity', async () => {
  const second = await startDaemon(finish)
  const first = await startDaemon((_request, response) => {
    response.writeHead(307, { location: `http://${second.address}/s/stock/reservations`, [protocol.HEADERS.reason]: 'other-address', [protocol.HEADERS.execution]: 'not-run' })
    response.end('{}')
  })
  const { answer } = await ask([first])
  assert.is(answer?.kind, 'whole')
  assert.equal(second.identities, first.identities)
})

suite('gives up when daemons redirect to each other', async () => {
  const daemon = await startDaemon((request, response) => {
    response.writeHead(307, { location: `http://${request.headers.host ?? ''}/s/stock/reservations` })
    response.end()
  })
  const { failure } = await ask([daemon])
  assert.instance(failure, errors.UnknownOutcome)
  assert.is(daemon.identities.length, 2)
})

suite('returns a refusal with its execution, its time and its remedy', async () => {
  const daemon = await startDaemon(refuse('shed'))
  const { failure } = await ask([daemon])
  assert.instance(failure, errors.RefusedRequest)
  assert.ok(failure instanceof errors.RefusedRequest && failure.execution === 'not-run' && failure.refusal.retryAfterMs === 2_000)
  assert.match(failure.message, /retry-after/)
  assert.is(daemon.identities.length, 1)
})

suite('passes the target\'s own errors through', async () => {
  const daemon = await startDaemon((_request, response) => { response.writeHead(409).end('already reserved') })
  const { answer } = await ask([daemon])
  assert.ok(answer?.kind === 'whole' && answer.status === 409 && answer.text === 'already reserved')
})

for (const { name, parts, isWhole } of [
  { name: 'takes a stream with its proper end for whole', parts: ['data: {"a"', ':1}\n\nda', 'ta: [DONE]\n\n'], isWhole: true },
  { name: 'reports a stream without its proper end', parts: ['data: {"a":1}\n\n'], isWhole: false }
]) {
  suite(name, async () => {
    const { answer } = await ask([await startDaemon(stream(parts))])
    if (answer?.kind !== 'stream') throw new Error('expected a stream')
    const events = []
    for await (const event of answer.events) events.push(event)
    assert.is(events[0]?.unwrapOr(''), '{"a":1}')
    assert.is(events.at(-1)?.isOk(), isWhole)
    if (!isWhole) assert.instance(events.at(-1)?.match(() => undefined, (error) => error), errors.IncompleteAnswer)
  })
}

suite('says which daemons could not be reached', async () => {
  const daemon = await closed()
  const { failure } = await ask([daemon])
  assert.instance(failure, errors.UnreachableDaemons)
  assert.match(failure?.message ?? '', new RegExp(daemon.address))
})

suite.run()
