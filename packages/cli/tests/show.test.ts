import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as harness from './harness.js'

const show = uvu.suite('show and history')

async function createWorld (): Promise<harness.World> {
  const world = new harness.World()
  world.files.set('listings.jsonc', `// our listings\n${harness.listings()}\n`)
  await world.run('apply', 'listings.jsonc', '--comment', 'first')
  return world
}

show('shows the operator\'s text with its comments under the revision', async () => {
  const ran = await (await createWorld()).run('show', 'listings')
  assert.is(ran.code, 0)
  assert.match(ran.out, /^\/\/ revision 1 of listings;.*\n\/\/ our listings\n\{/)
})

show('lists services, unreadable ones too', async () => {
  const world = await createWorld()
  world.put('/persimmonhatch/services/stock', '{')
  const ran = await world.run('show')
  assert.match(ran.out, /^listings: revision 1, changed by ana at .*\nstock: .*can't be read/)
  assert.equal(JSON.parse((await world.run('show', '--json')).out).map((each: { readonly service: string }) => each.service), ['listings', 'stock'])
})

show('says how to begin when nothing is stored', async () => {
  assert.match((await new harness.World().run('show')).out, /persimmonhatch apply FILE/)
})

show('lists changes with their comments', async () => {
  const ran = await (await createWorld()).run('history', 'listings')
  assert.match(ran.out, /revision 1 by ana at .* \(change change-0001\): first/)
})

for (const command of ['show', 'history', 'delete']) {
  show(`${command} refuses an unknown service`, async () => {
    const ran = await (await createWorld()).run(command, 'stock')
    assert.is(ran.code, 9)
    assert.match(ran.err, /No service named stock/)
  })

  show(`${command} reports an unreachable platform`, async () => {
    const world = await createWorld()
    world.platformIsDown = true
    const ran = await world.run(command, 'listings')
    assert.is(ran.code, 5)
    assert.match(ran.err, /gave no answer/)
  })
}

for (const command of ['apply', 'delete', 'show', 'history', 'status', 'explain', 'burn']) {
  show(`${command} has help with examples`, async () => {
    const ran = await new harness.World().run(command, '--help')
    assert.is(ran.code, 0)
    assert.match(ran.out, new RegExp(`persimmonhatch ${command}`))
    assert.match(ran.out, /Examples/)
  })
}

show.run()
