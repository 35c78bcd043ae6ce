/**
 * Creates facts of a history for tests.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as index from '../src/index.js'

type Fact = index.history.Fact

const SENT: index.history.Sent = {
  kind: 'sent', atMs: 0, call: 1, request: 'a', service: 's', rank: 0, nonIdempotent: false, daemon: 'd', deadlineMs: undefined
}

export function sent (atMs: number, call: number, change: Partial<index.history.Sent> = {}): Fact {
  return { ...SENT, atMs, call, ...change }
}

export function received (atMs: number, call: number, text: string): Fact {
  return { kind: 'received', atMs, call, text }
}

export function answered (atMs: number, call: number): Fact {
  return { kind: 'answered', atMs, call }
}

export function refused (atMs: number, call: number, reason: protocol.Reason, execution: protocol.Execution): Fact {
  return { kind: 'refused', atMs, call, reason, execution }
}

export function disconnected (atMs: number, call: number, by: 'caller' | 'daemon'): Fact {
  return { kind: 'disconnected', atMs, call, by }
}

export function started (atMs: number, run: number, change: Partial<index.history.RunStarted> = {}): Fact {
  return { kind: 'run-started', atMs, run, target: 't', request: 'a', service: 's', rank: 0, nonIdempotent: false, ...change }
}

export function ended (atMs: number, run: number, outcome: index.history.RunEnded['outcome'], answer = ''): Fact {
  return { kind: 'run-ended', atMs, run, outcome, answer }
}

export function accepted (atMs: number, revision: number, change = `c${revision}`): Fact {
  return { kind: 'document-accepted', atMs, service: 's', revision, change }
}

export function observed (atMs: number, revision: number, daemon = 'd'): Fact {
  return { kind: 'document-observed', atMs, service: 's', revision, daemon }
}

export function reported (atMs: number, change: string, isAccepted: boolean): Fact {
  return { kind: 'change-reported', atMs, service: 's', change, accepted: isAccepted }
}

/** Creates a history of one service with one target. */
export function createHistory (facts: readonly Fact[]): index.history.History {
  return { facts, targets: new Map([['s', ['t']]]) }
}
