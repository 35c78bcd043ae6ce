/**
 * Writes the response of one request to its caller.
 *
 * @module
 */
import type * as http from 'node:http'
import * as backing from '@persimmonhatch/backing-services'
import type * as contextModule from './context.js'
import * as rawHeaders from './raw-headers.js'
import type * as streamEvents from './stream-events.js'
import type * as targetClient from './target-client.js'

/** Dependencies of the response. */
export type Dependencies = Pick<contextModule.Context, 'headerNames' | 'stopping'>

/**
 * The response of one request.
 *
 * @example
 * ```ts
 * const response = new CallerResponse(context, outgoing)
 * if (!response.forward(head, events)) exchange.pause()
 * ```
 */
export class CallerResponse {
  constructor (private readonly dependencies: Dependencies, private readonly outgoing: http.ServerResponse) {}

  /** Whether the head has been written. */
  get hasBegun (): boolean {
    return this.outgoing.headersSent
  }

  /** Whether the caller reads too slowly. */
  get isBlocked (): boolean {
    return this.outgoing.writableNeedDrain
  }

  /** Forwards events, after the head if it has not been written; returns false if the caller reads too slowly, until `drain` of the outgoing response. */
  forward (head: targetClient.ResponseHead, events: readonly streamEvents.StreamEvent[]): boolean {
    const { outgoing } = this
    this.begin(head)
    return outgoing.write(events.length === 1 ? events[0]?.bytes : Buffer.concat(events.map((event) => event.bytes)))
  }

  /** Forwards a complete response. */
  forwardWhole (head: targetClient.ResponseHead, body: Buffer): void {
    this.write(head.status, [...this.forwardedHeaders(head), 'Content-Length', String(body.length)], body)
  }

  /** Writes a complete response. */
  write (status: number, headers: readonly string[], body: Buffer): void {
    this.writeHead(status, headers)
    this.outgoing.end(body)
  }

  /** Ends a response whose events, if there are any, have been forwarded. */
  endStream (head: targetClient.ResponseHead): void {
    this.begin(head)
    this.outgoing.end()
  }

  /** Closes the connection, so that the response looks incomplete. */
  cut (): void {
    backing.cutResponse.cut(this.outgoing)
  }

  private begin (head: targetClient.ResponseHead): void {
    if (!this.hasBegun) this.writeHead(head.status, this.forwardedHeaders(head))
  }

  private forwardedHeaders (head: targetClient.ResponseHead): readonly string[] {
    const { load, endToEnd } = this.dependencies.headerNames
    return rawHeaders.withoutHeaders(head.headers, { dropped: new Set([load, 'content-length']), endToEnd })
  }

  private writeHead (status: number, headers: readonly string[]): void {
    this.outgoing.writeHead(status, [...headers, ...(this.dependencies.stopping() ? ['Connection', 'close'] : [])])
  }
}
