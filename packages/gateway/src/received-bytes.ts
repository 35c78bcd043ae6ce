/**
 * Finds exchanges whose target sends bytes that belong to no response: interim responses, reason phrases or chunk
 * sizes without end, which the HTTP client reads and discards.
 *
 * @module
 */
import * as diagnosticsChannel from 'node:diagnostics_channel'
import type * as net from 'node:net'

/** Maximum number of bytes of an exchange beyond those of its response's body, and beyond as many again. */
const MAX_DISCARDED_BYTES = 1_048_576

/** Interval at which received bytes are compared with delivered ones, ms. */
const CHECK_INTERVAL_MS = 250

const SEND_HEADERS_CHANNEL = 'undici:client:sendHeaders'

/** Bytes of one exchange. */
export interface ReceivedBytes {
  /** Counts bytes of the response's body. */
  readonly deliver: (bytes: number) => void
  readonly end: () => void
}

/** The exchanges in progress. */
export interface Monitor {
  /** Starts to watch an exchange; must be called immediately before the client writes its request. */
  readonly begin: (onExcess: (message: string) => void) => ReceivedBytes
  readonly close: () => void
}

/** One exchange, and the connection that it uses. */
class Exchange implements ReceivedBytes {
  private socket: net.Socket | undefined
  private receivedBefore = 0
  private delivered = 0

  constructor (readonly onExcess: (message: string) => void, private readonly onEnd: (exchange: Exchange) => void) {}

  use (socket: net.Socket): void {
    this.socket = socket
    this.receivedBefore = socket.bytesRead
  }

  deliver (bytes: number): void {
    this.delivered += bytes
  }

  end (): void {
    this.onEnd(this)
  }

  check (): void {
    const discarded = (this.socket?.bytesRead ?? 0) - this.receivedBefore - this.delivered
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
  const exchanges = new Set<Exchange>()
  let starting: Exchange | undefined

  // The client publishes the connection of a request while it writes the request.
  const onSendHeaders = (message: unknown): void => {
    starting?.use((message as { readonly socket: net.Socket }).socket)
    starting = undefined
  }

  function begin (onExcess: (message: string) => void): ReceivedBytes {
    const exchange = new Exchange(onExcess, (ended) => { exchanges.delete(ended) })
    exchanges.add(exchange)
    starting = exchange
    // A request that is not written at once must not get the connection of another.
    queueMicrotask(() => { if (starting === exchange) starting = undefined })
    return exchange
  }

  diagnosticsChannel.subscribe(SEND_HEADERS_CHANNEL, onSendHeaders)
  const timer = setInterval(() => { for (const exchange of [...exchanges]) exchange.check() }, CHECK_INTERVAL_MS)
  timer.unref()
  return {
    begin,
    close: () => {
      clearInterval(timer)
      diagnosticsChannel.unsubscribe(SEND_HEADERS_CHANNEL, onSendHeaders)
    }
  }
}
