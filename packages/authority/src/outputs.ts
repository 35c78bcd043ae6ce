/**
 * Builds the outputs of an authority.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'

/** What a handler yields. */
export type Outputs = Generator<event.Output, void>

/** A message to an entry or to another authority. */
export function send (to: protocol.Incarnation, message: protocol.PeerMessage): event.Output {
  return { kind: 'send', outbound: { to, message } }
}

/** Adds to a counter. */
export function count (counter: string, value = 1): event.Output {
  return { kind: 'count', counter: `authority.${counter}`, value }
}

/** News for every daemon. */
export function disseminate (update: protocol.News): event.Output {
  return { kind: 'news', news: update }
}
