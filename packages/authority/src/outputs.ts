/**
 * Builds the outputs of an authority.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'

/** Outputs that a handler yields. */
export type Outputs = Generator<event.Output, void>

/** Returns an output that sends a message to an entry or to another authority. */
export function send (to: protocol.Incarnation, message: protocol.PeerMessage): event.Output {
  return { kind: 'send', outbound: { to, message } }
}

/** Returns an output that adds to a counter. */
export function count (counter: string, value = 1): event.Output {
  return { kind: 'count', counter: `authority.${counter}`, value }
}

/** Returns an output that disseminates an update to every daemon. */
export function disseminate (update: protocol.Update): event.Output {
  return { kind: 'update', update }
}
