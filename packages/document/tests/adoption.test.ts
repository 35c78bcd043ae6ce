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

function collect (events: Iterable<adoption.Event>): readonly adoption.Event[] {
  return [...events]
}

function handleAll (copies: readonly adoption.Copy[]): { readonly documents: adoption.Adoption, readonly events: readonly adoption.Event[] } {
  const documents = adoption.createAdoption()
  const events = copies.flatMap((each) => collect(documents.handle(each)))
  return { documents, events }
}

const first = fixtures.stored(1, fixtures.listings(), fixtures.change('one'))
const second = fixtures.stored(2, fixtures.listings({ defaultTier: 'batch' }), fixtures.change('two'))
const laterSecond = fixtures.stored(2, fixtures.listings(), fixtures.change('two-later', 2_000, 'bo'))
const invalidThird = fixtures.stored(3, fixtures.listings({ defaultTier: 'gold' }), fixtures.change('three'))
const deletedFourth = fixtures.stored(4, null, fixtures.change('four'))

adopt('adopts the first copy, and ignores the same copy without an event', () => {
  const { documents, events } = handleAll([copy(first), copy(first, 'peer')])
  assert.equal(events.map((event) => event.kind), ['adopted'])
  assert.equal(documents.status(), [{ service: 'listings', revision: 1, changeId: 'change-one' }])
})

adopt('keeps a higher revision when the platform is restored with an older one, and reports that', () => {
  const { documents, events } = handleAll([copy(second), copy(first)])
  assert.equal(events.map((event) => event.kind), ['adopted', 'older'])
  assert.is(documents.status()[0]?.revision, 2)
  assert.match(documents.status()[0]?.problem ?? '', /platform holds revision 1/)
})

adopt('keeps a document whose key is missing from the platform', () => {
  const { documents, events } = handleAll([copy(first), copy(undefined), copy(undefined)])
  assert.equal(events.map((event) => event.kind), ['adopted', 'older'])
  assert.match(documents.status()[0]?.problem ?? '', /holds no document/)
})

adopt('keeps the last valid document after an invalid one, until it receives a valid one', () => {
  const { documents, events } = handleAll([copy(second), copy(invalidThird)])
  assert.equal(events.map((event) => event.kind), ['adopted', 'rejected'])
  assert.is(documents.find('listings')?.document?.defaultTier, 'batch')
  assert.match(documents.status()[0]?.problem ?? '', /Revision 3 is invalid, revision 2 stays in force: defaultTier is "gold"/)
  collect(documents.handle(copy(deletedFourth)))
  assert.equal(documents.status(), [{ service: 'listings', revision: 4, changeId: 'change-four' }])
  assert.equal(documents.resolution().documents, [])
})

const UNREADABLE: Readonly<Record<string, string>> = {
  'invalid JSON': '{',
  'another format': first.replace('"format":1', '"format":2'),
  'another service': first.replace('"service":"listings"', '"service":"stock"')
}

for (const [name, text] of Object.entries(UNREADABLE)) {
  adopt(`rejects a copy with ${name} and keeps the document in force`, () => {
    const { documents, events } = handleAll([copy(first), copy(text)])
    assert.equal(events.map((event) => event.kind), ['adopted', 'rejected'])
    assert.is(documents.status()[0]?.revision, 1)
    assert.match(documents.status()[0]?.problem ?? '', /can't be read/)
  })
}

adopt('adopts the later of two changes with the same revision on every daemon, and reports both', () => {
  for (const copies of [[copy(second), copy(laterSecond)], [copy(laterSecond), copy(second), copy(second)]]) {
    const { documents, events } = handleAll(copies)
    assert.is(events.filter((event) => event.kind === 'rivals').length, 1)
    assert.is(documents.status()[0]?.changeId, 'change-two-later')
    assert.match(documents.status()[0]?.problem ?? '', /change-two by ana is not/)
  }
})

adopt('reports a conflict between documents in force', () => {
  const conflicting = fixtures.listings({ service: 'warranty', targets: [{ ...fixtures.LISTINGS.targets[0], pool: 'spare' }] })
  const text = fixtures.stored(1, conflicting, fixtures.change('other')).replace('"service":"listings"', '"service":"warranty"')
  const { documents } = handleAll([copy(first), { service: 'warranty', text, source: 'platform' }])
  assert.is(documents.status()[0]?.problem, undefined)
  assert.match(documents.status()[1]?.problem ?? '', /Goes without a target: targets\[0\].pool is "spare"/)
})

interface GeneratedCopy {
  readonly revision: number
  readonly atMs: number
  readonly id: number
  readonly isValid: boolean
}

const GENERATED_COPY = fastCheck.record({
  revision: fastCheck.integer({ min: 1, max: 4 }),
  atMs: fastCheck.integer({ min: 1, max: 2 }),
  id: fastCheck.integer({ min: 1, max: 3 }),
  isValid: fastCheck.boolean()
})

function textOf (generated: GeneratedCopy): string {
  const content = fixtures.listings({ defaultTier: generated.isValid ? 'batch' : 'gold' })
  return fixtures.stored(generated.revision, content, fixtures.change(String(generated.id), generated.atMs))
}

adopt('depends on the set of copies only, not on their order, source or repetition', () => {
  const orders = fastCheck.array(GENERATED_COPY, { minLength: 1, maxLength: 8 }).chain((generated) => fastCheck.tuple(
    fastCheck.constant(generated),
    fastCheck.shuffledSubarray([...generated, ...generated], { minLength: generated.length * 2 })
  ))
  fastCheck.assert(fastCheck.property(orders, ([generated, shuffled]) => {
    const left = handleAll(generated.map((each) => copy(textOf(each), 'peer'))).documents
    const right = handleAll(shuffled.map((each) => copy(textOf(each), 'peer'))).documents
    assert.equal(left.status(), right.status())
    assert.is(left.find('listings')?.text, right.find('listings')?.text)
  }), { seed: SEED, numRuns: 500 })
})

adopt('never reverts to a lower revision, whatever copies arrive', () => {
  fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.tuple(GENERATED_COPY, fastCheck.boolean())), (arrivals) => {
    const documents = adoption.createAdoption()
    let revisionBefore = 0
    for (const [generated, fromPlatform] of arrivals) {
      collect(documents.handle(copy(textOf(generated), fromPlatform ? 'platform' : 'peer')))
      const revisionAfter = documents.find('listings')?.revision ?? 0
      assert.ok(revisionAfter >= revisionBefore)
      if (generated.isValid) assert.ok(revisionAfter >= generated.revision)
      revisionBefore = revisionAfter
    }
  }), { seed: SEED, numRuns: 500 })
})

adopt.run()
