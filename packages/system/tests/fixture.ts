/**
 * Fixture for tests of failures: a running system with callers, a fault injector and the recorded history.
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
import * as faultInjector from '../src/fault-injector.js'
import * as checkHistory from '../src/check-history.js'
import * as recorder from '../src/recorder.js'
import * as systemModule from '../src/system.js'
import * as trafficModule from '../src/traffic.js'
import * as waitUntil from '../src/wait-until.js'

const MAX_VIOLATIONS_SHOWN = 5

/** Short, so that the last calls of a test end soon, tokens. */
const MAX_ANSWER_TOKENS = 60

const SHORT_ANSWERS: load.mix.Mix = {
  ...load.mix.ATLASRENEW,
  kinds: load.mix.ATLASRENEW.kinds.map((kind) => ({
    ...kind,
    minAnswerTokens: Math.min(kind.minAnswerTokens, MAX_ANSWER_TOKENS),
    maxAnswerTokens: Math.min(kind.maxAnswerTokens, MAX_ANSWER_TOKENS)
  }))
}

/** Timeout of every wait, milliseconds. */
export const WAIT_TIMEOUT_MS = 40_000

/** Generous, because CI checks only that refusals come, not how fast, milliseconds. */
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

export interface Fixture {
  readonly system: systemModule.System
  readonly recorder: recorder.Recorder
  readonly callers: callers.Callers
  readonly faults: faultInjector.FaultInjector
  readonly requests: Map<string, call.Request>
  /** All traffic started so far. */
  readonly traffic: Set<trafficModule.Traffic>
}

export async function startFixture (options: Partial<systemModule.Options>): Promise<Fixture> {
  const system = await systemModule.startSystem({ deployment: await deployment.readDeployment('atlasrenew'), daemons: 3, seed: 21, ...options })
  const recording = recorder.createRecorder()
  return {
    system,
    recorder: recording,
    callers: callers.createCallers({ recorder: recording, daemons: system.daemons }),
    faults: faultInjector.createFaultInjector(system, recording),
    requests: new Map(),
    traffic: new Set()
  }
}

/** What has to be closed with a fixture. */
export interface ClosableFixture {
  readonly system: Pick<systemModule.System, 'close'>
  readonly callers: Pick<callers.Callers, 'close'>
  readonly traffic: Iterable<Pick<trafficModule.Traffic, 'stop'>>
}

/** Closes a fixture, and stops traffic that a failed test left running, which would keep the process alive. */
export async function closeFixture (fixture: ClosableFixture): Promise<void> {
  const stopped = [...fixture.traffic].map((each) => each.stop())
  await fixture.system.close()
  await Promise.all(stopped)
  await fixture.callers.close()
}

/** Wraps a test that gets its own system. */
export function withFixture (options: Partial<systemModule.Options>, test: (fixture: Fixture) => Promise<void>): () => Promise<void> {
  return async () => {
    const fixture = await startFixture(options)
    try {
      await test(fixture)
    } finally {
      await closeFixture(fixture)
    }
  }
}

export function wait (milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds))
}

/** Returns the request under the given name and registers it for the check of the history. */
export function registerRequest (fixture: Fixture, request: call.Request, name: string): call.Request {
  const renamed = { ...request, request: name }
  fixture.requests.set(name, renamed)
  return renamed
}

export function startTraffic (fixture: Fixture, namePrefix: string, requestsPerS: number): trafficModule.Traffic {
  const source = generator.xoroshiro128plus(namePrefix.length)
  const traffic = trafficModule.startTraffic({
    callers: fixture.callers,
    daemons: fixture.system.daemons,
    mix: SHORT_ANSWERS,
    random: () => distribution.uniformFloat64(source),
    requestsPerS,
    duplicateShare: 0.3,
    disconnectShare: 0.05,
    namePrefix,
    deadlineMs: WAIT_TIMEOUT_MS
  })
  fixture.traffic.add(traffic)
  return traffic
}

export function daemonAt (fixture: Fixture, index: number): daemonProcess.DaemonProcess {
  const daemon = fixture.system.daemons()[index]
  if (daemon === undefined) throw new Error(`There is no daemon ${index}.`)
  return daemon
}

export async function awaitDestination (fixture: Fixture, queriedDaemon: daemonProcess.DaemonProcess, service: string): Promise<callers.Destination> {
  return await waitUntil.waitUntil('an address is returned', WAIT_TIMEOUT_MS, () => fixture.callers.findDestination(queriedDaemon, service))
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

/** Waits until a pool has exactly one authority; returns that daemon and another one. */
export async function findAuthority (fixture: Fixture, pool: string): Promise<{ readonly authority: daemonProcess.DaemonProcess, readonly other: daemonProcess.DaemonProcess }> {
  return await waitUntil.waitUntil(`${pool} has an authority`, WAIT_TIMEOUT_MS, async () => {
    const daemons = fixture.system.daemons()
    const statuses = await Promise.all(daemons.map(readStatus))
    const authorities = daemons.filter((_, index) => statuses[index]?.pools.some((each) => each.pool === pool && each.settled))
    const [authority] = authorities
    const other = daemons.find((daemon) => daemon !== authority)
    return authorities.length === 1 && authority !== undefined && other !== undefined ? { authority, other } : undefined
  })
}

/** Reads the lines about a request from the logs of all targets. */
export async function readRuns (fixture: Fixture, request: string): Promise<readonly collectRuns.LogLine[]> {
  const logs = await Promise.all(systemModule.loggedTargets(fixture.system).map(collectRuns.readLog))
  return logs.flat().filter((line) => line.marker === request)
}

export async function awaitRun (fixture: Fixture, request: string): Promise<void> {
  await waitUntil.waitUntil(`${request} runs`, WAIT_TIMEOUT_MS, async () => (await readRuns(fixture, request)).length > 0 ? true : undefined)
}

/** Asserts that the history so far violates no guarantee. */
export async function assertNoViolations (fixture: Fixture): Promise<checkHistory.HistoryCheck> {
  const requests = new Map([...fixture.requests, ...[...fixture.traffic].flatMap((each) => [...each.requests])])
  const historyCheck = await checkHistory.checkHistory(fixture.system, fixture.recorder, requests, REFUSAL_LIMIT_MS)
  assert.equal(historyCheck.violations.slice(0, MAX_VIOLATIONS_SHOWN), [])
  return historyCheck
}

export function countOutcomes (results: readonly call.Result[]): string {
  const counts = new Map<string, number>()
  for (const { outcome, reason } of results) {
    const key = outcome === 'refused' ? `refused ${reason}` : outcome
    counts.set(key, (counts.get(key) ?? 0) + 1)
  }
  return [...counts].map(([key, count]) => `${count} ${key}`).join(', ')
}
