/**
 * Judges what callers and targets of a running system saw.
 *
 * @module
 */
import * as history from '@persimmonhatch/history'
import type * as callModule from './call.js'
import * as collectRuns from './collect-runs.js'
import type * as recorderModule from './recorder.js'
import * as systemModule from './system.js'

/** Moments that different processes record can be told apart this well, milliseconds. */
const TOLERANCE_MS = 100

/** Runs of one target are numbered from here on, so that numbers of targets differ. */
const RUNS_PER_TARGET = 1_000_000

/** What a history was found to be. */
export interface Verdict {
  readonly violations: readonly history.history.Violation[]
  readonly facts: readonly history.history.Fact[]
  readonly runs: number
}

function targetsByService (system: systemModule.System): ReadonlyMap<string, readonly string[]> {
  return new Map(system.documents.map((one) => [one.service, one.targets.map((target) => target.name)]))
}

/**
 * Adds what the targets logged to a recording and judges all of it. Histories with frozen daemons need
 * a longer limit for refusals.
 *
 * @example
 * ```ts
 * const verdict = await judge(system, recorder, requests)
 * assert.equal(verdict.violations, [])
 * ```
 */
export async function judge (system: systemModule.System, recorder: recorderModule.Recorder, requests: ReadonlyMap<string, callModule.Request>, refusalLimitMs: number = history.guarantees.EXACT.refusalLimitMs): Promise<Verdict> {
  const targets = systemModule.loggedTargets(system)
  const logs = await Promise.all(targets.map(collectRuns.readLog))
  const runFacts = targets.flatMap((target, index) => [...collectRuns.runFacts(target, logs[index] ?? [], requests, index * RUNS_PER_TARGET)])
  const facts = [...recorder.facts(), ...runFacts].sort((left, right) => left.atMs - right.atMs)
  const violations = history.guarantees.findViolations({ facts, targets: targetsByService(system) }, { ...history.guarantees.EXACT, toleranceMs: TOLERANCE_MS, refusalLimitMs })
  return { violations, facts, runs: runFacts.filter((fact) => fact.kind === 'run-started').length }
}
