/**
 * Writes a recorded answer to one caller's connection.
 *
 * @module
 */
import type * as http from 'node:http'
import * as protocol from '@persimmonhatch/protocol'
import type * as answerRecord from '../dispatch/answer-record.js'
import * as refusalBody from './refusal-body.js'

/** What a writer needs of its surroundings. */
export interface Options {
  readonly response: http.ServerResponse
  readonly record: answerRecord.AnswerRecord
  /** Path and query of the request, for redirects. */
  readonly url: string
  /** Identity to tell the caller when the answer carries none. */
  readonly addresses: () => readonly protocol.Address[]
}

function writeHead (response: http.ServerResponse, head: answerRecord.Head): void {
  for (const header of head.headers) response.appendHeader(header.name, header.value)
  response.setHeader(protocol.HEADERS.receipt, refusalBody.encodeReceipt(head.receipt))
  response.setHeader(protocol.HEADERS.identity, head.receipt.identity)
  response.writeHead(head.status)
}

function drained (response: http.ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    response.once('drain', resolve)
    response.once('close', resolve)
  })
}

function writeReply (response: http.ServerResponse, reply: refusalBody.Reply): void {
  response.writeHead(reply.status, reply.headers)
  response.end(reply.body)
}

function writeRefusal (options: Options, refusal: answerRecord.Refusal): void {
  const { response } = options
  const reply = refusalBody.refusalBody(refusal, options.addresses())
  if (!response.headersSent) {
    writeReply(response, reply)
    return
  }
  const eventStream = String(response.getHeader('content-type') ?? '').startsWith('text/event-stream')
  // The answer is cut: the connection must not end in a way that looks whole.
  if (eventStream) response.write(`event: error\ndata: ${reply.body}\n\n`, () => response.destroy())
  else response.destroy()
}

/**
 * Writes until the answer's final step. Returns early when the caller goes away.
 *
 * @example
 * ```ts
 * await writeAnswer({ response, record, url: '/s/listings/v1/completions', addresses })
 * ```
 */
export async function writeAnswer (options: Options): Promise<void> {
  const { response } = options
  for await (const step of options.record.read()) {
    if (response.destroyed) return
    switch (step.kind) {
      case 'head':
        writeHead(response, step.head)
        break
      case 'chunk':
        if (!response.write(step.bytes)) await drained(response)
        break
      case 'end':
        response.end()
        break
      case 'refused':
        writeRefusal(options, step.refusal)
        break
      case 'redirected':
        response.writeHead(307, { location: `http://${step.address}${options.url}`, 'content-type': 'application/json', [protocol.HEADERS.reason]: 'other-address' })
        response.end(refusalBody.redirectBody(step.address))
        break
      case 'dropped':
        if (response.headersSent) response.destroy()
        else writeReply(response, refusalBody.plainReply('answer-not-held', {}))
        break
    }
  }
}
