/**
 * Checks the recorded history of a running system for violated guarantees.
 *
 * @module
 */
import * as history from '@persimmonhatch/history'
import type * as callModule from './call.js'
import * as collectRuns from './collect-runs.js'
import type * as recorderModule from './recorder.js'
import * as systemModule from './system.js'

/** Tolerance for times recorded by different processes, milliseconds. */
const TOLERANCE_MS = 100

/** Size of the range of run numbers of each target, so that the numbers of different targets differ. */
const RUN_NUMBERS_PER_TARGET = 1_000_000

/** The result of checking a history. */
export interface HistoryCheck {
  readonly violations: readonly history.history.Violation[]
  readonly facts: readonly history.history.Fact[]
  readonly runs: number
}

function targetsByService (system: systemModule.System): ReadonlyMap<string, readonly string[]> {
  return new Map(system.documents.map((serviceDocument) => [serviceDocument.service, serviceDocument.targets.map((target) => target.name)]))
}

/**
 * Adds the logs of the targets to the recorded facts and checks all of them. Histories with suspended
 * daemons need a longer limit for refusals.
 *
 * @example
 * ```ts
 * const historyCheck = await checkHistory(system, recorder, requests)
 * assert.equal(historyCheck.violations, [])
 * ```
 */
export async function checkHistory (system: systemModule.System, recorder: recorderModule.Recorder, requests: ReadonlyMap<string, callModule.Request>, refusalLimitMs: number = history.guarantees.EXACT.refusalLimitMs): Promise<HistoryCheck> {
  const targets = systemModule.loggedTargets(system)
  const logs = await Promise.all(targets.map(collectRuns.readLog))
  const runFacts = targets.flatMap((target, index) => [...collectRuns.runFacts(target, logs[index] ?? [], requests, index * RUN_NUMBERS_PER_TARGET)])
  const facts = [...recorder.facts(), ...runFacts].sort((left, right) => left.atMs - right.atMs)
  const violations = history.guarantees.findViolations({ facts, targets: targetsByService(system) }, { ...history.guarantees.EXACT, toleranceMs: TOLERANCE_MS, refusalLimitMs })
  return { violations, facts, runs: runFacts.filter((fact) => fact.kind === 'run-started').length }
}
