/**
 * Real processes under traffic and random faults; the history decides.
 *
 * @module
 */
import * as load from '@persimmonhatch/load'
import type * as protocol from '@persimmonhatch/protocol'
import * as distribution from 'pure-rand/distribution/uniformFloat64'
import * as generator from 'pure-rand/generator/xoroshiro128plus'
import * as callersModule from './callers.js'
import * as capacity from './capacity.js'
import type * as daemonProcess from './daemon-process.js'
import * as deployment from './deployment.js'
import * as faultsModule from './faults.js'
import * as judgeModule from './judge.js'
import * as operators from './operators.js'
import * as recorderModule from './recorder.js'
import * as revisions from './revisions.js'
import * as systemModule from './system.js'
import * as trafficModule from './traffic.js'

/** What to run. */
export interface Options {
  readonly example: 'atlasrenew' | 'lanaustro'
  readonly daemons: number
  readonly durationMs: number
  readonly requestsPerS: number
  readonly seed: number
  readonly report: (line: string) => void
}

/** What came of it. */
export interface Outcome {
  readonly verdict: judgeModule.Verdict
  readonly calls: number
  readonly faults: Readonly<Record<string, number>>
  readonly outcomes: Readonly<Record<string, number>>
}

/** Time without faults at the beginning and between two faults, milliseconds. */
const QUIET_MS = 3_000
const FREEZE_MS = 4_000
const OUTAGE_MS = 6_000
const DRAIN_MS = 3_000
const LOWEST_RANK = 3

/** Deadline of every request, so that the last calls end soon, milliseconds. */
const DEADLINE_MS = 30_000

/** Longest wait for the last calls after their deadline, milliseconds. */
const LAST_CALLS_LIMIT_MS = 2 * DEADLINE_MS

const CRASH_SHARE = 0.002

interface Scene {
  readonly system: systemModule.System
  readonly recorder: recorderModule.Recorder
  readonly faults: faultsModule.Faults
  readonly random: protocol.Random
  readonly anyDaemon: () => daemonProcess.DaemonProcess
  readonly anyTarget: (kind: 'model' | 'plain') => string
}

type Fault = (scene: Scene) => Promise<void>

type ServiceDocument = systemModule.System['documents'][number]

function wait (milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds))
}

/** A document whose longest waits differ from before, so that each change is one. */
function withWait (one: ServiceDocument, random: protocol.Random): ServiceDocument {
  return { ...one, tiers: one.tiers.map((tier) => ({ ...tier, maxWaitMs: Math.round(tier.maxWaitMs * (0.9 + random() / 10)) })) }
}

/** The lowest tier moves between two ranks that no other tier has, so that the order of tiers stays. */
function withLowestRank (one: ServiceDocument, rank: number): ServiceDocument {
  const lowest = Math.max(...one.tiers.map((tier) => tier.rank))
  return { ...one, tiers: one.tiers.map((tier) => tier.rank === lowest ? { ...tier, rank } : tier) }
}

async function apply ({ system, recorder }: Scene, document: ServiceDocument, operator: string): Promise<void> {
  await operators.applyChange(system, recorder, { document, operator })
}

const FAULTS: Readonly<Record<string, Fault>> = {
  kill: async ({ faults, anyDaemon }) => {
    const daemon = anyDaemon()
    await faults.kill(daemon)
    await wait(QUIET_MS)
    await faults.restart(daemon.name)
  },
  freeze: async ({ faults, anyDaemon }) => await faults.freeze(anyDaemon(), FREEZE_MS),
  'planned stop': async ({ faults, anyDaemon }) => {
    const daemon = anyDaemon()
    await faults.stop(daemon)
    await faults.restart(daemon.name)
  },
  'platform outage': async ({ faults }) => {
    await faults.set('key-value', { outage: 'refuse' })
    await wait(OUTAGE_MS)
    await faults.set('key-value', { outage: 'none' })
  },
  'platform hang': async ({ faults }) => {
    await faults.set('key-value', { outage: 'hang' })
    await wait(OUTAGE_MS)
    await faults.set('key-value', { outage: 'none' })
  },
  'two at once': async ({ faults, anyDaemon }) => {
    const daemon = anyDaemon()
    await Promise.all([faults.kill(daemon), faults.set('key-value', { outage: 'refuse' })])
    await wait(OUTAGE_MS)
    await faults.set('key-value', { outage: 'none' })
    await faults.restart(daemon.name)
  },
  'cut streams': async ({ faults, anyTarget }) => await faults.set(anyTarget('model'), { cutNextStreams: 3 }),
  'streams closed early': async ({ faults, anyTarget }) => await faults.set(anyTarget('model'), { closeEarly: 2 }),
  'too many bytes': async ({ faults, anyTarget }) => await faults.set(anyTarget('model'), { extraBytes: 2 }),
  'connections reset': async ({ faults, anyTarget }) => await faults.set(anyTarget('plain'), { resetNext: ['before', 'during', 'after'] }),
  'leaving targets': async ({ faults, recorder, anyTarget }) => {
    const leaving = new Set([anyTarget('model'), anyTarget('plain')])
    await faults.listTargets(leaving)
    await wait(OUTAGE_MS)
    await faults.listTargets(new Set())
    for (const target of leaving) recorder.record({ kind: 'target-returned', target })
  },
  'racing operators': async (scene) => {
    const document = pick(scene.system.documents, scene.random)
    await Promise.all(['ana', 'berta'].map((operator) => apply(scene, withWait(document, scene.random), operator)))
  },
  'changed tiers': async (scene) => {
    const document = scene.system.documents.find((one) => one.tiers.some((tier) => tier.rank === LOWEST_RANK))
    if (document === undefined) return
    await apply(scene, withLowestRank(document, LOWEST_RANK + 1), 'ana')
    await wait(QUIET_MS)
    await apply(scene, document, 'ana')
  },
  straggler: async ({ faults, anyTarget }) => {
    const target = anyTarget('model')
    await faults.set(target, { slowdown: 8 })
    await wait(OUTAGE_MS)
    await faults.set(target, { slowdown: 1 })
  }
}

function countBy (names: readonly string[]): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {}
  for (const name of names) counts[name] = (counts[name] ?? 0) + 1
  return counts
}

function pick<Item> (items: readonly Item[], random: protocol.Random): Item {
  return items[Math.floor(random() * items.length)] as Item
}

async function causeFaults (scene: Scene, options: Options): Promise<readonly string[]> {
  const caused: string[] = []
  const endMs = performance.now() + options.durationMs
  await wait(QUIET_MS)
  while (performance.now() < endMs) {
    const name = pick(Object.keys(FAULTS), scene.random)
    options.report(`fault: ${name}`)
    caused.push(name)
    await FAULTS[name]?.(scene)
    await wait(QUIET_MS)
    for (const line of await capacity.describeCapacity(scene.system)) options.report(line)
  }
  return caused
}

function createScene (system: systemModule.System, recorder: recorderModule.Recorder, random: protocol.Random): Scene {
  const targets = systemModule.loggedTargets(system)
  return {
    system,
    recorder,
    faults: faultsModule.createFaults(system, recorder),
    random,
    anyDaemon: () => pick(system.daemons(), random),
    anyTarget: (kind) => pick(targets.filter((target) => target.kind === kind), random).name
  }
}

/**
 * Runs a soak.
 *
 * @example
 * ```ts
 * const { verdict } = await soak({ example: 'lanaustro', daemons: 8, durationMs: 60_000, requestsPerS: 20, seed: 3, report: console.log })
 * ```
 */
export async function soak (options: Options): Promise<Outcome> {
  const source = generator.xoroshiro128plus(options.seed)
  const random = (): number => distribution.uniformFloat64(source)
  const recorder = recorderModule.createRecorder()
  const system = await systemModule.startSystem({ deployment: await deployment.readDeployment(options.example), daemons: options.daemons, drainMs: DRAIN_MS, seed: options.seed })
  const callers = callersModule.createCallers({ recorder, daemons: system.daemons })
  const traffic = trafficModule.startTraffic({
    callers,
    daemons: system.daemons,
    mix: options.example === 'atlasrenew' ? load.mix.ATLASRENEW : load.mix.LANAUSTRO,
    random,
    requestsPerS: options.requestsPerS,
    doubleShare: 0.1,
    leaveShare: 0.05,
    prefix: 'soak-',
    deadlineMs: DEADLINE_MS,
    crashShare: CRASH_SHARE
  })
  const observation = revisions.observeRevisions(system, recorder)
  const caused = await causeFaults(createScene(system, recorder, random), options)
  for (const line of await capacity.describeCapacity(system)) options.report(line)
  options.report('waiting for the last calls')
  await Promise.race([traffic.stop(), wait(LAST_CALLS_LIMIT_MS)])
  await observation.stop()
  for (const fact of await revisions.acceptedFacts(system)) recorder.recordAt(fact)
  const verdict = await judgeModule.judge(system, recorder, traffic.requests)
  await callers.close()
  await system.close()
  const outcomes = countBy(traffic.results().map((result) => `${result.outcome} ${result.outcome === 'refused' ? result.reason : ''}`.trim()))
  return { verdict, calls: traffic.results().length, faults: countBy(caused), outcomes }
}
