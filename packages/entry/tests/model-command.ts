/**
 * Commands that a run of the model consists of.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as index from '../src/index.js'

/** One command. Numbers choose among the items that exist when it is performed. */
export type Command =
  | { readonly kind: 'send', readonly request: number, readonly toOtherEntry: boolean }
  | { readonly kind: 'caller-gone', readonly call: number }
  | { readonly kind: 'grant', readonly slotRequest: number, readonly fromOtherAuthority: boolean, readonly target: number, readonly inLatestRound: boolean, readonly isImmediate: boolean }
  | { readonly kind: 'refusal', readonly slotRequest: number, readonly reason: protocol.Reason }
  | { readonly kind: 'revocation', readonly slotRequest: number, readonly cause: protocol.Revocation['cause'] }
  | { readonly kind: 'deliver', readonly message: number, readonly willRepeat: boolean, readonly reachable: boolean }
  | { readonly kind: 'lose', readonly message: number }
  | { readonly kind: 'end', readonly dispatch: number, readonly outcome: index.event.DispatchEnd['outcome'] }
  | { readonly kind: 'authority', readonly entry: number, readonly authority: number, readonly reconnected: boolean }
  | { readonly kind: 'collect', readonly entry: number, readonly authority: number }
  | { readonly kind: 'pause' | 'crash' | 'drain', readonly entry: number }
  | { readonly kind: 'resume', readonly entry: number, readonly isNotified: boolean }
  | { readonly kind: 'leaving', readonly target: number }
  | { readonly kind: 'documents', readonly entry: number, readonly variant: number }
  | { readonly kind: 'heartbeat', readonly entry: number, readonly by: number }
  | { readonly kind: 'wait', readonly durationMs: number }
