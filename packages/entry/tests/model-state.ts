/**
 * What the model keeps track of.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as index from '../src/index.js'

/** A call whose caller waits for its answer. */
export interface Call {
  readonly call: number
  readonly request: string
  readonly daemon: protocol.Incarnation
}

/** An ask that an authority received. */
export interface ReceivedSlotRequest {
  readonly entry: protocol.Incarnation
  readonly authority: protocol.Incarnation
  readonly slotRequest: protocol.Ask
}

/** A message on its way to an entry. */
export interface Message {
  readonly to: protocol.Incarnation
  readonly from: protocol.Incarnation
  readonly message: index.event.Received
}

/** A dispatch that has not ended. */
export interface Dispatch {
  readonly entry: protocol.Incarnation
  readonly request: number
  readonly run: number
  readonly reached: boolean
  readonly cancelled: boolean
}
