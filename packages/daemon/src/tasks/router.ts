/**
 * Routes messages from other daemons, and from this daemon to itself, to the tasks that handle them.
 *
 * @module
 */
import type * as authority from '@persimmonhatch/authority'
import type * as entry from '@persimmonhatch/entry'
import type * as membership from '@persimmonhatch/membership'
import type * as protocol from '@persimmonhatch/protocol'

/** Handlers of the tasks. */
export interface MessageHandlers {
  readonly authority: (from: protocol.Incarnation, message: authority.event.ReceivedMessage) => void
  readonly entry: (from: protocol.Incarnation, message: entry.event.ReceivedMessage) => void
  readonly membership: (from: protocol.Incarnation, message: membership.event.ReceivedMessage) => void
  readonly documents: (from: protocol.Incarnation, message: protocol.DocumentRequest | protocol.DocumentCopy) => void
}

/** The task that handles each kind of message. */
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

/** Passes one message to its handler. */
export type Route = (from: protocol.Incarnation, message: protocol.PeerMessage) => void

/**
 * Creates the router.
 *
 * @example
 * ```ts
 * const route = createRoute(handlers)
 * route(from, { kind: 'round', round: 7 })
 * ```
 */
export function createRoute (handlers: MessageHandlers): Route {
  return (from, message) => {
    const handle = handlers[HANDLER_OF_KIND[message.kind]] as Route
    handle(from, message)
  }
}
