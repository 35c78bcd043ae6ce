import * as routing from '@persimmonhatch/routing'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'

const suite = uvu.suite('suspects')

const NOBODY = (): boolean => false
const EVERYBODY = (): boolean => true

/** Time between two crashes, and from the sending of a request to its crash, ms. */
const INTERVAL_MS = 500
const RUN_MS = 100

/** Time for which a trait is refused after its third crash, ms, and the end of an unsettled refusal. */
const REFUSAL_MS = 20_000
const UNSETTLED_MS = 60_000

const ALL: routing.suspects.Selection = { sources: ['own', 'cell', 'fleet'], sinceMs: 0, withAllRefused: true, maxRows: 32 }

interface Setup {
  readonly suspects: routing.suspects.Suspects
  readonly changes: readonly string[]
  /** Crashes a target with a request, one interval after the crash before. */
  readonly crash: (target: string, content: string, segments?: readonly string[]) => void
  readonly answer: (segments: readonly string[], content?: string) => void
  readonly isRefused: (segments: readonly string[], content?: string) => boolean
  readonly now: () => number
}

function setUp (): Setup {
  const changes: string[] = []
  const suspects = new routing.suspects.Suspects(({ trait }, isRefused) => { changes.push(`${isRefused ? '+' : '-'}${trait}`) })
  let nowMs = 0
  return {
    suspects,
    changes,
    crash: (target, content, segments = []) => {
      nowMs += INTERVAL_MS
      suspects.recordCrash({ content, segments, target, sentMs: nowMs - RUN_MS, atMs: nowMs }, 'own', nowMs)
    },
    answer: (segments, content = 'sound') => {
      nowMs += 1
      suspects.recordAnswer({ content, segments }, nowMs, nowMs)
    },
    isRefused: (segments, content = 'other') => suspects.admit({ content, segments }, nowMs, NOBODY).kind === 'refused',
    now: () => nowMs
  }
}

suite('a content that crashed targets three times is refused until an answer to it begins', () => {
  const { crash, answer, isRefused, changes } = setUp()
  crash('engine-1', 'c')
  crash('engine-2', 'c')
  assert.not.ok(isRefused([], 'c'))
  crash('engine-3', 'c')
  assert.ok(isRefused([], 'c'))
  assert.not.ok(isRefused([], 'd'))
  answer([], 'c')
  assert.not.ok(isRefused([], 'c'))
  assert.equal(changes, ['+c', '-c'])
})

suite('a segment that crashes targets whatever else the prompt holds is refused, and no other segment', () => {
  const { crash, answer, isRefused } = setUp()
  crash('engine-1', 'c1', ['first', 'tainted'])
  crash('engine-2', 'c2', ['second', 'tainted'])
  answer(['first'])
  crash('engine-3', 'c3', ['first', 'tainted'])
  assert.ok(isRefused(['third', 'tainted']))
  assert.not.ok(isRefused(['first']))
  assert.not.ok(isRefused(['second']))
})

suite('a segment that only stands beside a tainted one is not refused, though no answer with it has begun since the first crash', () => {
  const { crash, isRefused } = setUp()
  for (let index = 1; index <= 6; index += 1) crash(`engine-${index}`, `c${index}`, ['shared', 'tainted'])
  assert.ok(isRefused(['shared', 'tainted']))
  assert.not.ok(isRefused(['shared']))
})

suite('of segments with the same crashes the one whose last answer is the oldest is refused', () => {
  const { crash, answer, isRefused } = setUp()
  answer(['tainted', 'shared'])
  answer(['shared'])
  for (let index = 1; index <= 3; index += 1) crash(`engine-${index}`, `c${index}`, ['tainted', 'shared'])
  assert.ok(isRefused(['tainted']))
  assert.not.ok(isRefused(['shared']))
})

suite('a segment that stood in sound requests until it turned bad is refused', () => {
  const { crash, answer, isRefused } = setUp()
  for (let index = 0; index < 50; index += 1) answer(['shared', 'tainted'])
  for (let index = 1; index <= 3; index += 1) {
    crash(`engine-${index}`, `c${index}`, ['shared', 'tainted'])
    answer(['shared'])
  }
  assert.ok(isRefused(['shared', 'tainted']))
  assert.not.ok(isRefused(['shared']))
})

suite('two tainted segments are both refused', () => {
  const { crash, isRefused } = setUp()
  for (let index = 1; index <= 3; index += 1) {
    crash(`engine-${index}`, `c${index}`, ['shared', 'tainted-1'])
    crash(`engine-${index + 3}`, `d${index}`, ['shared', 'tainted-2'])
  }
  for (let index = 7; index <= 9; index += 1) if (!isRefused(['shared', 'tainted-2'])) crash(`engine-${index}`, `d${index}`, ['shared', 'tainted-2'])
  assert.ok(isRefused(['tainted-1']))
  assert.ok(isRefused(['tainted-2']))
  assert.not.ok(isRefused(['shared']))
})

const SOUND: readonly (readonly [description: string, play: (setup: Setup) => void])[] = [
  ['all targets crash at the same moment', ({ suspects }) => {
    for (let index = 1; index <= 8; index += 1) suspects.recordCrash({ content: `c${index}`, segments: ['shared'], target: `engine-${index}`, sentMs: 300 + index, atMs: 500 }, 'own', 500)
  }],
  ['the same target breaks off again and again', ({ crash }) => {
    for (let index = 1; index <= 8; index += 1) crash('engine-1', `c${index}`, ['shared'])
  }],
  ['answers begin between the crashes', ({ crash, answer }) => {
    for (let index = 1; index <= 8; index += 1) {
      crash(`engine-${index}`, `c${index}`, ['shared'])
      answer(['shared'])
    }
  }],
  ['one content alone crashes targets', ({ crash }) => {
    for (let index = 1; index <= 8; index += 1) crash(`engine-${index}`, 'c', ['shared'])
  }],
  ['several daemons report the same crash', ({ suspects }) => {
    for (let index = 1; index <= 8; index += 1) suspects.applyReport({ crashes: [['engine-1', 200, 50, `c${index}`, 'shared']] }, 'cell', 500 + index)
  }],
  ['a daemon repeats its reports', ({ suspects }) => {
    for (let index = 1; index <= 8; index += 1) suspects.applyReport({ crashes: [['engine-1', index * 500, index * 500 - 100, 'c', 'shared']] }, 'cell', index * 500 + 1_000)
  }]
]

for (const [description, play] of SOUND) {
  suite(`no segment is refused when ${description}`, () => {
    const setup = setUp()
    play(setup)
    assert.not.ok(setup.isRefused(['shared']))
  })
}

suite('after its time a refused segment is tried by one daemon, one request at a time, and an answer ends the refusal', () => {
  const { suspects, crash, now } = setUp()
  for (let index = 1; index <= 3; index += 1) crash(`engine-${index}`, `c${index}`, ['shared', 'tainted'])
  const traits = { content: 'c', segments: ['shared', 'tainted'] }
  const kindAt = (nowMs: number, isArbiter: () => boolean): string => suspects.admit(traits, nowMs, isArbiter).kind
  assert.is(kindAt(now() + REFUSAL_MS - 1, EVERYBODY), 'refused')
  assert.is(kindAt(now() + REFUSAL_MS + 1, NOBODY), 'refused')
  assert.is(kindAt(now() + REFUSAL_MS + 1, EVERYBODY), 'admitted')
  assert.is(kindAt(now() + REFUSAL_MS + 2, EVERYBODY), 'refused')
  suspects.recordAnswer(traits, now() + REFUSAL_MS + 100, now() + REFUSAL_MS + 110)
  assert.is(kindAt(now() + REFUSAL_MS + 120, NOBODY), 'admitted')
})

suite('a crash on trial doubles the time of the refusal', () => {
  const { suspects, crash, now } = setUp()
  for (let index = 1; index <= 3; index += 1) crash(`engine-${index}`, `c${index}`, ['tainted'])
  const triedMs = now() + REFUSAL_MS + 1
  const traits = { content: 'c', segments: ['tainted'] }
  assert.is(suspects.admit(traits, triedMs, EVERYBODY).kind, 'admitted')
  suspects.recordCrash({ ...traits, target: 'engine-4', sentMs: triedMs, atMs: triedMs + 100 }, 'own', triedMs + 100)
  assert.is(suspects.admit(traits, triedMs + 100 + 2 * REFUSAL_MS - 1, EVERYBODY).kind, 'refused')
  assert.is(suspects.admit(traits, triedMs + 100 + 2 * REFUSAL_MS + 1, EVERYBODY).kind, 'admitted')
})

suite('a refusal that no trial has settled ends by itself', () => {
  const { suspects, crash, now } = setUp()
  for (let index = 1; index <= 3; index += 1) crash(`engine-${index}`, `c${index}`, ['tainted'])
  const refused = suspects.select(ALL, now())
  assert.equal(refused.refused?.map(([trait]) => trait), ['tainted'])
  assert.equal(suspects.select(ALL, now() + UNSETTLED_MS + 1).refused, undefined)
  assert.is(suspects.admit({ content: 'c', segments: ['tainted'] }, now() + UNSETTLED_MS + 1, NOBODY).kind, 'admitted')
  suspects.applyReport({ refused: [['tainted', UNSETTLED_MS + 2, 1]] }, 'cell', now() + UNSETTLED_MS + 2)
  assert.equal(suspects.refused(), [])
})

suite('crashes long ago are no evidence', () => {
  const { suspects, isRefused } = setUp()
  for (const index of [0, 1, 2, 3]) {
    const atMs = 1_000 + index * 40_000
    suspects.recordCrash({ content: `c${index}`, segments: ['shared'], target: `engine-${index}`, sentMs: atMs - RUN_MS, atMs }, 'own', atMs)
  }
  assert.not.ok(isRefused(['shared']))
})

suite('a request that is refused for one trait leaves the trial of another to the next', () => {
  const { suspects, crash, now } = setUp()
  for (const segment of ['tainted-1', 'tainted-2']) for (let index = 1; index <= 3; index += 1) crash(`engine-${index}`, `${segment}-${index}`, [segment])
  const isFirst = (trait: string): boolean => trait === 'tainted-1'
  assert.is(suspects.admit({ content: 'c', segments: ['tainted-1', 'tainted-2'] }, now() + REFUSAL_MS + 1, isFirst).kind, 'refused')
  assert.is(suspects.admit({ content: 'c', segments: ['tainted-1'] }, now() + REFUSAL_MS + 1, isFirst).kind, 'admitted')
})

suite('a request is not repeated when one more crash would refuse one of its traits', () => {
  const { suspects, crash } = setUp()
  crash('engine-1', 'c1', ['tainted'])
  assert.not.ok(suspects.isDoubtful({ content: 'c1', segments: ['tainted'] }))
  crash('engine-2', 'c2', ['tainted'])
  assert.ok(suspects.isDoubtful({ content: 'c2', segments: ['tainted'] }))
  assert.not.ok(suspects.isDoubtful({ content: 'c2', segments: ['shared'] }))
})

suite('evidence of several daemons refuses a segment, and a daemon that has just started learns of it', () => {
  const daemons = [setUp(), setUp(), setUp()]
  for (const [index, { suspects }] of daemons.entries()) {
    const atMs = 1_000 + index * INTERVAL_MS
    suspects.recordCrash({ content: `c${index}`, segments: ['shared', 'tainted'], target: `engine-${index}`, sentMs: atMs - RUN_MS, atMs }, 'own', atMs)
  }
  const nowMs = 3_000
  const [first, ...others] = daemons.map(({ suspects }) => suspects)
  for (const other of others) first?.applyReport(other.select(ALL, nowMs), 'cell', nowMs)
  assert.equal(first?.refused().map(({ trait }) => trait), ['tainted'])
  const started = setUp()
  started.suspects.applyReport(first?.select({ ...ALL, sinceMs: nowMs + 1 }, nowMs + 5_000) ?? {}, 'cell', nowMs + 5_000)
  assert.equal(started.suspects.refused().map(({ trait }) => trait), ['tainted'])
})

suite('an answer at one daemon ends the refusal at others, and a late report does not restore it', () => {
  const { suspects, crash, now } = setUp()
  for (let index = 1; index <= 3; index += 1) crash(`engine-${index}`, `c${index}`, ['shared'])
  const refused = suspects.select(ALL, now())
  const answering = setUp().suspects
  answering.applyReport(refused, 'cell', now() + 10)
  answering.recordAnswer({ content: 'd', segments: ['shared'] }, now() + 20, now() + 30)
  suspects.applyReport(answering.select(ALL, now() + 40), 'cell', now() + 50)
  assert.equal(suspects.refused(), [])
  answering.applyReport(refused, 'cell', now() + 10)
  assert.equal(answering.refused(), [])
})

suite('a report has a bounded number of rows of its sources, those with the most crashes of a trait first', () => {
  const { suspects } = setUp()
  const record = (content: string, source: routing.crash.Source, atMs: number, segments: readonly string[] = []): void =>
    suspects.recordCrash({ content, segments, target: `engine-${content}`, sentMs: atMs - 1, atMs }, source, atMs)
  record('a', 'own', 0)
  record('b', 'own', 10)
  record('c', 'fleet', 20)
  record('d1', 'cell', 30, ['d'])
  record('d2', 'cell', 40, ['d'])
  const contents = (selection: Partial<routing.suspects.Selection>): readonly string[] => suspects.select({ ...ALL, ...selection }, 50).crashes?.map(([,,, content]) => content) ?? []
  assert.equal(contents({ sources: ['own'] }), ['b', 'a'])
  assert.equal(contents({ sources: ['own', 'cell'], sinceMs: 5, maxRows: 2 }), ['d2', 'd1'])
})

suite.run()
