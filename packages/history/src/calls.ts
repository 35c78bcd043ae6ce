/**
 * Groups the facts of a history by call.
 *
 * @module
 */
import type * as history from './history.js'

/** How a call ended for its caller. */
export type CallOutcome = history.Answered | history.Refused | history.Redirected | history.Disconnected

/** One sending of a request, with everything that its caller observed of it. */
export interface Call {
  readonly sent: history.Sent
  readonly text: string
  /** Ordered by time; a correct system produces exactly one. */
  readonly outcomes: readonly CallOutcome[]
}

function append (call: Call | undefined, fact: history.Fact): Call | undefined {
  if (call === undefined) return undefined
  if (fact.kind === 'received') return { ...call, text: call.text + fact.text }
  if (fact.kind === 'answered' || fact.kind === 'refused' || fact.kind === 'redirected' || fact.kind === 'disconnected') {
    return { ...call, outcomes: [...call.outcomes, fact] }
  }
  return call
}

/**
 * Groups the facts that callers observed by call.
 *
 * @example
 * ```ts
 * calls(history)[0]?.outcomes // [{ kind: 'answered', atMs: 40, call: 1 }]
 * ```
 */
export function calls (recordedHistory: history.History): readonly Call[] {
  const byCall = new Map<number, Call>()
  for (const fact of recordedHistory.facts) {
    if (fact.kind === 'sent') byCall.set(fact.call, { sent: fact, text: '', outcomes: [] })
    if (!('call' in fact)) continue
    const call = append(byCall.get(fact.call), fact)
    if (call !== undefined) byCall.set(fact.call, call)
  }
  return [...byCall.values()]
}
