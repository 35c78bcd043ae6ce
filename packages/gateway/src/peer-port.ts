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
import type * as streamDirectory from './stream-directory.js'

const REPORT_METHOD = 'report'
const QUESTION_METHOD = 'find-stream'
const ANSWER_METHOD = 'stream'

/** Address and callbacks of the port. */
export interface Options {
  /** `host:port`. */
  readonly address: string
  readonly onReport: (report: peerMessages.Report) => void
  readonly onQuestion: (question: streamDirectory.StreamQuestion) => void
  readonly onAnswer: (answer: streamDirectory.StreamAnswer) => void
  readonly countMalformed: () => void
  /** Called when the handling of a message fails. */
  readonly onError: (message: string, error: unknown) => void
}

/** The open port. */
export interface PeerPort {
  /** Sends a report to each address; returns the size of the message in bytes. */
  readonly send: (addresses: Iterable<string>, report: peerMessages.Report) => number
  readonly ask: (addresses: Iterable<string>, question: streamDirectory.StreamQuestion) => void
  readonly answer: (address: string, answer: streamDirectory.StreamAnswer) => void
  readonly close: () => void
}

/**
 * Opens the port.
 *
 * @example
 * ```ts
 * const port = await openPeerPort({ address: '10.1.0.25:7600', onReport, onQuestion, onAnswer, countMalformed, onError })
 * port.send(['10.2.0.17:7600'], report)
 * ```
 */
export async function openPeerPort (options: Options): Promise<PeerPort> {
  const socket = dgram.createSocket('udp4')
  const server = new jsonRpc.JSONRPCServer({ errorListener: options.onError })
  const addNotification = <Params>(method: string, parse: (params: unknown) => Params | undefined, handle: (params: Params) => void): void => {
    server.addMethod(method, (params: unknown) => {
      const parsed = parse(params)
      if (parsed === undefined) options.countMalformed()
      else handle(parsed)
    })
  }
  addNotification(REPORT_METHOD, peerMessages.parseReport, options.onReport)
  addNotification(QUESTION_METHOD, peerMessages.parseStreamQuestion, options.onQuestion)
  addNotification(ANSWER_METHOD, peerMessages.parseStreamAnswer, options.onAnswer)
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
  await new Promise<void>((resolve, reject) => {
    socket.once('error', reject)
    socket.bind(port, host, () => {
      socket.off('error', reject)
      resolve()
    })
  })
  function notify (addresses: Iterable<string>, method: string, params: object): number {
    const bytes = Buffer.from(JSON.stringify(jsonRpc.createJSONRPCNotification(method, params)))
    for (const address of addresses) {
      const peer = endpoint.parseEndpoint(address)
      socket.send(bytes, peer.port, peer.host, (error) => { if (error !== null) options.countMalformed() })
    }
    return bytes.length
  }

  return {
    send: (addresses, report) => notify(addresses, REPORT_METHOD, peerMessages.toMessage(report)),
    ask: (addresses, question) => { notify(addresses, QUESTION_METHOD, question) },
    answer: (address, answer) => { notify([address], ANSWER_METHOD, answer) },
    close: () => { socket.close() }
  }
}
