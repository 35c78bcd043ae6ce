/**
 * Checks that a refused request receives its final outcome at once.
 *
 * The time of a decision can't be observed from outside, so this checks what bounds it: refusals that are
 * decided on arrival, resends after a refusal, and deadlines.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as calls from './calls.js'
import type * as history from './history.js'
import * as runs from './runs.js'

const GUARANTEE = 'prompt-refusal'

/** Refusal reasons that are known when a request arrives. */
const ADMISSION_REASONS: ReadonlySet<protocol.Reason> = new Set([
  'malformed-request', 'identity-required', 'identity-malformed', 'identity-reused', 'identity-expired',
  'outcome-unknown', 'unsupported-transfer', 'body-too-large', 'draining'
])

/** Maximum time from a decision to the refusal, for histories with an exact clock, milliseconds. */
export const DEFAULT_LIMIT_MS = 250

/** Returns the latest time at which the refusal can have been decided, as far as callers can observe it; `Infinity` if unknown. */
function latestDecisionMs (call: calls.Call, refused: history.Refused, firstRefusedMs: number): number {
  if (ADMISSION_REASONS.has(refused.reason)) return call.sent.atMs
  if (firstRefusedMs < refused.atMs) return Math.max(call.sent.atMs, firstRefusedMs)
  return Infinity
}

function decisionKey (call: calls.Call, refused: history.Refused): string {
  return `${call.sent.request} ${refused.reason}`
}

/** Finds the time of the first refusal of each request and reason; later ones repeat the same decision. */
function findFirstRefusals (allCalls: readonly calls.Call[]): ReadonlyMap<string, number> {
  const first = new Map<string, number>()
  for (const call of allCalls) {
    for (const outcome of call.outcomes) {
      if (outcome.kind !== 'refused') continue
      const key = decisionKey(call, outcome)
      first.set(key, Math.min(first.get(key) ?? Infinity, outcome.atMs))
    }
  }
  return first
}

function findDelayed (allCalls: readonly calls.Call[], limitMs: number): readonly history.Violation[] {
  const first = findFirstRefusals(allCalls)
  return allCalls.flatMap((call) => call.outcomes.flatMap((outcome) => {
    if (outcome.kind !== 'refused') return []
    const decidedAtMs = latestDecisionMs(call, outcome, first.get(decisionKey(call, outcome)) ?? Infinity)
    if (outcome.atMs - decidedAtMs <= limitMs) return []
    return [{ guarantee: GUARANTEE, atMs: outcome.atMs, message: `${call.sent.request} was refused (${outcome.reason}) ${outcome.atMs - decidedAtMs} ms after that was decided` }]
  }))
}

/** Finds requests that no target received and that were not refused at their deadline, which the first call sets. */
function findOverdue (allCalls: readonly calls.Call[], started: ReadonlySet<string>, limitMs: number): readonly history.Violation[] {
  return allCalls.flatMap(({ sent, outcomes }) => {
    if (sent.deadlineMs === undefined || started.has(sent.request)) return []
    const dueAtMs = sent.atMs + sent.deadlineMs + limitMs
    const outcomeAtMs = outcomes[0]?.atMs ?? Infinity
    return outcomeAtMs <= dueAtMs ? [] : [{ guarantee: GUARANTEE, atMs: dueAtMs, message: `${sent.request} had no final outcome ${limitMs} ms after its deadline` }]
  })
}

/**
 * Creates the check for histories in which a refusal may reach its caller up to a limit after the decision.
 *
 * @example
 * ```ts
 * createPromptRefusal(500)(history) // [] when the guarantee holds
 * ```
 */
export function createPromptRefusal (limitMs: number): history.GuaranteeCheck {
  return (recordedHistory) => {
    const allCalls = calls.calls(recordedHistory)
    return [...findDelayed(allCalls, limitMs), ...findOverdue(allCalls, new Set(runs.runsByRequest(recordedHistory).keys()), limitMs)]
  }
}

/**
 * Finds delayed refusals in histories with an exact clock.
 *
 * @example
 * ```ts
 * promptRefusal(history) // [] when the guarantee holds
 * ```
 */
export const promptRefusal: history.GuaranteeCheck = createPromptRefusal(DEFAULT_LIMIT_MS)
