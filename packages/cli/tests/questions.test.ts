import * as document from '@persimmonhatch/document'
import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as harness from './harness.js'

const ask = uvu.suite('status, explain and burn')

const [ONE, TWO, SILENT] = ['127.0.0.1:7401', '127.0.0.1:7402', '127.0.0.1:7403']
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

function createWorld (): harness.World {
  const world = new harness.World()
  const members = [harness.member(TWO, 'inc2'), harness.member(SILENT)]
  const services = [{ service: 'listings', revision: 3, changeId: 'change-0003' }]
  const statuses = new Map([
    [ONE, harness.status(ONE, services, members)],
    [TWO, { ...harness.status(TWO, [{ ...services[0], problem: 'Revision 4 is invalid' }]) as object, incarnation: 'inc2', leavingTargets: ['engine-b'] }]
  ])
  for (const [address, status] of statuses) {
    world.daemons.set(address, (path) => path === '/v1/status' ? { status: 200, body: status } : { status: 404, body: {} })
  }
  return world
}

ask('status finds peers through a daemon while the platform is down, and lists who is out of reach', async () => {
  const world = createWorld()
  world.platformIsDown = true
  const ran = await world.run('status', '--daemon', ONE)
  assert.is(ran.code, 0)
  assert.match(ran.out, /listings +127.0.0.1:7402 +3 +Revision 4 is invalid/)
  assert.match(ran.out, /leaving targets: engine-b/)
  assert.match(ran.out, /not reached:\n.*127.0.0.1:7403 did not answer: connection refused/)
})

ask('status says when no daemon is known, or none answers', async () => {
  const unknown = await new harness.World().run('status')
  assert.is(unknown.code, 6)
  assert.match(unknown.err, /--daemon ADDRESS/)
  const silent = await new harness.World().run('status', '--daemon', SILENT, '--json')
  assert.is(silent.code, 6)
  assert.match(JSON.parse(silent.out).error.message, /7403 did not answer/)
})

ask('status refuses an answer of another form', async () => {
  const world = new harness.World()
  world.daemons.set(ONE, () => ({ status: 200, body: { ok: true } }))
  const ran = await world.run('status', '--daemon', ONE)
  assert.is(ran.code, 6)
  assert.match(ran.err, /answer of another form/)
})

ask('explain asks the owner first', async () => {
  const world = createWorld()
  const asked: string[] = []
  const status = world.daemons.get(TWO)
  world.daemons.set(TWO, (path) => {
    if (path === '/v1/status') return status?.(path) ?? { status: 500, body: undefined }
    asked.push(path)
    return { status: 200, body: { receipt: RECEIPT, sentences: ['said by the daemon'] } }
  })
  const ran = await world.run('explain', IDENTITY, '--daemon', ONE)
  assert.is(ran.code, 0, ran.err)
  assert.equal(asked, [`/v1/requests/${IDENTITY}`])
  assert.match(ran.out, /A request of fes to listings, tier batch, waited 1200 ms. Capacity was short: 4 requests .* 9000 ms against a limit of 3000 ms. It was not run./)
  assert.match(ran.out, /What to do: Come back .*\nFigures:\n {2}ahead: 4/)
})

ask('explain says who does not remember, and who is out of reach', async () => {
  const ran = await createWorld().run('explain', IDENTITY, '--daemon', ONE)
  assert.is(ran.code, 9)
  assert.match(ran.err, /7402: does not remember it\n.*7401: does not remember it\n.*7403: .*connection refused/)
  assert.match(ran.err, /use --receipt/)
})

ask('explain reads a receipt without any daemon', async () => {
  const ran = await new harness.World().run('explain', '--receipt', encode(RECEIPT), '--json')
  assert.is(ran.code, 0)
  assert.is(JSON.parse(ran.out).sentences.length, 3)
})

ask('explain tells what it can of a reason that it does not know', async () => {
  const ran = await new harness.World().run('explain', '--receipt', encode({ ...RECEIPT, reason: 'constructor' }))
  assert.is(ran.code, 0)
  assert.match(ran.out, /waited 1200 ms. It was not run./)
})

const WRONG: ReadonlyArray<readonly [name: string, args: readonly string[], code: number, text: RegExp]> = [
  ['neither identity nor receipt', [], 2, /either a request identity or --receipt/],
  ['both', [IDENTITY, '--receipt', encode(RECEIPT)], 2, /either a request identity or --receipt/],
  ['a wrong identity', ['../status'], 2, /INCARNATION.EPOCH.NONCE/],
  ['an identity without a known daemon', [IDENTITY], 6, /No live daemon is known/],
  ['an identity without a reachable daemon', [IDENTITY, '--daemon', SILENT], 6, /No daemon answered/],
  ['a receipt that is no JSON', ['--receipt', 'AAAA'], 3, /base64url/],
  ['a receipt without a key', ['--receipt', encode({ ...RECEIPT, tier: undefined })], 3, /tier is \(missing\)/]
]

for (const [name, args, code, text] of WRONG) {
  ask(`explain refuses ${name}`, async () => {
    const ran = await new harness.World().run('explain', ...args)
    assert.is(ran.code, code, ran.err)
    assert.match(ran.err, text)
  })
}

const MINUTE_MS = 60_000

async function createBurning (): Promise<harness.World> {
  const world = new harness.World()
  world.files.set('listings.jsonc', harness.listings())
  await world.run('apply', 'listings.jsonc')
  // The harness's clock starts in minute 16.
  const counter = document.burnCounter.createBurnCounter({ availabilityZone: 'zone-a', incarnation: 'inc1' })
  for (const counts of [['total'], ['total', 'refused', 'causeShed']] as const) {
    counter.count({ service: 'listings', tier: 'urgent', organisation: 'rabat', counts }, 15 * MINUTE_MS)
  }
  for (const record of counter.records(16 * MINUTE_MS)) world.put(document.burnRecord.recordKey(record), document.burnRecord.writeRecord(record))
  return world
}

ask('burn shows budgets, rates and causes', async () => {
  const ran = await (await createBurning()).run('burn', '--windows', '5m,10m')
  assert.is(ran.code, 0, ran.err)
  assert.match(ran.out, /listings +urgent +all +refused +1 % +1 of 2 +50.0 +50.0 +ok +shed 1/)
  assert.match(ran.out, /listings +urgent +rabat +completion +5 % +0 of 1 +0.0/)
})

ask('burn writes a page with plots, and one with the table only', async () => {
  const world = await createBurning()
  assert.match((await world.run('burn', '--html', 'burn.html')).out, /Wrote burn.html/)
  assert.match(world.files.get('burn.html') ?? '', /<td>shed 1<\/td>/)
  assert.not.match(world.files.get('burn.html') ?? '', /<figure>|src=|href=/)
  world.plot = (curve) => `<svg><title>${curve.title} ${curve.values.filter((value) => value !== undefined).join()}</title></svg>`
  await world.run('burn', '--html', 'burn.html')
  assert.match(world.files.get('burn.html') ?? '', /<figure><svg><title>listings, tier urgent: refused 50<\/title>/)
})

ask('burn names records that it cannot read, and goes on', async () => {
  const world = await createBurning()
  world.put('/persimmonhatch/burn/10/zone-b/inc2', '{"format":9}')
  assert.match((await world.run('burn')).out, /shed 1[^]*zone-b\/inc2 holds no burn record of this version/)
})

ask('burn says when there is nothing', async () => {
  const ran = await new harness.World().run('burn')
  assert.is(ran.code, 0)
  assert.match(ran.out, /No counts of service levels are stored for any service/)
})

for (const windows of ['1h', '1h,5m', '5m,7h', '0m,1h', '5m,1h,2h', '5,60']) {
  ask(`burn refuses windows ${windows}`, async () => {
    const ran = await new harness.World().run('burn', '--windows', windows)
    assert.is(ran.code, 2)
    assert.match(ran.err, /--windows .* is not valid/)
  })
}

ask('burn refuses an unknown service and an unreachable platform', async () => {
  const world = await createBurning()
  assert.is((await world.run('burn', '--service', 'stock')).code, 9)
  world.platformIsDown = true
  assert.is((await world.run('burn')).code, 5)
})

ask.run()
