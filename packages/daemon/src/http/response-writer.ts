/**
 * Writes a recorded response to one caller's connection.
 *
 * @module
 */
import type * as http from 'node:http'
import * as backing from '@persimmonhatch/backing-services'
import * as protocol from '@persimmonhatch/protocol'
import type * as responseRecord from '../dispatch/response-record.js'
import * as localResponses from './local-responses.js'

/** Options of a writer. */
export interface Options {
  readonly response: http.ServerResponse
  readonly record: responseRecord.ResponseRecord
  /** Path and query of the request, for redirects. */
  readonly url: string
  /** Returns the addresses of other daemons, for refusals. */
  readonly addresses: () => readonly protocol.Address[]
}

function writeHead (response: http.ServerResponse, head: responseRecord.ResponseHead): void {
  for (const header of head.headers) response.appendHeader(header.name, header.value)
  response.setHeader(protocol.HEADERS.receipt, localResponses.encodeReceipt(head.receipt))
  response.setHeader(protocol.HEADERS.identity, head.receipt.identity)
  response.writeHead(head.status)
}

function waitForDrain (response: http.ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    response.once('drain', resolve)
    response.once('close', resolve)
  })
}

function writeLocalResponse (response: http.ServerResponse, localResponse: localResponses.LocalResponse): void {
  response.writeHead(localResponse.status, localResponse.headers)
  response.end(localResponse.body)
}

function writeRefusal (options: Options, refusal: responseRecord.Refusal): void {
  const { response } = options
  const localResponse = localResponses.refusalResponse(refusal, options.addresses())
  if (!response.headersSent) {
    writeLocalResponse(response, localResponse)
    return
  }
  const isEventStream = String(response.getHeader('content-type') ?? '').startsWith('text/event-stream')
  // The response was cut off: the connection must not end as if it were complete.
  if (isEventStream) response.write(`event: error\ndata: ${localResponse.body}\n\n`, () => response.destroy())
  else backing.cutResponse.cut(response)
}

/**
 * Writes the response up to its final step. Returns early when the caller disconnects.
 *
 * @example
 * ```ts
 * await writeResponse({ response, record, url: '/s/listings/v1/completions', addresses })
 * ```
 */
export async function writeResponse (options: Options): Promise<void> {
  const { response } = options
  for await (const step of options.record.read()) {
    if (response.destroyed) return
    switch (step.kind) {
      case 'head':
        writeHead(response, step.head)
        break
      case 'chunk':
        if (!response.write(step.bytes)) await waitForDrain(response)
        break
      case 'end':
        response.end()
        break
      case 'refused':
        writeRefusal(options, step.refusal)
        break
      case 'redirected':
        response.writeHead(307, { location: `http://${step.address}${options.url}`, 'content-type': 'application/json', [protocol.HEADERS.reason]: 'other-address' })
        response.end(localResponses.redirectBody(step.address))
        break
      case 'dropped':
        if (response.headersSent) backing.cutResponse.cut(response)
        else writeLocalResponse(response, localResponses.errorResponse('answer-not-held', {}))
        break
    }
  }
}
