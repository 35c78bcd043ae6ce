import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as harness from './harness.js'

const apply = uvu.suite('apply')

const KEY = '/persimmonhatch/services/listings'
const DAEMON = '127.0.0.1:7401'

function createFixture (): harness.Fixture {
  const fixture = new harness.Fixture()
  fixture.files.set('listings.jsonc', harness.createDocumentText())
  return fixture
}

async function applyAsOtherOperator (fixture: harness.Fixture, content: string): Promise<void> {
  fixture.files.set('other-operator.jsonc', content)
  const output = await fixture.run('apply', 'other-operator.jsonc', '--operator', 'bo', '--comment', 'new share')
  assert.is(output.code, 0, output.err)
}

apply('stores a new document and does not write an unchanged one', async () => {
  const fixture = createFixture()
  const first = await fixture.run('apply', 'listings.jsonc')
  assert.is(first.code, 0)
  assert.match(first.out, /revision 1 is stored \(change change-0001\), replacing nothing/)
  const second = await fixture.run('apply', 'listings.jsonc')
  assert.is(second.code, 0)
  assert.match(second.out, /already stored as revision 1, written by ana at 1970/)
})

apply('refuses a file from show after another operator changed the document, and names the operator', async () => {
  const fixture = createFixture()
  await fixture.run('apply', 'listings.jsonc')
  const shown = await fixture.run('show', 'listings')
  await applyAsOtherOperator(fixture, harness.createDocumentText({ organisations: [{ name: 'fes' }] }))
  fixture.files.set('listings.jsonc', shown.out.replace('rabat', 'sale'))
  const output = await fixture.run('apply', 'listings.jsonc')
  assert.is(output.code, 4)
  assert.match(output.err, /is at revision 2, but your file is for revision 1. Nothing was written/)
  assert.match(output.err, /revision 2 by bo at .*new share/)
})

apply('accepts a file from show if the document has not changed', async () => {
  const fixture = createFixture()
  await fixture.run('apply', 'listings.jsonc')
  fixture.files.set('listings.jsonc', (await fixture.run('show', 'listings')).out.replace('rabat', 'sale'))
  const output = await fixture.run('apply', 'listings.jsonc')
  assert.is(output.code, 0)
  assert.not.match(fixture.entries.get(KEY)?.value ?? '', /revision 1 of/)
})

apply('reports a lost race and the change that won it', async () => {
  const fixture = createFixture()
  await fixture.run('apply', 'listings.jsonc')
  const otherFixture = new harness.Fixture()
  for (const [key, entry] of fixture.entries) otherFixture.put(key, entry.value)
  await applyAsOtherOperator(otherFixture, harness.createDocumentText({ organisations: [{ name: 'fes' }] }))
  fixture.files.set('listings.jsonc', harness.createDocumentText({ organisations: [{ name: 'sale' }] }))
  fixture.beforeWrite = () => { fixture.put(KEY, otherFixture.entries.get(KEY)?.value ?? '') }
  const output = await fixture.run('apply', 'listings.jsonc')
  assert.is(output.code, 4)
  assert.match(output.err, /another change came first, nothing was written:\n {2}revision 2 by bo/)
})

apply('reports a change made while the tool ran as a race if the file states no revision', async () => {
  const fixture = createFixture()
  await fixture.run('apply', 'listings.jsonc')
  const otherFixture = new harness.Fixture()
  for (const [key, entry] of fixture.entries) otherFixture.put(key, entry.value)
  await applyAsOtherOperator(otherFixture, harness.createDocumentText({ organisations: [{ name: 'fes' }] }))
  // The daemons are queried between the checks and the write.
  fixture.daemons.set(DAEMON, () => {
    fixture.put(KEY, otherFixture.entries.get(KEY)?.value ?? '')
    return { status: 200, body: harness.createStatus(DAEMON, []) }
  })
  fixture.files.set('listings.jsonc', harness.createDocumentText({ organisations: [{ name: 'sale' }] }))
  const output = await fixture.run('apply', 'listings.jsonc', '--daemon', DAEMON)
  assert.is(output.code, 4)
  assert.match(output.err, /another change came first, nothing was written:\n {2}revision 2 by bo/)
})

apply('reads back after a lost response', async () => {
  const fixture = createFixture()
  fixture.writeOutcomes = ['lost-after']
  const output = await fixture.run('apply', 'listings.jsonc')
  assert.is(output.code, 0)
  assert.match(output.out, /platform's response was lost, but reading back shows that revision 1 is stored/)
})

apply('reports that the outcome is unknown', async () => {
  const fixture = createFixture()
  fixture.writeOutcomes = Array.from({ length: 20 }, () => 'lost-before')
  const output = await fixture.run('apply', 'listings.jsonc', '--json')
  assert.is(output.code, 7)
  assert.match(JSON.parse(output.out).error.message, /not known whether .* change change-0001 later with: persimmonhatch history listings/)
})

apply('reports that nothing was written if the platform is unreachable', async () => {
  const fixture = createFixture()
  fixture.isPlatformDown = true
  const output = await fixture.run('apply', 'listings.jsonc')
  assert.is(output.code, 5)
  assert.match(output.err, /check platform.endpoints/)
})

const REFUSED_CASES: ReadonlyArray<readonly [name: string, content: string | undefined, args: readonly string[], code: number, text: RegExp]> = [
  ['a missing file', undefined, [], 3, /listings.jsonc cannot be read/],
  ['a malformed file', '{', [], 3, /line 1/],
  ['a document with a problem', harness.createDocumentText({ defaultTier: 'gold' }), [], 3, /defaultTier is "gold".*urgent/],
  ['a document that disagrees with another', harness.createDocumentText({ service: 'warranty', kind: 'plain' }), [], 3, /disagrees .*\n.*listings uses this target as kind model/],
  ['the revision line of another service', `// revision 1 of stock; \n${harness.createDocumentText()}`, [], 3, /first line is for stock/],
  ['a negative wait', harness.createDocumentText(), ['--wait=-1'], 2, /--wait -1 is not valid/],
  ['a wrong revision', harness.createDocumentText(), ['--expect-revision', 'four'], 2, /--expect-revision four/],
  ['a revision that is not stored', harness.createDocumentText({ organisations: [{ name: 'fes' }] }), ['--expect-revision', '9'], 4, /at revision 1, but your file is for revision 9/],
  ['too long a comment', harness.createDocumentText(), ['--comment', 'x'.repeat(201)], 2, /at most 200/],
  ['an unknown flag', harness.createDocumentText(), ['--force'], 2, /Unknown Syntax Error|Unsupported option/]
]

for (const [name, content, args, code, text] of REFUSED_CASES) {
  apply(`refuses ${name} and writes nothing`, async () => {
    const fixture = createFixture()
    await fixture.run('apply', 'listings.jsonc')
    const before = [...fixture.entries]
    fixture.files.delete('listings.jsonc')
    if (content !== undefined) fixture.files.set('listings.jsonc', content)
    const output = await fixture.run('apply', 'listings.jsonc', ...args)
    assert.is(output.code, code, output.err)
    assert.match(`${output.err}${output.out}`, text)
    assert.equal([...fixture.entries], before)
  })
}

apply('stores a revision above the one in force at the daemons', async () => {
  const fixture = createFixture()
  fixture.daemons.set(DAEMON, () => ({ status: 200, body: harness.createStatus(DAEMON, [{ service: 'listings', revision: 6, changeId: 'change-x' }]) }))
  const output = await fixture.run('apply', 'listings.jsonc', '--daemon', DAEMON)
  assert.match(output.out, /revision 7 is stored/)
})

apply('reports a conflict with a document written at the same time', async () => {
  const fixture = createFixture()
  const otherFixture = new harness.Fixture()
  await applyAsOtherOperator(otherFixture, harness.createDocumentText({ service: 'catalogue', kind: 'plain' }))
  fixture.beforeWrite = () => {
    for (const [key, entry] of otherFixture.entries) fixture.put(key, entry.value)
  }
  const output = await fixture.run('apply', 'listings.jsonc')
  assert.is(output.code, 8)
  assert.match(output.out, /revision 1 is stored[^]*written at the same time disagrees[^]*service catalogue uses this target as kind plain/)
})

apply('names services with unreadable documents, which it could not check against', async () => {
  const fixture = createFixture()
  fixture.put('/persimmonhatch/services/stock', '{')
  const output = await fixture.run('apply', 'listings.jsonc')
  assert.is(output.code, 0)
  assert.match(output.out, /Not checked against stock/)
})

function adoptAfter (fixture: harness.Fixture, sleeps: number): void {
  fixture.onSleep = () => {
    sleeps -= 1
    const services = sleeps > 0 ? [] : [{ service: 'listings', revision: 1, changeId: 'change-0001' }]
    fixture.daemons.set(DAEMON, () => ({ status: 200, body: harness.createStatus(DAEMON, services) }))
  }
}

apply('waits until the revision is in force at every live daemon', async () => {
  const fixture = createFixture()
  fixture.put('/persimmonhatch/members/inc-1', JSON.stringify(harness.createMember(DAEMON)))
  fixture.daemons.set(DAEMON, () => ({ status: 200, body: harness.createStatus(DAEMON, []) }))
  adoptAfter(fixture, 3)
  const output = await fixture.run('apply', 'listings.jsonc', '--wait', '10')
  assert.is(output.code, 0)
  assert.match(output.out, /in force at all 1 live daemons/)
})

apply('lists the daemons at which the revision is not in force in time, and why', async () => {
  const fixture = createFixture()
  const [rejecting, unreachable] = ['127.0.0.1:7402', '127.0.0.1:7403']
  const members = [harness.createMember(rejecting), harness.createMember(unreachable)]
  fixture.daemons.set(DAEMON, () => ({ status: 200, body: harness.createStatus(DAEMON, [], members) }))
  fixture.daemons.set(rejecting, () => ({ status: 200, body: harness.createStatus(rejecting, [{ service: 'listings', revision: 0, changeId: '', problem: 'Revision 1 is invalid' }]) }))
  const output = await fixture.run('apply', 'listings.jsonc', '--wait', '2', '--daemon', DAEMON)
  assert.is(output.code, 8)
  assert.match(output.out, /127.0.0.1:7401: has no revision of the service/)
  assert.match(output.out, /127.0.0.1:7402: has revision 0: Revision 1 is invalid/)
  assert.match(output.out, /127.0.0.1:7403: .*connection refused/)
})

apply('keeps waiting for a daemon after the platform or the peer that listed it stops responding', async () => {
  const fixture = createFixture()
  const unreachable = '127.0.0.1:7403'
  const inForce = [{ service: 'listings', revision: 1, changeId: 'change-0001' }]
  fixture.put('/persimmonhatch/members/inc-1', JSON.stringify(harness.createMember(DAEMON)))
  fixture.daemons.set(DAEMON, () => ({ status: 200, body: harness.createStatus(DAEMON, inForce, [harness.createMember(unreachable)]) }))
  fixture.onSleep = () => { fixture.isPlatformDown = true }
  const output = await fixture.run('apply', 'listings.jsonc', '--wait', '3')
  assert.is(output.code, 8)
  assert.match(output.out, /127.0.0.1:7403/)
})

apply('does not report a revision as in force if no daemon is known', async () => {
  const output = await createFixture().run('apply', 'listings.jsonc', '--wait', '0')
  assert.is(output.code, 8)
  assert.match(output.out, /No live daemon is known/)
})

apply('deletes a service, shows who deleted it, and continues its revision numbers', async () => {
  const fixture = createFixture()
  await fixture.run('apply', 'listings.jsonc')
  assert.match((await fixture.run('delete', 'listings')).out, /revision 2 is stored/)
  const shown = await fixture.run('show', 'listings')
  assert.is(shown.code, 9)
  assert.match(shown.err, /deleted by ana .*revision 2/)
  assert.match((await fixture.run('apply', 'listings.jsonc')).out, /revision 3 is stored/)
  assert.match((await fixture.run('history', 'listings')).out, /revision 3 .*\n.*revision 2 .*deleted the service\n.*revision 1/)
})

apply('deletes a service that is in force only at daemons, and reports that it was already deleted', async () => {
  const fixture = new harness.Fixture()
  fixture.daemons.set(DAEMON, () => ({ status: 200, body: harness.createStatus(DAEMON, [{ service: 'listings', revision: 6, changeId: 'change-x' }]) }))
  assert.match((await fixture.run('delete', 'listings', '--daemon', DAEMON)).out, /revision 7 is stored/)
  assert.match((await fixture.run('delete', 'listings', '--daemon', DAEMON)).out, /was already deleted by ana/)
  assert.is((await fixture.run('delete', 'stock', '--daemon', DAEMON)).code, 9)
})

apply('replaces an unreadable value only with --replace-unreadable', async () => {
  const fixture = createFixture()
  fixture.put(KEY, '{')
  const output = await fixture.run('apply', 'listings.jsonc')
  assert.is(output.code, 3)
  assert.match(output.err, /--replace-unreadable/)
  assert.is((await fixture.run('apply', 'listings.jsonc', '--replace-unreadable')).code, 0)
})

apply.run()
