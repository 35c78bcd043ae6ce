import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as harness from './harness.js'

const apply = uvu.suite('apply')

const KEY = '/persimmonhatch/services/listings'
const DAEMON = '127.0.0.1:7401'

function createWorld (): harness.World {
  const world = new harness.World()
  world.files.set('listings.jsonc', harness.listings())
  return world
}

async function otherOperator (world: harness.World, content: string): Promise<void> {
  world.files.set('theirs.jsonc', content)
  const ran = await world.run('apply', 'theirs.jsonc', '--operator', 'bo', '--comment', 'new share')
  assert.is(ran.code, 0, ran.err)
}

apply('writes a first document and leaves an unchanged one alone', async () => {
  const world = createWorld()
  const first = await world.run('apply', 'listings.jsonc')
  assert.is(first.code, 0)
  assert.match(first.out, /revision 1 is stored \(change change-0001\), replacing nothing/)
  const second = await world.run('apply', 'listings.jsonc')
  assert.is(second.code, 0)
  assert.match(second.out, /revision 1 already, written by ana at 1970/)
})

apply('refuses a shown file once another operator changed the document, and says who', async () => {
  const world = createWorld()
  await world.run('apply', 'listings.jsonc')
  const shown = await world.run('show', 'listings')
  await otherOperator(world, harness.listings({ organisations: [{ name: 'fes' }] }))
  world.files.set('listings.jsonc', shown.out.replace('rabat', 'sale'))
  const ran = await world.run('apply', 'listings.jsonc')
  assert.is(ran.code, 4)
  assert.match(ran.err, /is at revision 2, but your file is for revision 1. Nothing was written/)
  assert.match(ran.err, /revision 2 by bo at .*new share/)
})

apply('takes a shown file back while nothing changed', async () => {
  const world = createWorld()
  await world.run('apply', 'listings.jsonc')
  world.files.set('listings.jsonc', (await world.run('show', 'listings')).out.replace('rabat', 'sale'))
  const ran = await world.run('apply', 'listings.jsonc')
  assert.is(ran.code, 0)
  assert.not.match(world.entries.get(KEY)?.value ?? '', /revision 1 of/)
})

apply('says that a race was lost and who won it', async () => {
  const world = createWorld()
  await world.run('apply', 'listings.jsonc')
  const theirs = new harness.World()
  for (const [key, entry] of world.entries) theirs.put(key, entry.value)
  await otherOperator(theirs, harness.listings({ organisations: [{ name: 'fes' }] }))
  world.files.set('listings.jsonc', harness.listings({ organisations: [{ name: 'sale' }] }))
  world.beforeWrite = () => { world.put(KEY, theirs.entries.get(KEY)?.value ?? '') }
  const ran = await world.run('apply', 'listings.jsonc')
  assert.is(ran.code, 4)
  assert.match(ran.err, /another change came first, nothing was written:\n {2}revision 2 by bo/)
})

apply('takes a change made while the tool ran for a race, though the file states no revision', async () => {
  const world = createWorld()
  await world.run('apply', 'listings.jsonc')
  const theirs = new harness.World()
  for (const [key, entry] of world.entries) theirs.put(key, entry.value)
  await otherOperator(theirs, harness.listings({ organisations: [{ name: 'fes' }] }))
  // The daemons are asked between the checks and the write.
  world.daemons.set(DAEMON, () => {
    world.put(KEY, theirs.entries.get(KEY)?.value ?? '')
    return { status: 200, body: harness.status(DAEMON, []) }
  })
  world.files.set('listings.jsonc', harness.listings({ organisations: [{ name: 'sale' }] }))
  const ran = await world.run('apply', 'listings.jsonc', '--daemon', DAEMON)
  assert.is(ran.code, 4)
  assert.match(ran.err, /another change came first, nothing was written:\n {2}revision 2 by bo/)
})

apply('reads back after a lost answer', async () => {
  const world = createWorld()
  world.fates = ['lost-after']
  const ran = await world.run('apply', 'listings.jsonc')
  assert.is(ran.code, 0)
  assert.match(ran.out, /answer of the platform was lost, but reading back shows that revision 1 is stored/)
})

apply('admits that it does not know', async () => {
  const world = createWorld()
  world.fates = Array.from({ length: 20 }, () => 'lost-before')
  const ran = await world.run('apply', 'listings.jsonc', '--json')
  assert.is(ran.code, 7)
  assert.match(JSON.parse(ran.out).error.message, /not known whether .* change change-0001 later with: persimmonhatch history listings/)
})

apply('says that nothing was written to an unreachable platform', async () => {
  const world = createWorld()
  world.platformIsDown = true
  const ran = await world.run('apply', 'listings.jsonc')
  assert.is(ran.code, 5)
  assert.match(ran.err, /check platform.endpoints/)
})

const REFUSED: ReadonlyArray<readonly [name: string, content: string | undefined, args: readonly string[], code: number, text: RegExp]> = [
  ['a missing file', undefined, [], 3, /listings.jsonc cannot be read/],
  ['a malformed file', '{', [], 3, /line 1/],
  ['a document with a problem', harness.listings({ defaultTier: 'gold' }), [], 3, /defaultTier is "gold".*urgent/],
  ['a document that disagrees with another', harness.listings({ service: 'warranty', kind: 'plain' }), [], 3, /disagrees .*\n.*listings uses this target as kind model/],
  ['the revision line of another service', `// revision 1 of stock; \n${harness.listings()}`, [], 3, /first line is for stock/],
  ['a negative wait', harness.listings(), ['--wait=-1'], 2, /--wait -1 is not valid/],
  ['a wrong revision', harness.listings(), ['--expect-revision', 'four'], 2, /--expect-revision four/],
  ['a revision that is not stored', harness.listings({ organisations: [{ name: 'fes' }] }), ['--expect-revision', '9'], 4, /at revision 1, but your file is for revision 9/],
  ['too long a comment', harness.listings(), ['--comment', 'x'.repeat(201)], 2, /at most 200/],
  ['an unknown flag', harness.listings(), ['--force'], 2, /Unknown Syntax Error|Unsupported option/]
]

for (const [name, content, args, code, text] of REFUSED) {
  apply(`refuses ${name} and writes nothing`, async () => {
    const world = createWorld()
    await world.run('apply', 'listings.jsonc')
    const before = [...world.entries]
    world.files.delete('listings.jsonc')
    if (content !== undefined) world.files.set('listings.jsonc', content)
    const ran = await world.run('apply', 'listings.jsonc', ...args)
    assert.is(ran.code, code, ran.err)
    assert.match(`${ran.err}${ran.out}`, text)
    assert.equal([...world.entries], before)
  })
}

apply('goes above the revision that daemons have in force', async () => {
  const world = createWorld()
  world.daemons.set(DAEMON, () => ({ status: 200, body: harness.status(DAEMON, [{ service: 'listings', revision: 6, changeId: 'change-x' }]) }))
  const ran = await world.run('apply', 'listings.jsonc', '--daemon', DAEMON)
  assert.match(ran.out, /revision 7 is stored/)
})

apply('says when a document written at the same time disagrees', async () => {
  const world = createWorld()
  const theirs = new harness.World()
  await otherOperator(theirs, harness.listings({ service: 'catalogue', kind: 'plain' }))
  world.beforeWrite = () => {
    for (const [key, entry] of theirs.entries) world.put(key, entry.value)
  }
  const ran = await world.run('apply', 'listings.jsonc')
  assert.is(ran.code, 8)
  assert.match(ran.out, /revision 1 is stored[^]*written at the same time disagrees[^]*service catalogue uses this target as kind plain/)
})

apply('names services that it could not check against', async () => {
  const world = createWorld()
  world.put('/persimmonhatch/services/stock', '{')
  const ran = await world.run('apply', 'listings.jsonc')
  assert.is(ran.code, 0)
  assert.match(ran.out, /Not checked against stock/)
})

function adoptAfter (world: harness.World, sleeps: number): void {
  world.onSleep = () => {
    sleeps -= 1
    const services = sleeps > 0 ? [] : [{ service: 'listings', revision: 1, changeId: 'change-0001' }]
    world.daemons.set(DAEMON, () => ({ status: 200, body: harness.status(DAEMON, services) }))
  }
}

apply('waits until every live daemon has the revision', async () => {
  const world = createWorld()
  world.put('/persimmonhatch/members/inc-1', JSON.stringify(harness.member(DAEMON)))
  world.daemons.set(DAEMON, () => ({ status: 200, body: harness.status(DAEMON, []) }))
  adoptAfter(world, 3)
  const ran = await world.run('apply', 'listings.jsonc', '--wait', '10')
  assert.is(ran.code, 0)
  assert.match(ran.out, /in force at all 1 live daemons/)
})

apply('lists the daemons that do not have it in time, and why', async () => {
  const world = createWorld()
  const [rival, silent] = ['127.0.0.1:7402', '127.0.0.1:7403']
  const members = [harness.member(rival), harness.member(silent)]
  world.daemons.set(DAEMON, () => ({ status: 200, body: harness.status(DAEMON, [], members) }))
  world.daemons.set(rival, () => ({ status: 200, body: harness.status(rival, [{ service: 'listings', revision: 0, changeId: '', problem: 'Revision 1 is invalid' }]) }))
  const ran = await world.run('apply', 'listings.jsonc', '--wait', '2', '--daemon', DAEMON)
  assert.is(ran.code, 8)
  assert.match(ran.out, /127.0.0.1:7401: does not know the service/)
  assert.match(ran.out, /127.0.0.1:7402: has revision 0: Revision 1 is invalid/)
  assert.match(ran.out, /127.0.0.1:7403: .*connection refused/)
})

apply('does not forget a daemon whose peer or platform stops answering for it', async () => {
  const world = createWorld()
  const silent = '127.0.0.1:7403'
  const inForce = [{ service: 'listings', revision: 1, changeId: 'change-0001' }]
  world.put('/persimmonhatch/members/inc-1', JSON.stringify(harness.member(DAEMON)))
  world.daemons.set(DAEMON, () => ({ status: 200, body: harness.status(DAEMON, inForce, [harness.member(silent)]) }))
  world.onSleep = () => { world.platformIsDown = true }
  const ran = await world.run('apply', 'listings.jsonc', '--wait', '3')
  assert.is(ran.code, 8)
  assert.match(ran.out, /127.0.0.1:7403/)
})

apply('does not claim a revision in force without a daemon', async () => {
  const ran = await createWorld().run('apply', 'listings.jsonc', '--wait', '0')
  assert.is(ran.code, 8)
  assert.match(ran.out, /No live daemon is known/)
})

apply('deletes a service, shows who did, and goes on counting', async () => {
  const world = createWorld()
  await world.run('apply', 'listings.jsonc')
  assert.match((await world.run('delete', 'listings')).out, /revision 2 is stored/)
  const shown = await world.run('show', 'listings')
  assert.is(shown.code, 9)
  assert.match(shown.err, /deleted by ana .*revision 2/)
  assert.match((await world.run('apply', 'listings.jsonc')).out, /revision 3 is stored/)
  assert.match((await world.run('history', 'listings')).out, /revision 3 .*\n.*revision 2 .*deleted the service\n.*revision 1/)
})

apply('deletes a service that only daemons still have, and says when it is deleted already', async () => {
  const world = new harness.World()
  world.daemons.set(DAEMON, () => ({ status: 200, body: harness.status(DAEMON, [{ service: 'listings', revision: 6, changeId: 'change-x' }]) }))
  assert.match((await world.run('delete', 'listings', '--daemon', DAEMON)).out, /revision 7 is stored/)
  assert.match((await world.run('delete', 'listings', '--daemon', DAEMON)).out, /deleted already, by ana/)
  assert.is((await world.run('delete', 'stock', '--daemon', DAEMON)).code, 9)
})

apply('writes over an unreadable value only when told to', async () => {
  const world = createWorld()
  world.put(KEY, '{')
  const ran = await world.run('apply', 'listings.jsonc')
  assert.is(ran.code, 3)
  assert.match(ran.err, /--replace-unreadable/)
  assert.is((await world.run('apply', 'listings.jsonc', '--replace-unreadable')).code, 0)
})

apply.run()
