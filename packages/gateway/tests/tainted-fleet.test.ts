/**
 * Requests with a segment that crashes targets, at a simulated fleet of daemons that report to each other.
 */
import type * as routing from '@persimmonhatch/routing'
import * as distribution from 'pure-rand/distribution/uniformFloat64'
import * as generator from 'pure-rand/generator/xoroshiro128plus'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fleetModule from './fleet.js'

const suite = uvu.suite('tainted fleet')

const STEP_MS = 200
const MS_PER_S = 1_000
const RUN_MS = 150
const DOWN_MS = 3_000
const TAINTED_FROM_MS = 8_000
const TAINTED_FOR_MS = 22_000
const DAY_MS = 34_000

interface Scenario {
  readonly daemons: number
  readonly targets: number
  readonly perS: number
  /** Time for which machines must be calm to be judged, ms. */
  readonly stableMs: number
  readonly share: number
  readonly tainted: readonly string[]
  /** Whether the tainted segments stand in sound requests before. */
  readonly wasSound?: boolean
  /** Share of the targets that crash every two seconds, whatever they run. */
  readonly crashShare?: number
  /** Share of the daemons that can't reach the others for five seconds. */
  readonly cutShare?: number
}

interface Running {
  readonly daemon: number
  readonly target: number
  readonly sentMs: number
  readonly traits: routing.crash.Traits
  readonly isTainted: boolean
}

interface Result {
  /** Requests with a tainted segment that targets got later than `stableMs` after its fifth crash, the most of any segment. */
  readonly lateTainted: number
  /** Share of the sound requests with the first segment of tainted ones that were admitted later than twice `stableMs` after the fifth crash. */
  readonly soundShare: number
  readonly refusedSound: number
}

/** Organisations with a first segment each; the first is that of the tainted requests. */
const FIRST_SEGMENTS = ['first-0', 'first-1', 'first-2', 'first-3', 'first-4']

function isInTaintedTime (nowMs: number): boolean {
  return nowMs >= TAINTED_FROM_MS && nowMs < TAINTED_FROM_MS + TAINTED_FOR_MS
}

function play (scenario: Scenario, seed: number): Result {
  const source = generator.xoroshiro128plus(seed)
  const random = (): number => distribution.uniformFloat64(source)
  const below = (bound: number): number => Math.floor(random() * bound)
  const fleet = fleetModule.createFleet(scenario.daemons, scenario.daemons)
  const upAtMs = Array.from({ length: scenario.targets }, () => 0)
  const crashes = new Map<string, number>()
  const fifthCrashMs = new Map<string, number>()
  const lateTainted = new Map<string, number>()
  let running: readonly Running[] = []
  let requests = 0
  let sound = { asked: 0, admitted: 0 }
  let refusedSound = 0

  function crash (target: number, atMs: number): void {
    upAtMs[target] = atMs + DOWN_MS
    for (const request of running.filter((other) => other.target === target)) {
      fleet.members[request.daemon]?.suspects.recordCrash({ ...request.traits, target: `target-${target}`, sentMs: request.sentMs, atMs }, 'own', atMs)
    }
    running = running.filter((other) => other.target !== target)
  }

  function finish (nowMs: number): void {
    for (const request of [...running].sort((a, b) => a.sentMs - b.sentMs)) {
      const begunMs = request.sentMs + RUN_MS
      if (begunMs > nowMs || !running.includes(request)) continue
      if (request.isTainted) {
        const segment = request.traits.segments.find((other) => scenario.tainted.includes(other)) ?? ''
        crashes.set(segment, 1 + (crashes.get(segment) ?? 0))
        if (crashes.get(segment) === 5) fifthCrashMs.set(segment, begunMs)
        crash(request.target, begunMs)
      } else {
        running = running.filter((other) => other !== request)
        fleet.members[request.daemon]?.suspects.recordAnswer(request.traits, begunMs, nowMs)
      }
    }
  }

  /** Draws a request at a random daemon. */
  function draw (nowMs: number): Omit<Running, 'target'> {
    const isTaintedTime = isInTaintedTime(nowMs)
    const isTainted = isTaintedTime && random() < scenario.share
    const carriesSegment = isTainted || (scenario.wasSound === true && !isTaintedTime && random() < scenario.share)
    const segment = scenario.tainted[below(scenario.tainted.length)] ?? ''
    const first = FIRST_SEGMENTS[carriesSegment ? 0 : below(FIRST_SEGMENTS.length)] ?? ''
    requests += 1
    const traits = { content: `content-${requests}`, segments: carriesSegment ? [first, segment] : [first] }
    return { daemon: below(scenario.daemons), sentMs: nowMs, traits, isTainted }
  }

  function countSound ({ traits, sentMs }: Omit<Running, 'target'>, isAdmitted: boolean): void {
    if (!isAdmitted) refusedSound += 1
    const judgedFromMs = fifthCrashMs.size === 0 ? Infinity : Math.max(...fifthCrashMs.values()) + 2 * scenario.stableMs
    if (traits.segments[0] !== FIRST_SEGMENTS[0] || !isInTaintedTime(sentMs) || sentMs <= judgedFromMs) return
    sound = { asked: sound.asked + 1, admitted: sound.admitted + (isAdmitted ? 1 : 0) }
  }

  function countTainted ({ traits, sentMs }: Omit<Running, 'target'>): void {
    const segment = traits.segments.find((other) => scenario.tainted.includes(other)) ?? ''
    if (sentMs > (fifthCrashMs.get(segment) ?? Infinity) + scenario.stableMs) lateTainted.set(segment, 1 + (lateTainted.get(segment) ?? 0))
  }

  function arrive (nowMs: number): void {
    const request = draw(nowMs)
    const member = fleet.members[request.daemon]
    const isAdmitted = member?.suspects.admit(request.traits, nowMs, (trait) => member.peers.isArbiterOf(trait, nowMs)).kind === 'admitted'
    if (!request.isTainted) countSound(request, isAdmitted)
    const up = upAtMs.flatMap((atMs, target) => atMs <= nowMs ? [target] : [])
    const target = up[below(up.length)]
    if (!isAdmitted || target === undefined) return
    if (request.isTainted) countTainted(request)
    running = [...running, { ...request, target }]
  }

  const isCut = (index: number): boolean => index < (scenario.cutShare ?? 0) * scenario.daemons
  fleet.simulate(5_000, fleetModule.CONNECTED)
  for (const startMs = fleet.now(); fleet.now() < startMs + DAY_MS;) {
    const nowMs = fleet.now()
    if (nowMs % (2 * MS_PER_S) === 0) for (let target = 0; target < scenario.targets; target += 1) if (random() < (scenario.crashShare ?? 0)) crash(target, nowMs)
    for (let count = scenario.perS * STEP_MS / MS_PER_S; count > 0 && (count >= 1 || random() < count); count -= 1) arrive(nowMs)
    const isCutTime = nowMs >= TAINTED_FROM_MS && nowMs < TAINTED_FROM_MS + 5_000
    fleet.simulate(STEP_MS, (from, to) => !isCutTime || isCut(from) === isCut(to))
    finish(fleet.now())
  }
  return { lateTainted: Math.max(0, ...lateTainted.values()), soundShare: sound.asked === 0 ? 1 : sound.admitted / sound.asked, refusedSound }
}

const SMALL = { daemons: 9, targets: 8, perS: 60, stableMs: 3_000, share: 0.02, tainted: ['tainted'] }

const SCENARIOS: readonly (readonly [description: string, scenario: Scenario, seeds: number])[] = [
  ['a tainted segment', SMALL, 10],
  ['many requests with a tainted segment', { ...SMALL, share: 0.2 }, 5],
  ['few requests with a tainted segment', { ...SMALL, share: 0.005 }, 5],
  ['two tainted segments', { ...SMALL, share: 0.05, tainted: ['tainted-1', 'tainted-2'] }, 10],
  ['a segment that turns bad', { ...SMALL, wasSound: true }, 10],
  ['a tainted segment while targets crash by themselves', { ...SMALL, crashShare: 0.15 }, 10],
  ['a tainted segment while a third of the daemons is cut off', { ...SMALL, cutShare: 0.34 }, 5],
  ['a tainted segment at 87 daemons', { daemons: 87, targets: 63, perS: 400, stableMs: 4_000, share: 0.02, tainted: ['tainted'] }, 1]
]

for (const [description, scenario, seeds] of SCENARIOS) {
  for (let seed = 1; seed <= seeds; seed += 1) {
    suite(`${description}: few requests with it reach targets after the fifth crash, and sound ones are admitted, seed ${seed}`, () => {
      const { lateTainted, soundShare } = play(scenario, seed)
      // The bounds are those of the users: three requests, and half of the sound ones.
      assert.ok(lateTainted <= 3, `${lateTainted} late requests`)
      assert.ok(soundShare >= 0.5, `${soundShare} of the sound requests`)
    })
  }
}

for (let seed = 1; seed <= 5; seed += 1) {
  suite(`no sound request is refused while targets crash by themselves, seed ${seed}`, () => {
    assert.is(play({ ...SMALL, share: 0, crashShare: 0.3 }, seed).refusedSound, 0)
  })
}

suite.run()
