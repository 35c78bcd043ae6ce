/**
 * Hands messages from other daemons, and from this daemon to itself, to the tasks they are for.
 *
 * @module
 */
import type * as authority from '@persimmonhatch/authority'
import type * as entry from '@persimmonhatch/entry'
import type * as membership from '@persimmonhatch/membership'
import type * as protocol from '@persimmonhatch/protocol'

/** Where messages go. */
export interface MessageHandlers {
  readonly authority: (from: protocol.Incarnation, message: authority.event.Received) => void
  readonly entry: (from: protocol.Incarnation, message: entry.event.Received) => void
  readonly membership: (from: protocol.Incarnation, message: membership.event.Received) => void
  readonly documents: (from: protocol.Incarnation, message: protocol.DocumentRequest | protocol.DocumentCopy) => void
}

/** The task that each kind of message is for. */
const HANDLER_OF_KIND: Readonly<Record<protocol.PeerMessage['kind'], keyof MessageHandlers>> = {
  ask: 'authority',
  withdraw: 'authority',
  round: 'authority',
  release: 'authority',
  holdings: 'authority',
  floor: 'authority',
  'floor-reached': 'authority',
  grant: 'entry',
  refusal: 'entry',
  revocation: 'entry',
  collect: 'entry',
  probe: 'membership',
  ack: 'membership',
  'indirect-probe': 'membership',
  'indirect-ack': 'membership',
  'document-request': 'documents',
  'document-copy': 'documents'
}

/** Delivers one message. */
export type Route = (from: protocol.Incarnation, message: protocol.PeerMessage) => void

/**
 * Creates the routing.
 *
 * @example
 * ```ts
 * const route = createRoute(receivers)
 * route(from, { kind: 'round', round: 7 })
 * ```
 */
export function createRoute (handlers: MessageHandlers): Route {
  return (from, message) => {
    const handle = handlers[HANDLER_OF_KIND[message.kind]] as Route
    handle(from, message)
  }
}
