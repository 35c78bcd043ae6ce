/**
 * Datagrams between daemons: JSON-RPC 2.0 notifications over UDP. Each report replaces the previous one, so a
 * lost one is not sent again, and an unresponsive peer blocks nobody.
 *
 * @module
 */
import * as dgram from 'node:dgram'
import * as jsonRpc from 'json-rpc-2.0'
import * as endpoint from './endpoint.js'
import * as peerMessages from './peer-messages.js'

const REPORT_METHOD = 'report'

/** Address and callbacks of the port. */
export interface Options {
  /** `host:port`. */
  readonly address: string
  readonly onReport: (report: peerMessages.Report) => void
  readonly countMalformed: () => void
}

/** The open port. */
export interface PeerPort {
  /** Sends a report to each address; returns the size of the message in bytes. */
  readonly send: (addresses: Iterable<string>, report: peerMessages.Report) => number
  readonly close: () => void
}

/**
 * Opens the port.
 *
 * @example
 * ```ts
 * const port = await openPeerPort({ address: '10.1.0.25:7600', onReport, countMalformed })
 * port.send(['10.2.0.17:7600'], report)
 * ```
 */
export async function openPeerPort (options: Options): Promise<PeerPort> {
  const socket = dgram.createSocket('udp4')
  const server = new jsonRpc.JSONRPCServer()
  server.addMethod(REPORT_METHOD, (params: unknown) => {
    const report = peerMessages.parseReport(params)
    if (report === undefined) options.countMalformed()
    else options.onReport(report)
  })
  socket.on('message', (bytes) => {
    try {
      server.receive(JSON.parse(bytes.toString('utf8')) as jsonRpc.JSONRPCRequest).then(undefined, options.countMalformed)
    } catch {
      options.countMalformed()
    }
  })
  // Sends to a peer that is down fail; such a peer is detected by its timeout, not by this error.
  socket.on('error', options.countMalformed)
  const { host, port } = endpoint.parseEndpoint(options.address)
  await new Promise<void>((resolve) => { socket.bind(port, host, resolve) })
  return {
    send: (addresses, report) => {
      const bytes = Buffer.from(JSON.stringify(jsonRpc.createJSONRPCNotification(REPORT_METHOD, peerMessages.toMessage(report))))
      for (const address of addresses) {
        const peer = endpoint.parseEndpoint(address)
        socket.send(bytes, peer.port, peer.host, (error) => { if (error !== null) options.countMalformed() })
      }
      return bytes.length
    },
    close: () => { socket.close() }
  }
}
