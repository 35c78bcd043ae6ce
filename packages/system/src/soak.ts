/**
 * Runs real processes under traffic and random faults, and checks the recorded history.
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
import * as faultInjector from './fault-injector.js'
import * as checkHistoryModule from './check-history.js'
import * as operators from './operators.js'
import * as recorderModule from './recorder.js'
import * as revisions from './revisions.js'
import * as systemModule from './system.js'
import * as trafficModule from './traffic.js'

/** Parameters of a soak. */
export interface Options {
  readonly example: 'atlasrenew' | 'lanaustro'
  readonly daemons: number
  readonly durationMs: number
  readonly requestsPerS: number
  readonly seed: number
  readonly report: (line: string) => void
}

/** The outcome of a soak. */
export interface Outcome {
  readonly historyCheck: checkHistoryModule.HistoryCheck
  readonly calls: number
  readonly faults: Readonly<Record<string, number>>
  readonly outcomes: Readonly<Record<string, number>>
}

/** Time without faults at the start and between two faults, milliseconds. */
const FAULT_FREE_MS = 3_000
const SUSPENSION_MS = 4_000
const OUTAGE_MS = 6_000
const DRAIN_MS = 3_000
const LOWEST_RANK = 3

/** Deadline of every request, so that the last calls end soon, milliseconds. */
const DEADLINE_MS = 30_000

/** Timeout for the last calls after the end of the faults, milliseconds. */
const LAST_CALLS_TIMEOUT_MS = 2 * DEADLINE_MS

const CRASH_SHARE = 0.002

interface SoakContext {
  readonly system: systemModule.System
  readonly recorder: recorderModule.Recorder
  readonly faults: faultInjector.FaultInjector
  readonly random: protocol.Random
  readonly pickDaemon: () => daemonProcess.DaemonProcess
  readonly pickTarget: (kind: 'model' | 'plain') => string
}

type Fault = (context: SoakContext) => Promise<void>

type ServiceDocument = systemModule.System['documents'][number]

function wait (milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds))
}

/** Returns the document with other wait limits, so that the stored content changes. */
function withChangedWaitLimits (document: ServiceDocument, random: protocol.Random): ServiceDocument {
  return { ...document, tiers: document.tiers.map((tier) => ({ ...tier, maxWaitMs: Math.round(tier.maxWaitMs * (0.9 + random() / 10)) })) }
}

/** Changes the rank of the lowest tier. The caller passes a rank that no other tier has, so that the order of the tiers does not change. */
function withLowestTierRank (document: ServiceDocument, rank: number): ServiceDocument {
  const lowest = Math.max(...document.tiers.map((tier) => tier.rank))
  return { ...document, tiers: document.tiers.map((tier) => tier.rank === lowest ? { ...tier, rank } : tier) }
}

async function applyDocument ({ system, recorder }: SoakContext, document: ServiceDocument, operator: string): Promise<void> {
  await operators.applyChange(system, recorder, { document, operator })
}

const FAULTS: Readonly<Record<string, Fault>> = {
  kill: async ({ faults, pickDaemon }) => {
    const daemon = pickDaemon()
    await faults.kill(daemon)
    await wait(FAULT_FREE_MS)
    await faults.restart(daemon.name)
  },
  freeze: async ({ faults, pickDaemon }) => await faults.suspendFor(pickDaemon(), SUSPENSION_MS),
  'planned stop': async ({ faults, pickDaemon }) => {
    const daemon = pickDaemon()
    await faults.stop(daemon)
    await faults.restart(daemon.name)
  },
  'platform outage': async ({ faults }) => {
    await faults.setFaults('key-value', { outage: 'refuse' })
    await wait(OUTAGE_MS)
    await faults.setFaults('key-value', { outage: 'none' })
  },
  'platform hang': async ({ faults }) => {
    await faults.setFaults('key-value', { outage: 'hang' })
    await wait(OUTAGE_MS)
    await faults.setFaults('key-value', { outage: 'none' })
  },
  'two at once': async ({ faults, pickDaemon }) => {
    const daemon = pickDaemon()
    await Promise.all([faults.kill(daemon), faults.setFaults('key-value', { outage: 'refuse' })])
    await wait(OUTAGE_MS)
    await faults.setFaults('key-value', { outage: 'none' })
    await faults.restart(daemon.name)
  },
  'cut streams': async ({ faults, pickTarget }) => await faults.setFaults(pickTarget('model'), { cutNextStreams: 3 }),
  'streams closed early': async ({ faults, pickTarget }) => await faults.setFaults(pickTarget('model'), { closeEarly: 2 }),
  'too many bytes': async ({ faults, pickTarget }) => await faults.setFaults(pickTarget('model'), { extraBytes: 2 }),
  'connections reset': async ({ faults, pickTarget }) => await faults.setFaults(pickTarget('plain'), { resetNext: ['before', 'during', 'after'] }),
  'leaving targets': async ({ faults, recorder, pickTarget }) => {
    const leaving = new Set([pickTarget('model'), pickTarget('plain')])
    await faults.setLeavingTargets(leaving)
    await wait(OUTAGE_MS)
    await faults.setLeavingTargets(new Set())
    for (const target of leaving) recorder.record({ kind: 'target-returned', target })
  },
  'racing operators': async (context) => {
    const document = pick(context.system.documents, context.random)
    await Promise.all(['ana', 'berta'].map((operator) => applyDocument(context, withChangedWaitLimits(document, context.random), operator)))
  },
  'changed tiers': async (context) => {
    const document = context.system.documents.find((candidate) => candidate.tiers.some((tier) => tier.rank === LOWEST_RANK))
    if (document === undefined) return
    await applyDocument(context, withLowestTierRank(document, LOWEST_RANK + 1), 'ana')
    await wait(FAULT_FREE_MS)
    await applyDocument(context, document, 'ana')
  },
  straggler: async ({ faults, pickTarget }) => {
    const target = pickTarget('model')
    await faults.setFaults(target, { slowdown: 8 })
    await wait(OUTAGE_MS)
    await faults.setFaults(target, { slowdown: 1 })
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

async function injectFaults (context: SoakContext, options: Options): Promise<readonly string[]> {
  const injected: string[] = []
  const endMs = performance.now() + options.durationMs
  await wait(FAULT_FREE_MS)
  while (performance.now() < endMs) {
    const name = pick(Object.keys(FAULTS), context.random)
    options.report(`fault: ${name}`)
    injected.push(name)
    await FAULTS[name]?.(context)
    await wait(FAULT_FREE_MS)
    for (const line of await capacity.describeCapacity(context.system)) options.report(line)
  }
  return injected
}

function createContext (system: systemModule.System, recorder: recorderModule.Recorder, random: protocol.Random): SoakContext {
  const targets = systemModule.loggedTargets(system)
  return {
    system,
    recorder,
    faults: faultInjector.createFaultInjector(system, recorder),
    random,
    pickDaemon: () => pick(system.daemons(), random),
    pickTarget: (kind) => pick(targets.filter((target) => target.kind === kind), random).name
  }
}

/**
 * Runs a soak.
 *
 * @example
 * ```ts
 * const { historyCheck } = await soak({ example: 'lanaustro', daemons: 8, durationMs: 60_000, requestsPerS: 20, seed: 3, report: console.log })
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
    duplicateShare: 0.1,
    disconnectShare: 0.05,
    namePrefix: 'soak-',
    deadlineMs: DEADLINE_MS,
    crashShare: CRASH_SHARE
  })
  const observation = revisions.observeRevisions(system, recorder)
  const injected = await injectFaults(createContext(system, recorder, random), options)
  for (const line of await capacity.describeCapacity(system)) options.report(line)
  options.report('waiting for the last calls')
  await Promise.race([traffic.stop(), wait(LAST_CALLS_TIMEOUT_MS)])
  await observation.stop()
  for (const fact of await revisions.readAcceptedChanges(system)) recorder.recordAt(fact)
  const historyCheck = await checkHistoryModule.checkHistory(system, recorder, traffic.requests)
  await callers.close()
  await system.close()
  const outcomes = countBy(traffic.results().map((result) => `${result.outcome} ${result.outcome === 'refused' ? result.reason : ''}`.trim()))
  return { historyCheck, calls: traffic.results().length, faults: countBy(injected), outcomes }
}
