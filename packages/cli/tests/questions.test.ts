import * as document from '@persimmonhatch/document'
import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as harness from './harness.js'

const suite = uvu.suite('status, explain and burn')

const [FIRST_DAEMON, SECOND_DAEMON, UNREACHABLE_DAEMON] = ['127.0.0.1:7401', '127.0.0.1:7402', '127.0.0.1:7403']
const IDENTITY = 'inc2.17.a1'

const RECEIPT = {
  identity: IDENTITY,
  service: 'listings',
  organisation: 'fes',
  tier: 'batch',
  reason: 'shed',
  execution: 'not-run',
  waitedMs: 1_200.4,
  figures: { ahead: 4, expectedWaitMs: 9_000, maxWaitMs: 3_000 }
}

function encode (receipt: unknown): string {
  return Buffer.from(JSON.stringify(receipt)).toString('base64url')
}

function createFixture (): harness.Fixture {
  const fixture = new harness.Fixture()
  const members = [harness.createMember(SECOND_DAEMON, 'inc2'), harness.createMember(UNREACHABLE_DAEMON)]
  const services = [{ service: 'listings', revision: 3, changeId: 'change-0003' }]
  const statuses = new Map([
    [FIRST_DAEMON, harness.createStatus(FIRST_DAEMON, services, members)],
    [SECOND_DAEMON, { ...harness.createStatus(SECOND_DAEMON, [{ ...services[0], problem: 'Revision 4 is invalid' }]) as object, incarnation: 'inc2', leavingTargets: ['engine-b'] }]
  ])
  for (const [address, status] of statuses) {
    fixture.daemons.set(address, (path) => path === '/v1/status' ? { status: 200, body: status } : { status: 404, body: {} })
  }
  return fixture
}

suite('status discovers peers through a daemon while the platform is down, and lists unreachable daemons', async () => {
  const fixture = createFixture()
  fixture.isPlatformDown = true
  const output = await fixture.run('status', '--daemon', FIRST_DAEMON)
  assert.is(output.code, 0)
  assert.match(output.out, /listings +127.0.0.1:7402 +3 +Revision 4 is invalid/)
  assert.match(output.out, /leaving targets: engine-b/)
  assert.match(output.out, /not reached:\n.*127.0.0.1:7403 did not answer: connection refused/)
})

suite('status reports that no daemon is known, or that none responds', async () => {
  const withoutDaemon = await new harness.Fixture().run('status')
  assert.is(withoutDaemon.code, 6)
  assert.match(withoutDaemon.err, /--daemon ADDRESS/)
  const unreachable = await new harness.Fixture().run('status', '--daemon', UNREACHABLE_DAEMON, '--json')
  assert.is(unreachable.code, 6)
  assert.match(JSON.parse(unreachable.out).error.message, /7403 did not answer/)
})

suite('status rejects a malformed response', async () => {
  const fixture = new harness.Fixture()
  fixture.daemons.set(FIRST_DAEMON, () => ({ status: 200, body: { ok: true } }))
  const output = await fixture.run('status', '--daemon', FIRST_DAEMON)
  assert.is(output.code, 6)
  assert.match(output.err, /127.0.0.1:7401 sent an unexpected response/)
})

suite('explain queries the owner first', async () => {
  const fixture = createFixture()
  const requestedPaths: string[] = []
  const status = fixture.daemons.get(SECOND_DAEMON)
  fixture.daemons.set(SECOND_DAEMON, (path) => {
    if (path === '/v1/status') return status?.(path) ?? { status: 500, body: undefined }
    requestedPaths.push(path)
    return { status: 200, body: { receipt: RECEIPT, sentences: ['sentence from the daemon'] } }
  })
  const output = await fixture.run('explain', IDENTITY, '--daemon', FIRST_DAEMON)
  assert.is(output.code, 0, output.err)
  assert.equal(requestedPaths, [`/v1/requests/${IDENTITY}`])
  assert.match(output.out, /A request of fes to listings, tier batch, waited 1200 ms. There was not enough capacity: 4 requests .* The expected wait was 9000 ms, the limit 3000 ms. It was not run./)
  assert.match(output.out, /What to do: Retry after .*\nFigures:\n {2}ahead: 4/)
})

suite('explain lists daemons without a record, and unreachable daemons', async () => {
  const output = await createFixture().run('explain', IDENTITY, '--daemon', FIRST_DAEMON)
  assert.is(output.code, 9)
  assert.match(output.err, /7402: has no record of it\n.*7401: has no record of it\n.*7403: .*connection refused/)
  assert.match(output.err, /use --receipt/)
})

suite('explain reads a receipt without any daemon', async () => {
  const output = await new harness.Fixture().run('explain', '--receipt', encode(RECEIPT), '--json')
  assert.is(output.code, 0)
  assert.is(JSON.parse(output.out).sentences.length, 3)
})

suite('explain explains the rest of a receipt with an unknown reason', async () => {
  const output = await new harness.Fixture().run('explain', '--receipt', encode({ ...RECEIPT, reason: 'constructor' }))
  assert.is(output.code, 0)
  assert.match(output.out, /waited 1200 ms. It was not run./)
})

const INVALID_CASES: ReadonlyArray<readonly [name: string, args: readonly string[], code: number, text: RegExp]> = [
  ['neither identity nor receipt', [], 2, /either a request identity or --receipt/],
  ['both', [IDENTITY, '--receipt', encode(RECEIPT)], 2, /either a request identity or --receipt/],
  ['a malformed identity', ['../status'], 2, /INCARNATION.EPOCH.NONCE/],
  ['an identity without a known daemon', [IDENTITY], 6, /No live daemon is known/],
  ['an identity without a reachable daemon', [IDENTITY, '--daemon', UNREACHABLE_DAEMON], 6, /No daemon answered/],
  ['a receipt that is not JSON', ['--receipt', 'AAAA'], 3, /base64url/],
  ['a receipt without a key', ['--receipt', encode({ ...RECEIPT, tier: undefined })], 3, /tier is \(missing\)/]
]

for (const [name, args, code, text] of INVALID_CASES) {
  suite(`explain refuses ${name}`, async () => {
    const output = await new harness.Fixture().run('explain', ...args)
    assert.is(output.code, code, output.err)
    assert.match(output.err, text)
  })
}

const MS_PER_MINUTE = 60_000

async function createBurnFixture (): Promise<harness.Fixture> {
  const fixture = new harness.Fixture()
  fixture.files.set('listings.jsonc', harness.createDocumentText())
  await fixture.run('apply', 'listings.jsonc')
  // The clock of the fixture starts in minute 16.
  const counter = document.burnCounter.createBurnCounter({ availabilityZone: 'zone-a', incarnation: 'inc1' })
  for (const counts of [['total'], ['total', 'refused', 'causeShed']] as const) {
    counter.count({ service: 'listings', tier: 'urgent', organisation: 'rabat', counts }, 15 * MS_PER_MINUTE)
  }
  for (const record of counter.records(16 * MS_PER_MINUTE)) fixture.put(document.burnRecord.recordKey(record), document.burnRecord.writeRecord(record))
  return fixture
}

suite('burn shows budgets, rates and causes', async () => {
  const output = await (await createBurnFixture()).run('burn', '--windows', '5m,10m')
  assert.is(output.code, 0, output.err)
  assert.match(output.out, /listings +urgent +all +refused +1 % +1 of 2 +50.0 +50.0 +ok +shed 1/)
  assert.match(output.out, /listings +urgent +rabat +completion +5 % +0 of 1 +0.0/)
})

suite('burn writes a page with plots, and one with the table only', async () => {
  const fixture = await createBurnFixture()
  assert.match((await fixture.run('burn', '--html', 'burn.html')).out, /Wrote burn.html/)
  assert.match(fixture.files.get('burn.html') ?? '', /<td>shed 1<\/td>/)
  assert.not.match(fixture.files.get('burn.html') ?? '', /<figure>|src=|href=/)
  fixture.plot = (curve) => `<svg><title>${curve.title} ${curve.values.filter((value) => value !== undefined).join()}</title></svg>`
  await fixture.run('burn', '--html', 'burn.html')
  assert.match(fixture.files.get('burn.html') ?? '', /<figure><svg><title>listings, tier urgent: refused 50<\/title>/)
})

suite('burn names unreadable records and skips them', async () => {
  const fixture = await createBurnFixture()
  fixture.put('/persimmonhatch/burn/10/zone-b/inc2', '{"format":9}')
  assert.match((await fixture.run('burn')).out, /shed 1[^]*zone-b\/inc2 holds no burn record of this version/)
})

suite('burn reports that there are no records', async () => {
  const output = await new harness.Fixture().run('burn')
  assert.is(output.code, 0)
  assert.match(output.out, /No counts of service levels are stored for any service/)
})

for (const windows of ['1h', '1h,5m', '5m,7h', '0m,1h', '5m,1h,2h', '5,60']) {
  suite(`burn refuses windows ${windows}`, async () => {
    const output = await new harness.Fixture().run('burn', '--windows', windows)
    assert.is(output.code, 2)
    assert.match(output.err, /--windows .* is not valid/)
  })
}

suite('burn refuses an unknown service and an unreachable platform', async () => {
  const fixture = await createBurnFixture()
  assert.is((await fixture.run('burn', '--service', 'stock')).code, 9)
  fixture.isPlatformDown = true
  assert.is((await fixture.run('burn')).code, 5)
})

suite.run()
