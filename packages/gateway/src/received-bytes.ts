/**
 * Finds exchanges whose target sends bytes that belong to no response: interim responses, reason phrases or chunk
 * sizes without end, which the HTTP client reads and discards.
 *
 * @module
 */
import * as diagnosticsChannel from 'node:diagnostics_channel'
import type * as backing from '@persimmonhatch/backing-services'

/** Maximum number of bytes of an exchange beyond those of its response's body, and beyond as many again. */
const MAX_DISCARDED_BYTES = 1_048_576

const SEND_HEADERS_CHANNEL = 'undici:client:sendHeaders'

/** Bytes of one exchange. */
export interface ReceivedBytes {
  /** Counts bytes of the response's body. */
  readonly deliver: (bytes: number) => void
  /** Returns the connection; undefined before the request is written and after the end. */
  readonly connection: () => backing.connection.Connection | undefined
  readonly end: () => void
}

/** The exchanges in progress. */
export interface Monitor {
  /** Watches a connection. */
  readonly watch: (connection: backing.connection.Connection) => void
  /** Starts to watch an exchange; must be called immediately before the client writes its request. */
  readonly begin: (onExcess: (message: string) => void) => ReceivedBytes
  readonly close: () => void
}

/** One exchange, and the connection that it uses. */
class Exchange implements ReceivedBytes {
  private socket: backing.connection.Connection | undefined
  private receivedBefore = 0
  private delivered = 0

  constructor (private readonly onExcess: (message: string) => void) {}

  use (socket: backing.connection.Connection): void {
    this.socket = socket
    this.receivedBefore = socket.bytesRead
  }

  deliver (bytes: number): void {
    this.delivered += bytes
  }

  connection (): backing.connection.Connection | undefined {
    return this.socket
  }

  end (): void {
    this.socket = undefined
  }

  check (): void {
    if (this.socket === undefined) return
    const discarded = this.socket.bytesRead - this.receivedBefore - this.delivered
    if (discarded > MAX_DISCARDED_BYTES + this.delivered) this.onExcess(`the target sent ${discarded} bytes that belong to no response`)
  }
}

/**
 * Opens a monitor. The caller must close it.
 *
 * @example
 * ```ts
 * const received = monitor.begin((message) => abort(message))
 * received.deliver(chunk.length)
 * received.end()
 * ```
 */
export function openMonitor (): Monitor {
  const exchanges = new WeakMap<backing.connection.Connection, Exchange>()
  let starting: Exchange | undefined

  // The client publishes the connection of a request while it writes the request.
  const onSendHeaders = (message: unknown): void => {
    const { socket } = message as { readonly socket: backing.connection.Connection }
    if (starting === undefined) return
    starting.use(socket)
    exchanges.set(socket, starting)
    starting = undefined
  }

  function begin (onExcess: (message: string) => void): ReceivedBytes {
    const exchange = new Exchange(onExcess)
    starting = exchange
    // A request that is not written at once must not get the connection of another.
    queueMicrotask(() => { if (starting === exchange) starting = undefined })
    return exchange
  }

  diagnosticsChannel.subscribe(SEND_HEADERS_CHANNEL, onSendHeaders)
  return {
    watch: (socket) => { socket.on('readable', () => { exchanges.get(socket)?.check() }) },
    begin,
    close: () => { diagnosticsChannel.unsubscribe(SEND_HEADERS_CHANNEL, onSendHeaders) }
  }
}
