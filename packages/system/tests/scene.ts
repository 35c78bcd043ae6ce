/**
 * A running system with callers, faults and the history so far, for tests of failures.
 *
 * @module
 */
import * as load from '@persimmonhatch/load'
import * as assert from 'uvu/assert'
import * as distribution from 'pure-rand/distribution/uniformFloat64'
import * as generator from 'pure-rand/generator/xoroshiro128plus'
import type * as call from '../src/call.js'
import * as callers from '../src/callers.js'
import * as collectRuns from '../src/collect-runs.js'
import type * as daemonProcess from '../src/daemon-process.js'
import * as deployment from '../src/deployment.js'
import * as faults from '../src/faults.js'
import * as judge from '../src/judge.js'
import * as recorder from '../src/recorder.js'
import * as systemModule from '../src/system.js'
import * as trafficModule from '../src/traffic.js'
import * as waitUntil from '../src/wait-until.js'

const SHOWN_VIOLATIONS = 5

/** Answers short enough that the last calls of a test end soon, tokens. */
const LONGEST_ANSWER_TOKENS = 60

const SHORT_ANSWERS: load.mix.Mix = {
  ...load.mix.ATLASRENEW,
  kinds: load.mix.ATLASRENEW.kinds.map((kind) => ({
    ...kind,
    minAnswerTokens: Math.min(kind.minAnswerTokens, LONGEST_ANSWER_TOKENS),
    maxAnswerTokens: Math.min(kind.maxAnswerTokens, LONGEST_ANSWER_TOKENS)
  }))
}

/** Upper guard of every wait, milliseconds. */
export const LIMIT_MS = 40_000

/** CI does not check how fast refusals come, only that they come, milliseconds. */
const REFUSAL_LIMIT_MS = 20_000

export const QUESTION: call.Request = {
  request: '', service: 'support', kind: 'model', method: 'POST', path: '/v1/chat/completions', organisation: 'maarif', tier: 'shop', rank: 1, nonIdempotent: false, promptText: 'Is the battery under warranty?', answerTokens: 12, stream: true
}
export const RESERVATION: call.Request = {
  ...QUESTION, service: 'stock', kind: 'plain', path: '/reservations', tier: 'reservation', rank: 0, nonIdempotent: true, stream: false
}
export const STOCK_CHECK: call.Request = {
  ...RESERVATION, method: 'GET', path: '/stock/item', tier: 'check', rank: 1, nonIdempotent: false
}
export const STOCK = ['stock-1', 'stock-2', 'stock-3', 'stock-4'] as const

export interface Scene {
  readonly system: systemModule.System
  readonly recorder: recorder.Recorder
  readonly callers: callers.Callers
  readonly faults: faults.Faults
  readonly requests: Map<string, call.Request>
  /** All traffic so far. */
  readonly traffic: Set<trafficModule.Traffic>
}

export async function startScene (options: Partial<systemModule.Options>): Promise<Scene> {
  const system = await systemModule.startSystem({ deployment: await deployment.readDeployment('atlasrenew'), daemons: 3, seed: 21, ...options })
  const recording = recorder.createRecorder()
  return {
    system,
    recorder: recording,
    callers: callers.createCallers({ recorder: recording, daemons: system.daemons }),
    faults: faults.createFaults(system, recording),
    requests: new Map(),
    traffic: new Set()
  }
}

/** What has to end with a scene. */
export interface Closable {
  readonly system: Pick<systemModule.System, 'close'>
  readonly callers: Pick<callers.Callers, 'close'>
  readonly traffic: Iterable<Pick<trafficModule.Traffic, 'stop'>>
}

/** Ends a scene, and the traffic that a failed test has left running: it would keep the process alive. */
export async function closeScene (scene: Closable): Promise<void> {
  const stopped = [...scene.traffic].map((one) => one.stop())
  await scene.system.close()
  await Promise.all(stopped)
  await scene.callers.close()
}

/** A test in a system of its own. */
export function inScene (options: Partial<systemModule.Options>, test: (scene: Scene) => Promise<void>): () => Promise<void> {
  return async () => {
    const scene = await startScene(options)
    try {
      await test(scene)
    } finally {
      await closeScene(scene)
    }
  }
}

export function wait (milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds))
}

/** Gives a request a name of its own. */
export function named (scene: Scene, request: call.Request, name: string): call.Request {
  const one = { ...request, request: name }
  scene.requests.set(name, one)
  return one
}

export function startTraffic (scene: Scene, prefix: string, requestsPerS: number): trafficModule.Traffic {
  const source = generator.xoroshiro128plus(prefix.length)
  const traffic = trafficModule.startTraffic({
    callers: scene.callers,
    daemons: scene.system.daemons,
    mix: SHORT_ANSWERS,
    random: () => distribution.uniformFloat64(source),
    requestsPerS,
    doubleShare: 0.3,
    leaveShare: 0.05,
    prefix,
    deadlineMs: LIMIT_MS
  })
  scene.traffic.add(traffic)
  return traffic
}

export function daemonAt (scene: Scene, index: number): daemonProcess.DaemonProcess {
  const daemon = scene.system.daemons()[index]
  if (daemon === undefined) throw new Error(`There is no daemon ${index}.`)
  return daemon
}

export async function steerFrom (scene: Scene, asked: daemonProcess.DaemonProcess, service: string): Promise<callers.Steer> {
  return await waitUntil.waitUntil('an address is named', LIMIT_MS, () => scene.callers.steer(asked, service))
}

export interface Status {
  readonly state: string
  readonly members: readonly { readonly state: string, readonly address: string }[]
  readonly services: readonly { readonly service: string, readonly revision: number, readonly changeId: string }[]
  readonly pools: readonly { readonly pool: string, readonly settled: boolean, readonly waiting: number }[]
  readonly entry: { readonly waiting: number, readonly running: number }
  readonly leavingTargets: readonly string[]
}

export async function readStatus (daemon: daemonProcess.DaemonProcess): Promise<Status | undefined> {
  try {
    const response = await fetch(`http://${daemon.address}/v1/status`, { signal: AbortSignal.timeout(2_000) })
    return await response.json() as Status
  } catch {
    return undefined
  }
}

/** The daemon that hosts a pool, and another one. */
export async function findAuthority (scene: Scene, pool: string): Promise<{ readonly authority: daemonProcess.DaemonProcess, readonly other: daemonProcess.DaemonProcess }> {
  return await waitUntil.waitUntil(`${pool} has an authority`, LIMIT_MS, async () => {
    const daemons = scene.system.daemons()
    const statuses = await Promise.all(daemons.map(readStatus))
    const hosts = daemons.filter((_, index) => statuses[index]?.pools.some((one) => one.pool === pool && one.settled))
    const [authority] = hosts
    const other = daemons.find((daemon) => daemon !== authority)
    return hosts.length === 1 && authority !== undefined && other !== undefined ? { authority, other } : undefined
  })
}

/** All lines of the targets' logs about a request. */
export async function runsOf (scene: Scene, request: string): Promise<readonly collectRuns.LogLine[]> {
  const logs = await Promise.all(systemModule.loggedTargets(scene.system).map(collectRuns.readLog))
  return logs.flat().filter((line) => line.marker === request)
}

export async function awaitRun (scene: Scene, request: string): Promise<void> {
  await waitUntil.waitUntil(`${request} runs`, LIMIT_MS, async () => (await runsOf(scene, request)).length > 0 ? true : undefined)
}

/** Judges everything so far by every promise. */
export async function assertKept (scene: Scene): Promise<judge.Verdict> {
  const requests = new Map([...scene.requests, ...[...scene.traffic].flatMap((one) => [...one.requests])])
  const verdict = await judge.judge(scene.system, scene.recorder, requests, REFUSAL_LIMIT_MS)
  assert.equal(verdict.violations.slice(0, SHOWN_VIOLATIONS), [])
  return verdict
}

export function countOutcomes (results: readonly call.Result[]): string {
  const counts = new Map<string, number>()
  for (const { outcome, reason } of results) {
    const key = outcome === 'refused' ? `refused ${reason}` : outcome
    counts.set(key, (counts.get(key) ?? 0) + 1)
  }
  return [...counts].map(([key, count]) => `${count} ${key}`).join(', ')
}
