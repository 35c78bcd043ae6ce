import * as fastCheck from 'fast-check'
import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as adoption from '../src/adoption.js'
import * as fixtures from './fixtures.js'

const adopt = uvu.suite('adoption')

const SEED = 20_261_203

function copy (text: string | undefined, source: adoption.Copy['source'] = 'platform'): adoption.Copy {
  return { service: 'listings', text, source }
}

function drain (events: Iterable<adoption.Event>): readonly adoption.Event[] {
  return [...events]
}

function handleAll (copies: readonly adoption.Copy[]): { readonly adopted: adoption.Adoption, readonly events: readonly adoption.Event[] } {
  const adopted = adoption.createAdoption()
  const events = copies.flatMap((each) => drain(adopted.handle(each)))
  return { adopted, events }
}

const one = fixtures.stored(1, fixtures.listings(), fixtures.change('one'))
const two = fixtures.stored(2, fixtures.listings({ defaultTier: 'batch' }), fixtures.change('two'))
const twoLater = fixtures.stored(2, fixtures.listings(), fixtures.change('two-later', 2_000, 'bo'))
const threeInvalid = fixtures.stored(3, fixtures.listings({ defaultTier: 'gold' }), fixtures.change('three'))
const fourDeleted = fixtures.stored(4, null, fixtures.change('four'))

adopt('takes the first copy, and the same copy again without an event', () => {
  const { adopted, events } = handleAll([copy(one), copy(one, 'peer')])
  assert.equal(events.map((event) => event.kind), ['adopted'])
  assert.equal(adopted.status(), [{ service: 'listings', revision: 1, changeId: 'change-one' }])
})

adopt('keeps a higher revision when the platform comes back with an older one, and says so', () => {
  const { adopted, events } = handleAll([copy(two), copy(one)])
  assert.equal(events.map((event) => event.kind), ['adopted', 'older'])
  assert.is(adopted.status()[0]?.revision, 2)
  assert.match(adopted.status()[0]?.problem ?? '', /platform holds revision 1/)
})

adopt('keeps a document whose key is gone from the platform', () => {
  const { adopted, events } = handleAll([copy(one), copy(undefined), copy(undefined)])
  assert.equal(events.map((event) => event.kind), ['adopted', 'older'])
  assert.match(adopted.status()[0]?.problem ?? '', /holds no document/)
})

adopt('keeps the last valid document under an invalid one, until a valid one comes', () => {
  const { adopted, events } = handleAll([copy(two), copy(threeInvalid)])
  assert.equal(events.map((event) => event.kind), ['adopted', 'rejected'])
  assert.is(adopted.find('listings')?.document?.defaultTier, 'batch')
  assert.match(adopted.status()[0]?.problem ?? '', /Revision 3 is invalid, revision 2 stays in force: defaultTier is "gold"/)
  drain(adopted.handle(copy(fourDeleted)))
  assert.equal(adopted.status(), [{ service: 'listings', revision: 4, changeId: 'change-four' }])
  assert.equal(adopted.resolution().documents, [])
})

const UNREADABLE: Readonly<Record<string, string>> = {
  'no JSON': '{',
  'another format': one.replace('"format":1', '"format":2'),
  'another service': one.replace('"service":"listings"', '"service":"stock"')
}

for (const [name, text] of Object.entries(UNREADABLE)) {
  adopt(`rejects a copy with ${name} and keeps what it has`, () => {
    const { adopted, events } = handleAll([copy(one), copy(text)])
    assert.equal(events.map((event) => event.kind), ['adopted', 'rejected'])
    assert.is(adopted.status()[0]?.revision, 1)
    assert.match(adopted.status()[0]?.problem ?? '', /can't be read/)
  })
}

adopt('gives two changes with one revision to the later one on every daemon, and shows both', () => {
  for (const copies of [[copy(two), copy(twoLater)], [copy(twoLater), copy(two), copy(two)]]) {
    const { adopted, events } = handleAll(copies)
    assert.is(events.filter((event) => event.kind === 'rivals').length, 1)
    assert.is(adopted.status()[0]?.changeId, 'change-two-later')
    assert.match(adopted.status()[0]?.problem ?? '', /change-two by ana is not/)
  }
})

adopt('shows a conflict between documents in force', () => {
  const other = fixtures.listings({ service: 'warranty', targets: [{ ...fixtures.LISTINGS.targets[0], pool: 'spare' }] })
  const text = fixtures.stored(1, other, fixtures.change('other')).replace('"service":"listings"', '"service":"warranty"')
  const { adopted } = handleAll([copy(one), { service: 'warranty', text, source: 'platform' }])
  assert.is(adopted.status()[0]?.problem, undefined)
  assert.match(adopted.status()[1]?.problem ?? '', /Goes without a target: targets\[0\].pool is "spare"/)
})

interface Sent {
  readonly revision: number
  readonly atMs: number
  readonly id: number
  readonly valid: boolean
}

const SENT = fastCheck.record({
  revision: fastCheck.integer({ min: 1, max: 4 }),
  atMs: fastCheck.integer({ min: 1, max: 2 }),
  id: fastCheck.integer({ min: 1, max: 3 }),
  valid: fastCheck.boolean()
})

function textOf (sent: Sent): string {
  const content = fixtures.listings({ defaultTier: sent.valid ? 'batch' : 'gold' })
  return fixtures.stored(sent.revision, content, fixtures.change(String(sent.id), sent.atMs))
}

adopt('depends on the set of copies only, not on order, source or repetition', () => {
  const orders = fastCheck.array(SENT, { minLength: 1, maxLength: 8 }).chain((sent) => fastCheck.tuple(
    fastCheck.constant(sent),
    fastCheck.shuffledSubarray([...sent, ...sent], { minLength: sent.length * 2 })
  ))
  fastCheck.assert(fastCheck.property(orders, ([sent, shuffled]) => {
    const left = handleAll(sent.map((each) => copy(textOf(each), 'peer'))).adopted
    const right = handleAll(shuffled.map((each) => copy(textOf(each), 'peer'))).adopted
    assert.equal(left.status(), right.status())
    assert.is(left.find('listings')?.text, right.find('listings')?.text)
  }), { seed: SEED, numRuns: 500 })
})

adopt('never goes back, whatever comes', () => {
  fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.tuple(SENT, fastCheck.boolean())), (arrivals) => {
    const adopted = adoption.createAdoption()
    let before = 0
    for (const [sent, fromPlatform] of arrivals) {
      drain(adopted.handle(copy(textOf(sent), fromPlatform ? 'platform' : 'peer')))
      const after = adopted.find('listings')?.revision ?? 0
      assert.ok(after >= before)
      if (sent.valid) assert.ok(after >= sent.revision)
      before = after
    }
  }), { seed: SEED, numRuns: 500 })
})

adopt.run()
