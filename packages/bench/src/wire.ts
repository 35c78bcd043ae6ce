/**
 * Network bytes of a message between daemons.
 *
 * Text of the JSON-RPC notification + WebSocket frame header (RFC 6455, section 5.2; a masking key of 4 bytes is
 * counted on every frame) + 52 bytes of IPv4, TCP and timestamp headers (RFC 791, 9293, 7323) for each segment of
 * 1,448 bytes + one pure acknowledgement of 52 bytes. Real traffic sends fewer acknowledgements (RFC 9293, section
 * 3.8.6.3), so the figure is an upper bound.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

const MAX_SEGMENT_PAYLOAD_BYTES = 1_448
const SEGMENT_HEADER_BYTES = 52
const MASKING_KEY_BYTES = 4
const MAX_SHORT_PAYLOAD_BYTES = 125
const MAX_MEDIUM_PAYLOAD_BYTES = 65_535

/**
 * Serializes a message as a JSON-RPC notification.
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
  if (payloadBytes <= MAX_SHORT_PAYLOAD_BYTES) return 2 + MASKING_KEY_BYTES
  return payloadBytes <= MAX_MEDIUM_PAYLOAD_BYTES ? 4 + MASKING_KEY_BYTES : 10 + MASKING_KEY_BYTES
}

/**
 * Returns the network bytes of one frame, including its headers and acknowledgement.
 *
 * @example
 * ```ts
 * networkBytes(54) // 164
 * ```
 */
export function networkBytes (payloadBytes: number): number {
  const frameBytes = payloadBytes + frameHeaderBytes(payloadBytes)
  return frameBytes + Math.ceil(frameBytes / MAX_SEGMENT_PAYLOAD_BYTES) * SEGMENT_HEADER_BYTES + SEGMENT_HEADER_BYTES
}

/**
 * Returns the network bytes of one message.
 *
 * @example
 * ```ts
 * messageBytes({ kind: 'round', round: 7 }) // 164
 * ```
 */
export function messageBytes (message: protocol.PeerMessage): number {
  return networkBytes(Buffer.byteLength(notificationText(message)))
}
