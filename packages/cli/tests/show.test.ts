import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as harness from './harness.js'

const suite = uvu.suite('show and history')

async function createFixture (): Promise<harness.Fixture> {
  const fixture = new harness.Fixture()
  fixture.files.set('listings.jsonc', `// our listings\n${harness.createDocumentText()}\n`)
  await fixture.run('apply', 'listings.jsonc', '--comment', 'first')
  return fixture
}

suite('shows the operator\'s text with its comments below the revision line', async () => {
  const output = await (await createFixture()).run('show', 'listings')
  assert.is(output.code, 0)
  assert.match(output.out, /^\/\/ revision 1 of listings;.*\n\/\/ our listings\n\{/)
})

suite('lists services, including unreadable ones', async () => {
  const fixture = await createFixture()
  fixture.put('/persimmonhatch/services/stock', '{')
  const output = await fixture.run('show')
  assert.match(output.out, /^listings: revision 1, changed by ana at .*\nstock: .*can't be read/)
  assert.equal(JSON.parse((await fixture.run('show', '--json')).out).map((each: { readonly service: string }) => each.service), ['listings', 'stock'])
})

suite('names the command to start with if nothing is stored', async () => {
  assert.match((await new harness.Fixture().run('show')).out, /persimmonhatch apply FILE/)
})

suite('lists changes with their comments', async () => {
  const output = await (await createFixture()).run('history', 'listings')
  assert.match(output.out, /revision 1 by ana at .* \(change change-0001\): first/)
})

for (const command of ['show', 'history', 'delete']) {
  suite(`${command} refuses an unknown service`, async () => {
    const output = await (await createFixture()).run(command, 'stock')
    assert.is(output.code, 9)
    assert.match(output.err, /No service named stock/)
  })

  suite(`${command} reports an unreachable platform`, async () => {
    const fixture = await createFixture()
    fixture.isPlatformDown = true
    const output = await fixture.run(command, 'listings')
    assert.is(output.code, 5)
    assert.match(output.err, /did not respond/)
  })
}

for (const command of ['apply', 'delete', 'show', 'history', 'status', 'explain', 'burn']) {
  suite(`${command} has help with examples`, async () => {
    const output = await new harness.Fixture().run(command, '--help')
    assert.is(output.code, 0)
    assert.match(output.out, new RegExp(`persimmonhatch ${command}`))
    assert.match(output.out, /Examples/)
  })
}

suite.run()
