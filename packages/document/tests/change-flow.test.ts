import * as fastCheck from 'fast-check'
import type * as neverthrow from 'neverthrow'
import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as changeFlow from '../src/change-flow.js'
import * as changePlan from '../src/change-plan.js'
import * as storedDocument from '../src/stored-document.js'
import * as fixtures from './fixtures.js'

const flow = uvu.suite('changeFlow')

const SEED = 20_261_203
const NEW_CONTENT = fixtures.listings({ defaultTier: 'batch' })

function request (replaced: Partial<changePlan.Request> = {}): changePlan.Request {
  return { service: 'listings', content: NEW_CONTENT, change: fixtures.change('mine'), expectedRevision: undefined, revisionInForce: 0, replaceUnreadable: false, hash: fixtures.hash, ...replaced }
}

/** What happens to one call: answered, refused before it, lost after or before it took effect, or late. */
type Fate = 'answered' | 'not-done' | 'lost-after' | 'lost-before' | 'delayed'

class Store {
  held: changePlan.StoredValue | undefined
  late: Array<() => void> = []
  others = 0
}

function othersWrite (store: Store): void {
  store.others += 1
  const current = store.held === undefined ? undefined : storedDocument.readStoredDocument('listings', store.held.text)._unsafeUnwrap()
  const revision = (current?.revision ?? 0) + 1
  const text = fixtures.stored(revision, fixtures.listings(), fixtures.change(`other-${store.others}`, 1, 'bo'), current)
  store.held = { text, modRevision: (store.held?.modRevision ?? 0) + 1 }
}

function swap (store: Store, step: Extract<changeFlow.Step, { readonly kind: 'write' }>): boolean {
  if ((store.held?.modRevision ?? 0) !== step.expectedModRevision) return false
  store.held = { text: step.text, modRevision: step.expectedModRevision + 1 }
  return true
}

function perform (store: Store, step: changeFlow.Step, fate: Fate): changeFlow.Reply {
  if (step.kind === 'pause') return { kind: 'paused' }
  if (fate === 'not-done') return { kind: 'failed', failure: 'not-done', message: 'refused' }
  if (step.kind === 'read') return fate === 'answered' ? { kind: 'held', held: store.held } : { kind: 'failed', failure: 'not-done', message: 'lost' }
  if (fate === 'delayed') store.late.push(() => { swap(store, step) })
  const succeeded = fate === 'answered' || fate === 'lost-after' ? swap(store, step) : false
  if (fate === 'answered') return { kind: 'swap', succeeded, held: store.held }
  return { kind: 'failed', failure: 'unanswered', message: 'lost' }
}

interface Turn {
  readonly fate: Fate
  readonly others: number
  readonly lateArrives: boolean
}

const CALM: Turn = { fate: 'answered', others: 0, lateArrives: false }

function run (store: Store, wanted: changePlan.Request, turns: readonly Turn[]): neverthrow.Result<changeFlow.Verdict, changePlan.Failure> {
  const steps = changeFlow.changeFlow(wanted)
  let step = steps.next()
  for (let index = 0; step.done !== true; index += 1) {
    const turn = turns[index] ?? CALM
    for (let count = 0; count < turn.others; count += 1) othersWrite(store)
    if (turn.lateArrives) for (const arrive of store.late.splice(0)) arrive()
    step = steps.next(perform(store, step.value, turn.fate))
  }
  return step.value
}

function emptyStore (): Store {
  return new Store()
}

function turns (...fates: readonly Fate[]): readonly Turn[] {
  return fates.map((fate) => ({ ...CALM, fate }))
}

flow('writes a first revision', () => {
  const verdict = run(emptyStore(), request(), [])._unsafeUnwrap()
  assert.equal(verdict, { kind: 'took-effect', revision: 1, replaced: undefined, answerLost: false })
})

flow('writes nothing when the text is in force', () => {
  const store = emptyStore()
  run(store, request(), [])._unsafeUnwrap()
  assert.is(run(store, request({ change: fixtures.change('again') }), [])._unsafeUnwrap().kind, 'already-in-force')
  assert.is(store.held?.modRevision, 1)
})

flow('goes above a revision in force after the store came back older', () => {
  const verdict = run(emptyStore(), request({ revisionInForce: 7 }), [])._unsafeUnwrap()
  assert.is(verdict.kind === 'took-effect' && verdict.revision, 8)
})

flow('keeps the revision rising across a deletion', () => {
  const store = emptyStore()
  run(store, request(), [])._unsafeUnwrap()
  run(store, request({ content: null, change: fixtures.change('delete') }), [])._unsafeUnwrap()
  const verdict = run(store, request({ change: fixtures.change('again') }), [])._unsafeUnwrap()
  assert.is(verdict.kind === 'took-effect' && verdict.revision, 3)
})

flow('refuses to write over a revision that the operator has not seen, and names who wrote it', () => {
  const store = emptyStore()
  othersWrite(store)
  othersWrite(store)
  const error = run(store, request({ expectedRevision: 1 }), [])._unsafeUnwrapErr()
  assert.instance(error, changePlan.ChangedSinceRead)
  assert.equal((error as changePlan.ChangedSinceRead).since.map((change) => change.id), ['change-other-2'])
})

flow('says that a race was lost', () => {
  const verdict = run(emptyStore(), request(), [CALM, { ...CALM, others: 1 }])._unsafeUnwrap()
  assert.equal(verdict.kind === 'raced' && verdict.since.map((change) => change.operator), ['bo'])
})

flow('reads back after a lost answer', () => {
  const verdict = run(emptyStore(), request(), turns('answered', 'lost-after'))._unsafeUnwrap()
  assert.equal(verdict, { kind: 'took-effect', revision: 1, replaced: undefined, answerLost: true })
})

flow('finds its change under a later one', () => {
  const verdict = run(emptyStore(), request(), [CALM, { ...CALM, fate: 'lost-after' }, { ...CALM, others: 2 }])._unsafeUnwrap()
  assert.equal(verdict.kind === 'superseded' && verdict.since.map((change) => change.id), ['change-other-2', 'change-other-1'])
})

flow('does not know after more changes than the chain holds', () => {
  const more = storedDocument.MAX_RECENT_CHANGES + 1
  const verdict = run(emptyStore(), request(), [CALM, { ...CALM, fate: 'lost-after' }, { ...CALM, others: more }])._unsafeUnwrap()
  assert.is(verdict.kind === 'unknown' && verdict.cause, 'chain-overflow')
})

flow('does not know while no answer comes at all', () => {
  const lost = Array.from({ length: 40 }, () => ({ ...CALM, fate: 'lost-before' as const }))
  assert.is(run(emptyStore(), request(), [CALM, ...lost])._unsafeUnwrap().kind, 'unknown')
})

flow('says that nothing was sent to a store that is down', () => {
  const down = Array.from({ length: 40 }, () => ({ ...CALM, fate: 'not-done' as const }))
  assert.equal(run(emptyStore(), request(), down)._unsafeUnwrap(), { kind: 'not-sent', message: 'refused' })
  assert.equal(run(emptyStore(), request(), [CALM, ...down])._unsafeUnwrap(), { kind: 'not-sent', message: 'refused' })
})

flow('refuses a document over the size limit', () => {
  const content = `${NEW_CONTENT}//${'x'.repeat(storedDocument.MAX_STORED_BYTES)}`
  assert.instance(run(emptyStore(), request({ content }), [])._unsafeUnwrapErr(), storedDocument.DocumentTooLarge)
})

flow('writes over an unreadable value only when told to', () => {
  const store = emptyStore()
  store.held = { text: '{', modRevision: 5 }
  assert.instance(run(store, request(), [])._unsafeUnwrapErr(), storedDocument.UnreadableDocument)
  assert.is(run(store, request({ replaceUnreadable: true }), [])._unsafeUnwrap().kind, 'took-effect')
})

// Whether the store ever took the change, told from the chain, which holds all changes of these runs.
function isStored (store: Store): boolean {
  if (store.held === undefined) return false
  const stored = storedDocument.readStoredDocument('listings', store.held.text)._unsafeUnwrap()
  return stored.recent.filter((change) => change.id === 'change-mine').length === 1
}

flow('tells the truth under lost, late and refused calls and other operators', () => {
  const turn = fastCheck.record({
    fate: fastCheck.constantFrom<Fate>('answered', 'not-done', 'lost-after', 'lost-before', 'delayed'),
    others: fastCheck.constantFrom(0, 0, 0, 1, 2),
    lateArrives: fastCheck.boolean()
  })
  const seen = new Map<string, number>()
  fastCheck.assert(fastCheck.property(fastCheck.array(turn, { maxLength: 30, size: 'max' }), (arrivals) => {
    const store = emptyStore()
    const verdict = run(store, request(), arrivals)._unsafeUnwrap()
    for (const arrive of store.late.splice(0)) arrive()
    seen.set(verdict.kind, (seen.get(verdict.kind) ?? 0) + 1)
    if (verdict.kind === 'took-effect' || verdict.kind === 'superseded') assert.ok(isStored(store))
    if (verdict.kind === 'raced' || verdict.kind === 'not-sent') assert.not.ok(isStored(store))
  }), { seed: SEED, numRuns: 2_000 })
  for (const kind of ['took-effect', 'superseded', 'raced', 'not-sent', 'unknown']) assert.ok((seen.get(kind) ?? 0) > 0, kind)
})

flow.run()
