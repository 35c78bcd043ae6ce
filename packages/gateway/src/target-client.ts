/**
 * Sends requests to targets: each at most once, with one request in flight per connection.
 *
 * @module
 */
import type * as undici from 'undici'
import * as pathPools from './path-pools.js'
import type * as rawHeaders from './raw-headers.js'
import * as receivedBytes from './received-bytes.js'
import * as targetConnector from './target-connector.js'
import * as transports from './transports.js'

/** One request to a target. */
export interface TargetRequest {
  readonly address: string
  /** Endpoint of the peer that carries the connection; undefined for a direct one. */
  readonly via?: string | undefined
  readonly method: string
  readonly path: string
  readonly headers: rawHeaders.RawHeaders
  readonly body: Buffer | undefined
}

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number
  readonly headers: rawHeaders.RawHeaders
}

/**
 * `unreachable`: nothing was sent. `broken`: the request may have run. `path-lost`: it may have run, and the peer that carried the
 * connection is lost, which says nothing of the target.
 */
export type FailureKind = 'unreachable' | 'broken' | 'path-lost'

/** Callbacks of an exchange; none is called after `end`, `failed` or `abort`. */
export interface Listener {
  /** Called immediately before the first byte may be written. */
  readonly sent: () => void
  readonly head: (head: ResponseHead) => void
  readonly data: (chunk: Buffer) => void
  readonly end: () => void
  readonly failed: (kind: FailureKind, message: string) => void
}

/** A request in progress. */
export interface Exchange {
  /** Closes the connection, at which the target stops. */
  readonly abort: () => void
  /** Stops reading from the target. What has been read already may still be delivered, and with it the end. */
  readonly pause: () => void
  readonly resume: () => void
}

/** Connections to all targets. */
export interface TargetClients {
  readonly send: (request: TargetRequest, listener: Listener) => Exchange
  /** Returns whether a direct connection to an address can be opened. */
  readonly probe: (address: string) => Promise<boolean>
  /** Uses new direct connections to an address for later requests; those in progress keep theirs. */
  readonly renew: (address: string) => void
  /** Closes the pools of addresses, and of peers that carry connections, that are not in the sets. */
  readonly retain: (addresses: ReadonlySet<string>, peers: ReadonlySet<string>) => void
  readonly close: () => Promise<void>
}

/** Connection limit and counter. */
export interface Options {
  readonly connectionLimit: (address: string) => number
  readonly countConnection: (address: string) => void
}

/** Dispatches a request; one that can't be dispatched fails. */
function dispatch (pools: pathPools.PathPools, request: TargetRequest, handler: undici.Dispatcher.DispatchHandler, fail: (error: Error) => void): void {
  const { address, via, method, path, headers, body } = request
  try {
    pools.poolOf(address, via).dispatch({ method: method as undici.Dispatcher.HttpMethod, path, headers: headers as string[], body: body ?? null }, handler)
  } catch (error) {
    fail(error as Error)
  }
}

/**
 * Opens the clients of all targets. The caller must close them.
 *
 * @example
 * ```ts
 * const clients = openTargetClients({ connectionLimit: () => 8, countConnection: () => {} })
 * const exchange = clients.send({ address: '10.0.0.7:8080', method: 'GET', path: '/', headers: [], body: undefined }, listener)
 * ```
 */
export function openTargetClients (options: Options): TargetClients {
  const monitor = receivedBytes.openMonitor()
  const pools = pathPools.createPathPools({ ...options, watchers: [monitor.watch] })

  function send (request: TargetRequest, listener: Listener): Exchange {
    let controller: undici.Dispatcher.DispatchController | undefined
    let received: receivedBytes.ReceivedBytes | undefined
    let isFinished = false
    let isDispatched = false

    function finish (): void {
      isFinished = true
      // The connection may carry the next exchange.
      received?.connection()?.release()
      received?.end()
    }

    function fail (kind: FailureKind, message: string): void {
      if (isFinished) return
      finish()
      listener.failed(kind, message)
    }

    /** Reports a failure only after `send` has returned, so that its caller holds the exchange. */
    function failLater (error: Error): void {
      const sentKind = error instanceof transports.RelayLost ? 'path-lost' : 'broken'
      const failNow = (): void => { fail(controller === undefined ? 'unreachable' : sentKind, error.message) }
      if (isDispatched) failNow()
      else queueMicrotask(failNow)
    }

    const handler: undici.Dispatcher.DispatchHandler = {
      onRequestStart: (responseController) => {
        controller = responseController
        if (isFinished) {
          responseController.abort(new Error('The caller has left.'))
          return
        }
        received = monitor.begin((message) => {
          fail('broken', message)
          responseController.abort(new Error(message))
        })
        listener.sent()
      },
      onResponseStart: (responseController, status) => {
        if (isFinished || status < 200) return
        listener.head({ status, headers: toRawHeaders(responseController.rawHeaders) })
      },
      onResponseData: (_, chunk) => {
        received?.deliver(chunk.length)
        if (!isFinished) listener.data(chunk)
      },
      onResponseEnd: () => {
        if (isFinished) return
        finish()
        listener.end()
      },
      onResponseError: (_, error) => { failLater(error) }
    }
    dispatch(pools, request, handler, failLater)
    isDispatched = true
    return {
      abort: () => {
        finish()
        controller?.abort(new Error('The gateway ended the exchange.'))
      },
      // The client's own pause is not used: it doesn't expect a connection to end meanwhile.
      pause: () => { received?.connection()?.hold() },
      resume: () => { received?.connection()?.release() }
    }
  }

  return {
    send,
    probe: targetConnector.probeAddress,
    renew: pools.renew,
    retain: pools.retain,
    close: async () => {
      monitor.close()
      await pools.destroy()
    }
  }
}

function toRawHeaders (headers: unknown): rawHeaders.RawHeaders {
  if (!Array.isArray(headers)) return []
  return headers.map((header: Buffer | string) => typeof header === 'string' ? header : header.toString('latin1'))
}
