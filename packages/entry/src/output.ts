/**
 * Creates outputs that several handlers yield.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'

/** The outputs of a handler. */
export type Outputs = Generator<event.Output, void>

const NO_USAGE = { promptTokens: 0, cachedTokens: 0, answerTokens: 0, firstTokenMs: 0, totalMs: 0 }

/**
 * Creates a message to a peer.
 *
 * @example
 * ```ts
 * yield send(authority, { kind: 'round', round: 7 })
 * ```
 */
export function send (to: protocol.Incarnation, message: protocol.PeerMessage): event.Output {
  return { kind: 'send', outbound: { to, message } }
}

/**
 * Creates an output that adds 1 to a counter.
 *
 * @example
 * ```ts
 * yield count('entry.joins')
 * ```
 */
export function count (counter: string): event.Output {
  return { kind: 'count', counter, value: 1 }
}

/**
 * Creates the release of a slot on which nothing was dispatched.
 *
 * @example
 * ```ts
 * yield releaseUnused(authority, grant.ask)
 * ```
 */
export function releaseUnused (to: protocol.Incarnation, slotRequestId: number): event.Output {
  return send(to, { kind: 'release', ask: slotRequestId, outcome: 'unused', ...NO_USAGE })
}
