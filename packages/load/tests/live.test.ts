import * as http from 'node:http'
import type * as net from 'node:net'
import * as stream from 'node:stream'
import * as clipanion from 'clipanion'
import * as undici from 'undici'
import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as daemonAddresses from '../src/live/daemon-addresses.js'
import * as drive from '../src/live/drive.js'
import * as loadCommand from '../src/live/load-command.js'
import * as httpSender from '../src/live/http-sender.js'
import * as plan from '../src/live/plan.js'
import * as summary from '../src/live/summary.js'
import * as mix from '../src/mix.js'
import * as random from '../src/random.js'
import * as traces from './traces.js'

const test = uvu.suite('live')
const LIMITS = { maxRequests: 500, durationMs: 10_000 }

function planRequests (maxRequests: number): readonly plan.PlannedRequest[] {
  return [...plan.planMix(mix.LANAUSTRO, 100, { ...LIMITS, maxRequests }, random.seededRandom(3))]
}

/** A clock that only advances in `sleep`. */
class Clock {
  nowMs = 0

  readonly now = (): number => this.nowMs
  readonly sleep = async (durationMs: number): Promise<void> => { this.nowMs += durationMs }
}

test('load is only sent to loopback addresses unless others are allowed', () => {
  assert.equal(daemonAddresses.readAddresses('127.0.0.1:7400, [::1]:7401', false)._unsafeUnwrap(), ['127.0.0.1:7400', '[::1]:7401'])
  assert.match(daemonAddresses.readAddresses('127.0.0.1:7400,10.0.0.7:7400', false)._unsafeUnwrapErr().message, /10\.0\.0\.7:7400 is not a loopback address/)
  assert.ok(daemonAddresses.readAddresses('10.0.0.7:7400', true).isOk())
  for (const address of ['localhost:7400', '127.0.0.1', '127.0.0.1:0', '127.0.0.300:80', '127.0.0.1:99999', '']) {
    assert.ok(daemonAddresses.readAddresses(address, true).isErr(), address)
  }
})

test('plans are limited in number and duration, and deterministic for a seed', () => {
  assert.is(planRequests(20).length, 20)
  assert.equal(planRequests(20), planRequests(20))
  const timed = planRequests(100_000)
  assert.ok(timed.length > 800 && timed.length < 1_200)
  assert.ok(timed.every(({ atMs }) => atMs < LIMITS.durationMs))
  const recorded = traces.generateShortTrace(traces.PROFILES[0] as (typeof traces.PROFILES)[number], 0.7)
  const slow = [...plan.planTrace(recorded, 0.5, LIMITS)]
  assert.is(slow.length, Math.min(LIMITS.maxRequests, recorded.arrivals.filter(({ atMs }) => atMs * 2 < LIMITS.durationMs).length))
  assert.is(slow[3]?.atMs, (recorded.arrivals[3]?.atMs ?? 0) * 2)
})

test('latency includes the delay of a late sender, and slow responses delay no request', async () => {
  const clock = new Clock()
  const planned = planRequests(50)
  const sent: number[] = []
  const calls = await drive.drive(planned, {
    ...clock,
    send: async () => {
      sent.push(clock.nowMs)
      // The first call blocks the sender for 300 ms.
      if (sent.length === 1) clock.nowMs += 300
      return { outcome: 'answered', reason: 'answered', firstByteAtMs: clock.nowMs, endedAtMs: clock.nowMs }
    }
  }, 1_000)
  assert.is(calls.length, 50)
  calls.forEach((call, index) => assert.is(call.intendedAtMs, planned[index]?.atMs))
  const delayed = calls.filter(({ intendedAtMs }) => intendedAtMs < 300)
  assert.ok(delayed.length > 5)
  assert.ok(delayed.slice(1, 4).every(({ intendedAtMs, result }) => result.endedAtMs - intendedAtMs > 100))
})

test('calls without a response end after the drain time', async () => {
  const clock = new Clock()
  const calls = await drive.drive(planRequests(3), {
    ...clock,
    send: async (_, signal) => await new Promise((resolve) => {
      signal.addEventListener('abort', () => resolve({ outcome: 'unanswered', reason: 'unanswered', firstByteAtMs: undefined, endedAtMs: clock.nowMs }))
    })
  }, 1_000)
  assert.equal(calls.map(({ result }) => result.outcome), ['unanswered', 'unanswered', 'unanswered'])
})

test('requests are sent over HTTP, non-idempotent ones with an identity, and a stream is complete only at its end marker', async () => {
  const seen: string[] = []
  const server = http.createServer((request, response) => {
    request.resume()
    const identity = request.headers['idempotency-key'] ?? 'none'
    seen.push(`${request.method} ${request.url} ${identity}`)
    if (request.url?.startsWith('/v1/addresses') === true) response.end(JSON.stringify({ addresses: [{ address, identities: ['abc.1.n'] }] }))
    else if (request.url?.includes('/prices/') === true) response.end('data: {}\n\ndata: [DONE]\n\n')
    else if (request.url?.includes('/dossiers/') === true) response.writeHead(503, { 'x-persimmonhatch-reason': 'shed' }).end('{}')
    else response.end('{}')
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`
  const httpClient = new undici.Agent()
  const send = httpSender.createHttpSender({ addresses: [address], httpClient, now: () => performance.now() })
  const calls = await drive.drive(planRequests(60), { now: () => 0, sleep: async (durationMs) => { if (durationMs === 60_000) await new Promise(() => undefined) }, send }, 60_000)
  const outcomes = new Set(calls.map(({ request, result }) => `${request.kind.name} ${result.outcome} ${result.reason}`))
  assert.equal([...outcomes].sort(), ['dossier refused shed', 'price answered answered', 'reservation answered answered', 'settlement answered answered', 'summary refused shed'])
  assert.ok(seen.includes('POST /s/auctions/reservations abc.1.n'))
  assert.ok(seen.filter((line) => line.startsWith('POST /s/prices')).every((line) => line.endsWith(' none')))
  assert.match(summary.formatSummary(new Map([['daemons', calls]])), /\| daemons \| price +\| [0-9]+ +\|/)
  await httpClient.destroy()
  await new Promise((resolve) => server.close(resolve))
})

async function runCommand (args: readonly string[]): Promise<{ readonly code: number, readonly out: string, readonly err: string }> {
  const [stdout, stderr] = [new stream.PassThrough(), new stream.PassThrough()]
  const cli = new clipanion.Cli({ binaryName: 'persimmonhatch-load' })
  cli.register(loadCommand.LoadCommand)
  const code = await cli.run([...args], { stdout, stderr })
  return { code, out: String(stdout.read() ?? ''), err: String(stderr.read() ?? '') }
}

test('the command counts requests that could not be sent, and refuses remote addresses and unknown mixes and traces', async () => {
  const unreachable = await runCommand(['--daemons', '127.0.0.1:1', '--mix', 'lanaustro', '--rate', '200', '--duration', '0.5', '--against', '127.0.0.1:1'])
  assert.is(unreachable.code, 0)
  const sent = unreachable.out.split('\n').slice(2).filter((line) => line !== '').map((line) => line.split('|').map((cell) => cell.trim()))
  assert.equal([...new Set(sent.map((cells) => cells[1]))], ['daemons', 'against'])
  assert.ok(sent.every((cells) => Number(cells[3]) > 0 && cells[3] === cells[6]), unreachable.out)
  const remote = await runCommand(['--daemons', '10.0.0.1:80', '--mix', 'lanaustro'])
  assert.is(remote.code, 1)
  assert.match(remote.err, /not a loopback address/)
  assert.match((await runCommand(['--daemons', '127.0.0.1:1'])).err, /Name either --mix or --trace/)
  assert.match((await runCommand(['--daemons', '127.0.0.1:1', '--mix', 'poems'])).err, /There is no mix "poems"/)
  assert.match((await runCommand(['--daemons', '127.0.0.1:1', '--trace', 'none.jsonl'])).err, /Name a file that exists/)
})

test.run()
