/**
 * Streams of targets that are silent for a while, and what their callers receive.
 */
import type * as http from 'node:http'
import type * as routing from '@persimmonhatch/routing'
import * as fixtureModule from './fixture.js'

/** Longer than the time after which a target is stalled, ms. */
export const SILENCE_MS = 1_400

const EVENTS = 4

/** A target that can't be reached. */
export const EXTRA = { id: 'i-9', service: 'stock', address: '127.0.0.1:9', availabilityZone: 'casa-a', version: 'v1', slots: 6, leaving: false }

/** Sends the events after the last one that the request names; the target `silent` pauses once before the third. */
export function streamFrom (arrival: fixtureModule.Arrival, response: http.ServerResponse, isSilent: boolean): void {
  fixtureModule.beginStream(arrival, response)
  let id = Number(arrival.headers['last-event-id'] ?? 0)
  const next = (): void => {
    id += 1
    if (id > EVENTS) {
      response.end()
      return
    }
    response.write(`id: ${id}\ndata: ${arrival.target}\n\n`)
    setTimeout(next, isSilent && id === 2 ? SILENCE_MS : 10)
  }
  next()
}

export function isWhole ({ isComplete, body }: fixtureModule.Reply): boolean {
  return isComplete && [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id)).join() === '1,2,3,4'
}

export const LONG = { headers: { 'remaining-ms': '9000' } }
export const DOCUMENT: routing.document.RoutingDocument = {
  ...fixtureModule.DOCUMENT,
  routes: fixtureModule.DOCUMENT.routes.map((route) => ({ ...route, timeoutMs: 9_000, attempts: 3 }))
}
