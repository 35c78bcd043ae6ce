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

function request (overrides: Partial<changePlan.ChangeRequest> = {}): changePlan.ChangeRequest {
  return { service: 'listings', content: NEW_CONTENT, change: fixtures.change('mine'), expectedRevision: undefined, revisionInForce: 0, replaceUnreadable: false, hash: fixtures.hash, ...overrides }
}

/** Outcome of one call: answered, refused, response lost after the call took effect, call lost before it did, or delayed beyond its time-out. */
type CallOutcome = 'answered' | 'not-done' | 'lost-after' | 'lost-before' | 'delayed'

class Store {
  storedValue: changePlan.StoredValue | undefined
  delayedWrites: Array<() => void> = []
  otherWrites = 0
}

function writeAsOther (store: Store): void {
  store.otherWrites += 1
  const current = store.storedValue === undefined ? undefined : storedDocument.readStoredDocument('listings', store.storedValue.text)._unsafeUnwrap()
  const revision = (current?.revision ?? 0) + 1
  const text = fixtures.stored(revision, fixtures.listings(), fixtures.change(`other-${store.otherWrites}`, 1, 'bo'), current)
  store.storedValue = { text, modRevision: (store.storedValue?.modRevision ?? 0) + 1 }
}

function swap (store: Store, step: Extract<changeFlow.Step, { readonly kind: 'write' }>): boolean {
  if ((store.storedValue?.modRevision ?? 0) !== step.expectedModRevision) return false
  store.storedValue = { text: step.text, modRevision: step.expectedModRevision + 1 }
  return true
}

function perform (store: Store, step: changeFlow.Step, outcome: CallOutcome): changeFlow.Reply {
  if (step.kind === 'pause') return { kind: 'paused' }
  if (outcome === 'not-done') return { kind: 'failed', failure: 'not-done', message: 'refused' }
  if (step.kind === 'read') return outcome === 'answered' ? { kind: 'read', storedValue: store.storedValue } : { kind: 'failed', failure: 'not-done', message: 'lost' }
  if (outcome === 'delayed') store.delayedWrites.push(() => { swap(store, step) })
  const succeeded = outcome === 'answered' || outcome === 'lost-after' ? swap(store, step) : false
  if (outcome === 'answered') return { kind: 'swap', succeeded, storedValue: store.storedValue }
  return { kind: 'failed', failure: 'unanswered', message: 'lost' }
}

interface CallConditions {
  readonly outcome: CallOutcome
  readonly otherWrites: number
  readonly deliversDelayedWrites: boolean
}

const UNDISTURBED: CallConditions = { outcome: 'answered', otherWrites: 0, deliversDelayedWrites: false }

function run (store: Store, changeRequest: changePlan.ChangeRequest, calls: readonly CallConditions[]): neverthrow.Result<changeFlow.ChangeOutcome, changePlan.Failure> {
  const steps = changeFlow.changeFlow(changeRequest)
  let step = steps.next()
  for (let index = 0; step.done !== true; index += 1) {
    const conditions = calls[index] ?? UNDISTURBED
    for (let count = 0; count < conditions.otherWrites; count += 1) writeAsOther(store)
    if (conditions.deliversDelayedWrites) for (const deliver of store.delayedWrites.splice(0)) deliver()
    step = steps.next(perform(store, step.value, conditions.outcome))
  }
  return step.value
}

function emptyStore (): Store {
  return new Store()
}

function createConditions (...outcomes: readonly CallOutcome[]): readonly CallConditions[] {
  return outcomes.map((outcome) => ({ ...UNDISTURBED, outcome }))
}

flow('writes a first revision', () => {
  const changeOutcome = run(emptyStore(), request(), [])._unsafeUnwrap()
  assert.equal(changeOutcome, { kind: 'took-effect', revision: 1, replaced: undefined, answerLost: false })
})

flow('writes nothing if the text is already in force', () => {
  const store = emptyStore()
  run(store, request(), [])._unsafeUnwrap()
  assert.is(run(store, request({ change: fixtures.change('again') }), [])._unsafeUnwrap().kind, 'already-in-force')
  assert.is(store.storedValue?.modRevision, 1)
})

flow('exceeds the revision in force after the store was restored with older content', () => {
  const changeOutcome = run(emptyStore(), request({ revisionInForce: 7 }), [])._unsafeUnwrap()
  assert.is(changeOutcome.kind === 'took-effect' && changeOutcome.revision, 8)
})

flow('keeps increasing the revision across a deletion', () => {
  const store = emptyStore()
  run(store, request(), [])._unsafeUnwrap()
  run(store, request({ content: null, change: fixtures.change('delete') }), [])._unsafeUnwrap()
  const changeOutcome = run(store, request({ change: fixtures.change('again') }), [])._unsafeUnwrap()
  assert.is(changeOutcome.kind === 'took-effect' && changeOutcome.revision, 3)
})

flow('refuses to overwrite a revision that the operator has not read, and names its author', () => {
  const store = emptyStore()
  writeAsOther(store)
  writeAsOther(store)
  const error = run(store, request({ expectedRevision: 1 }), [])._unsafeUnwrapErr()
  assert.instance(error, changePlan.ChangedSinceRead)
  assert.equal((error as changePlan.ChangedSinceRead).since.map((change) => change.id), ['change-other-2'])
})

flow('reports a lost race', () => {
  const changeOutcome = run(emptyStore(), request(), [UNDISTURBED, { ...UNDISTURBED, otherWrites: 1 }])._unsafeUnwrap()
  assert.equal(changeOutcome.kind === 'raced' && changeOutcome.since.map((change) => change.operator), ['bo'])
})

flow('reads back after a lost response', () => {
  const changeOutcome = run(emptyStore(), request(), createConditions('answered', 'lost-after'))._unsafeUnwrap()
  assert.equal(changeOutcome, { kind: 'took-effect', revision: 1, replaced: undefined, answerLost: true })
})

flow('finds its change below later ones', () => {
  const changeOutcome = run(emptyStore(), request(), [UNDISTURBED, { ...UNDISTURBED, outcome: 'lost-after' }, { ...UNDISTURBED, otherWrites: 2 }])._unsafeUnwrap()
  assert.equal(changeOutcome.kind === 'superseded' && changeOutcome.since.map((change) => change.id), ['change-other-2', 'change-other-1'])
})

flow('reports an unknown outcome after more changes than the history holds', () => {
  const more = storedDocument.MAX_RECENT_CHANGES + 1
  const changeOutcome = run(emptyStore(), request(), [UNDISTURBED, { ...UNDISTURBED, outcome: 'lost-after' }, { ...UNDISTURBED, otherWrites: more }])._unsafeUnwrap()
  assert.is(changeOutcome.kind === 'unknown' && changeOutcome.cause, 'chain-overflow')
})

flow('reports an unknown outcome if every response is lost', () => {
  const lost = Array.from({ length: 40 }, () => ({ ...UNDISTURBED, outcome: 'lost-before' as const }))
  assert.is(run(emptyStore(), request(), [UNDISTURBED, ...lost])._unsafeUnwrap().kind, 'unknown')
})

flow('reports that nothing was sent if the store is unavailable', () => {
  const down = Array.from({ length: 40 }, () => ({ ...UNDISTURBED, outcome: 'not-done' as const }))
  assert.equal(run(emptyStore(), request(), down)._unsafeUnwrap(), { kind: 'not-sent', message: 'refused' })
  assert.equal(run(emptyStore(), request(), [UNDISTURBED, ...down])._unsafeUnwrap(), { kind: 'not-sent', message: 'refused' })
})

flow('rejects a document over the size limit', () => {
  const content = `${NEW_CONTENT}//${'x'.repeat(storedDocument.MAX_STORED_BYTES)}`
  assert.instance(run(emptyStore(), request({ content }), [])._unsafeUnwrapErr(), storedDocument.DocumentTooLarge)
})

flow('overwrites an unreadable value only on request', () => {
  const store = emptyStore()
  store.storedValue = { text: '{', modRevision: 5 }
  assert.instance(run(store, request(), [])._unsafeUnwrapErr(), storedDocument.UnreadableDocument)
  assert.is(run(store, request({ replaceUnreadable: true }), [])._unsafeUnwrap().kind, 'took-effect')
})

// Returns whether the change was ever stored; the history is long enough for all changes of these runs.
function isStored (store: Store): boolean {
  if (store.storedValue === undefined) return false
  const stored = storedDocument.readStoredDocument('listings', store.storedValue.text)._unsafeUnwrap()
  return stored.recent.filter((change) => change.id === 'change-mine').length === 1
}

flow('reports the true outcome under lost, delayed and refused calls and writes of other operators', () => {
  const conditions = fastCheck.record({
    outcome: fastCheck.constantFrom<CallOutcome>('answered', 'not-done', 'lost-after', 'lost-before', 'delayed'),
    otherWrites: fastCheck.constantFrom(0, 0, 0, 1, 2),
    deliversDelayedWrites: fastCheck.boolean()
  })
  const outcomeCounts = new Map<string, number>()
  fastCheck.assert(fastCheck.property(fastCheck.array(conditions, { maxLength: 30, size: 'max' }), (calls) => {
    const store = emptyStore()
    const changeOutcome = run(store, request(), calls)._unsafeUnwrap()
    for (const deliver of store.delayedWrites.splice(0)) deliver()
    outcomeCounts.set(changeOutcome.kind, (outcomeCounts.get(changeOutcome.kind) ?? 0) + 1)
    if (changeOutcome.kind === 'took-effect' || changeOutcome.kind === 'superseded') assert.ok(isStored(store))
    if (changeOutcome.kind === 'raced' || changeOutcome.kind === 'not-sent') assert.not.ok(isStored(store))
  }), { seed: SEED, numRuns: 2_000 })
  for (const kind of ['took-effect', 'superseded', 'raced', 'not-sent', 'unknown']) assert.ok((outcomeCounts.get(kind) ?? 0) > 0, kind)
})

flow.run()
