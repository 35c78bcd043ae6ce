/**
 * Bytes that a message between daemons takes on the network.
 *
 * text of the JSON-RPC notification + WebSocket frame header (RFC 6455, section 5.2; 4 bytes of mask
 * counted on every frame) + 52 bytes of IPv4, TCP and timestamp headers (RFC 791, 9293, 7323) for each
 * segment of 1,448 bytes + one acknowledgement of 52 bytes that carries nothing else. Real traffic
 * sends fewer acknowledgements (RFC 9293, section 3.8.6.3), so the figure is an upper bound.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

const SEGMENT_BYTES = 1_448
const HEADER_BYTES = 52
const MASK_BYTES = 4
const SHORT_FRAME_BYTES = 125
const MEDIUM_FRAME_BYTES = 65_535

/**
 * The text of the JSON-RPC notification that carries a message.
 *
 * @example
 * ```ts
 * notificationText({ kind: 'round', round: 7 }).length // 54
 * ```
 */
export function notificationText (message: protocol.PeerMessage): string {
  const { kind, ...params } = message
  return JSON.stringify({ jsonrpc: '2.0', method: kind, params })
}

function frameHeaderBytes (payloadBytes: number): number {
  if (payloadBytes <= SHORT_FRAME_BYTES) return 2 + MASK_BYTES
  return payloadBytes <= MEDIUM_FRAME_BYTES ? 4 + MASK_BYTES : 10 + MASK_BYTES
}

/**
 * Bytes on the network of one frame with its headers and acknowledgement.
 *
 * @example
 * ```ts
 * networkBytes(54) // 164
 * ```
 */
export function networkBytes (payloadBytes: number): number {
  const frameBytes = payloadBytes + frameHeaderBytes(payloadBytes)
  return frameBytes + Math.ceil(frameBytes / SEGMENT_BYTES) * HEADER_BYTES + HEADER_BYTES
}

/**
 * Bytes on the network of one message.
 *
 * @example
 * ```ts
 * messageBytes({ kind: 'round', round: 7 }) // 164
 * ```
 */
export function messageBytes (message: protocol.PeerMessage): number {
  return networkBytes(Buffer.byteLength(notificationText(message)))
}
