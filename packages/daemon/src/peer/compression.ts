/**
 * Compression of the messages between daemons.
 *
 * Messages on one connection repeat each other's names, so each is compressed against those before it
 * (RFC 7692). The window is small because a daemon keeps a connection to every other one.
 *
 * @module
 */
import type * as ws from 'ws'

const WINDOW_BITS = 12
const MEMORY_LEVEL = 4
const BUFFER_BYTES = 1_024
const FASTEST_LEVEL = 1

/** Settings of the `permessage-deflate` extension for connections between daemons. */
export const COMPRESSION: ws.PerMessageDeflateOptions = {
  threshold: 0,
  serverMaxWindowBits: WINDOW_BITS,
  clientMaxWindowBits: WINDOW_BITS,
  zlibDeflateOptions: { level: FASTEST_LEVEL, memLevel: MEMORY_LEVEL, chunkSize: BUFFER_BYTES },
  zlibInflateOptions: { chunkSize: BUFFER_BYTES }
}
