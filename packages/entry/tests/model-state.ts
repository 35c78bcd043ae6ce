/**
 * Records that the model keeps.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as index from '../src/index.js'

/** A call whose caller waits for the response. */
export interface Call {
  readonly call: number
  readonly request: string
  readonly daemon: protocol.Incarnation
}

/** A slot request that an authority received. */
export interface ReceivedSlotRequest {
  readonly entry: protocol.Incarnation
  readonly authority: protocol.Incarnation
  readonly slotRequest: protocol.SlotRequest
}

/** A message in transit to an entry. */
export interface Message {
  readonly to: protocol.Incarnation
  readonly from: protocol.Incarnation
  readonly message: index.event.ReceivedMessage
}

/** A dispatch that has not ended. */
export interface Dispatch {
  readonly entry: protocol.Incarnation
  readonly request: number
  readonly run: number
  readonly reached: boolean
  readonly cancelled: boolean
}
