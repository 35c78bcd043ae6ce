/**
 * Fixture: a gateway in front of scripted targets, on loopback.
 */
import * as dgram from 'node:dgram'
import * as http from 'node:http'
import * as net from 'node:net'
import * as gatewayPackage from '@persimmonhatch/gateway'
import type * as routing from '@persimmonhatch/routing'

export const HEADER_NAMES: gatewayPackage.headerNames.HeaderNames = {
  requestId: 'request-id',
  remainingMs: 'remaining-ms',
  lastEventId: 'last-event-id',
  resumes: 'resumes',
  key: 'key',
  organisation: 'organisation',
  expectedTarget: 'expected-target',
  proof: 'proof',
  notRun: 'not-run',
  load: 'load',
  requestLimit: 'request-limit',
  brittle: 'brittle',
  leaving: 'leaving',
  tokens: 'tokens',
  lengthHint: 'length-hint',
  promptParts: 'prompt-parts',
  endToEnd: new Set(['host', 'content-type', 'request-id', 'proof', 'model']),
  reserved: new Set(['pin'])
}

const ROUTE: routing.document.Route = {
  name: 'read',
  host: 'shop.example',
  prefix: '/read/',
  kind: 'idempotent',
  resumable: false,
  timeoutMs: 1_500,
  targetLatencyMs: 1_000,
  attempts: 2,
  priority: 0,
  shares: [{ service: 'stock', weight: 1 }],
  anonymous: false
}

export const DOCUMENT: routing.document.RoutingDocument = {
  version: 1,
  routes: [
    ROUTE,
    { ...ROUTE, name: 'write', prefix: '/write/', kind: 'non-idempotent', attempts: 1 },
    { ...ROUTE, name: 'generate', prefix: '/generate/', kind: 'stream', resumable: true },
    { ...ROUTE, name: 'answer', prefix: '/answer/', kind: 'stream', attempts: 1 },
    { ...ROUTE, name: 'short', prefix: '/short/', kind: 'non-idempotent', attempts: 1, timeoutMs: 150 },
    { ...ROUTE, name: 'open', prefix: '/open/', anonymous: true }
  ],
  services: [{ name: 'stock', connections: 100, engine: undefined }],
  organisations: [{ name: 'maarif', keys: ['k-1'], priority: undefined, cap: { tokensPerS: 1_000, burst: 1_000 }, plainTokens: 1 }],
  limits: { headerBytes: 8_192, bodyBytes: 10_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }
}

/** A request as a target received it. */
export interface Arrival {
  readonly target: string
  readonly method: string
  readonly path: string
  readonly headers: http.IncomingHttpHeaders
  readonly body: string
}

export type Script = (arrival: Arrival, response: http.ServerResponse, arrivals: number) => void

export interface Fixture {
  readonly gateway: gatewayPackage.gateway.Gateway
  readonly frontAddress: string
  readonly peerAddress: string
  /** Addresses of the targets in their order. */
  readonly addresses: readonly string[]
  readonly arrivals: readonly Arrival[]
  readonly script: (script: Script) => void
  readonly call: (path: string, options?: CallOptions) => Promise<Reply>
  readonly close: () => Promise<void>
}

export interface CallOptions {
  readonly method?: string
  readonly headers?: Readonly<Record<string, string | readonly string[]>>
  readonly body?: string
  readonly disconnectAfterMs?: number
}

export interface Reply {
  /** 0 if the connection ended before a response. */
  readonly status: number
  readonly headers: http.IncomingHttpHeaders
  readonly body: string
  /** Whether the response was complete. */
  readonly isComplete: boolean
}

export function wait (milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds))
}

/** Waits until a condition holds. */
export async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await wait(5)
}

export async function freeAddress (): Promise<string> {
  const server = net.createServer()
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as net.AddressInfo
  await new Promise((resolve) => { server.close(resolve) })
  return `127.0.0.1:${port}`
}

export function respondComplete (arrival: Arrival, response: http.ServerResponse, status = 200): void {
  response.writeHead(status, { 'request-id': arrival.headers['request-id'] ?? '', proof: arrival.target, load: '1,0,6' })
  response.end(`from ${arrival.target}`)
}

export function beginStream (arrival: Arrival, response: http.ServerResponse): void {
  response.writeHead(200, { 'request-id': arrival.headers['request-id'] ?? '', proof: arrival.target, 'content-type': 'text/event-stream' })
}

let nextRequest = 1

function sendRequest (frontAddress: string, path: string, options: CallOptions): Promise<Reply> {
  const { host, port } = gatewayPackage.endpoint.parseEndpoint(frontAddress)
  nextRequest += 1
  return new Promise((resolve) => {
    const request = http.request({ host, port, path, method: options.method ?? 'GET', headers: { host: 'shop.example', key: 'k-1', 'request-id': `r-${nextRequest}`, 'remaining-ms': '1400', ...options.headers }, agent: false })
    request.on('response', (response) => {
      let body = ''
      const end = (isComplete: boolean): void => resolve({ status: response.statusCode ?? 0, headers: response.headers, body, isComplete })
      response.setEncoding('utf8').on('data', (text: string) => { body += text })
      response.on('end', () => end(response.complete))
      response.on('error', () => end(false))
    })
    request.on('error', () => resolve({ status: 0, headers: {}, body: '', isComplete: false }))
    if (options.disconnectAfterMs !== undefined) setTimeout(() => request.destroy(), options.disconnectAfterMs)
    request.end(options.body)
  })
}

/** Starts a gateway with targets `i-1`, `i-2` and so on. */
export async function openFixture (targets: number, document: routing.document.RoutingDocument = DOCUMENT, headerNames = HEADER_NAMES): Promise<Fixture> {
  const arrivals: Arrival[] = []
  let script: Script = (arrival, response) => respondComplete(arrival, response)
  const servers = Array.from({ length: targets }, (_, index) => {
    const target = `i-${index + 1}`
    return http.createServer((incoming, response) => {
      let body = ''
      incoming.setEncoding('utf8').on('data', (text: string) => { body += text })
      incoming.on('end', () => {
        const arrival = { target, method: incoming.method ?? '', path: incoming.url ?? '', headers: incoming.headers, body }
        arrivals.push(arrival)
        script(arrival, response, arrivals.length)
      })
    })
  })
  const addresses = await Promise.all(servers.map(async (server) => {
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    return `127.0.0.1:${(server.address() as net.AddressInfo).port}`
  }))
  const [frontAddress, peerAddress] = [await freeAddress(), await freeAddress()]
  const gateway = new gatewayPackage.gateway.Gateway({
    name: 'front-1',
    availabilityZone: 'casa-a',
    frontAddress,
    peerAddress,
    headerNames,
    tolerances: { retryBudget: { ratio: 0.2, allowance: 200, windowMs: 10_000 }, tokenCaps: { toleratedTokens: 0 }, graceMs: 8_000 }
  })
  await gateway.open()
  gateway.adopt(document, 'test')
  for (const [index, address] of addresses.entries()) {
    const id = `i-${index + 1}`
    gateway.applyTarget({ id, era: 1, revision: index + 1, target: { id, service: 'stock', address, availabilityZone: 'casa-a', version: 'v1', slots: 6, leaving: false } }, 'test')
  }
  return {
    gateway,
    frontAddress,
    peerAddress,
    addresses,
    arrivals,
    script: (newScript) => {
      script = newScript
      arrivals.length = 0
    },
    call: (path, options = {}) => sendRequest(frontAddress, path, options),
    close: async () => {
      await gateway.close()
      for (const server of servers) {
        server.closeAllConnections()
        server.close()
      }
    }
  }
}

export function sendDatagram (address: string, text: string): Promise<void> {
  const { host, port } = gatewayPackage.endpoint.parseEndpoint(address)
  const socket = dgram.createSocket('udp4')
  return new Promise((resolve) => { socket.send(text, port, host, () => { socket.close(() => resolve()) }) })
}

/** Returns the datagram of a report of a peer with some fields changed. */
export function reportOf (changes: object): string {
  const params = {
    from: '127.0.0.9:7600', incarnation: 'a', sequence: 1, frontAddress: '127.0.0.9:80', ready: true, documentVersion: 1, pools: {}, usedTokens: {}, leavingTargets: [], suspects: {}, members: [], scope: 'cell', targetsPosition: [0, 0], complete: true, ...changes
  }
  return JSON.stringify({ jsonrpc: '2.0', method: 'report', params })
}
