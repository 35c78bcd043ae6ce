/**
 * Generates open-loop traffic of callers that follow the rules for callers, including retries.
 *
 * @module
 */
import * as load from '@persimmonhatch/load'
import type * as protocol from '@persimmonhatch/protocol'
import type * as callModule from './call.js'
import type * as callersModule from './callers.js'
import type * as daemonProcess from './daemon-process.js'
import * as engineSpeeds from './engine-speeds.js'
import * as requestModule from './request.js'

const MS_PER_S = 1_000
const MAX_RETRIES = 3

/** Parameters of the traffic. */
export interface Options {
  readonly callers: callersModule.Callers
  readonly daemons: () => readonly daemonProcess.DaemonProcess[]
  readonly mix: load.mix.Mix
  readonly random: protocol.Random
  readonly requestsPerS: number
  /** Share of requests that are sent twice at once. */
  readonly duplicateShare: number
  /** Share of requests whose caller disconnects. */
  readonly disconnectShare: number
  readonly namePrefix: string
  /** Deadline of every request; defaults to that of its tier. */
  readonly deadlineMs?: number
  /** Share of requests that crash the model engine that runs them; all have the same content. */
  readonly crashShare?: number
}

/** Running traffic. */
export interface Traffic {
  readonly requests: ReadonlyMap<string, callModule.Request>
  readonly results: () => readonly callModule.Result[]
  /** Stops sending and settles when every call has an outcome. */
  readonly stop: () => Promise<void>
}

const MAX_DISCONNECT_DELAY_MS = 300

/**
 * Starts the traffic.
 *
 * @example
 * ```ts
 * const traffic = startTraffic(options)
 * await traffic.stop()
 * ```
 */
export function startTraffic (options: Options): Traffic {
  const { callers, random } = options
  const requests = new Map<string, callModule.Request>()
  const results: callModule.Result[] = []
  const pending = new Set<Promise<void>>()
  const stopping = new AbortController()

  function pickDaemon (): daemonProcess.DaemonProcess | undefined {
    const daemons = options.daemons()
    return daemons[Math.floor(random() * daemons.length)]
  }

  async function findDestination (service: string): Promise<callersModule.Destination | undefined> {
    for (let attempts = 0; attempts <= MAX_RETRIES; attempts += 1) {
      const queriedDaemon = pickDaemon()
      const found = queriedDaemon === undefined ? undefined : await callers.findDestination(queriedDaemon, service)
      if (found !== undefined) return found
    }
    return undefined
  }

  async function sendWithRetries (request: callModule.Request, destination: callersModule.Destination, attempts: number): Promise<void> {
    const result = await callers.send(request, destination)
    results.push(result)
    if (result.outcome === 'disconnected' && attempts < MAX_RETRIES) {
      // Half of the callers retry at the owner, half at any daemon, all under the same identity.
      const other = random() < 0.5 ? pickDaemon() : undefined
      await sendWithRetries(request, { daemon: other ?? destination.daemon, identity: destination.identity }, attempts + 1)
    }
  }

  /** Names a request without a body marker by its identity. */
  function useIdentityAsName (request: callModule.Request, identity: string): callModule.Request {
    if (request.omitsBodyMarker !== true) return request
    const renamed = { ...request, request: identity }
    requests.set(identity, renamed)
    return renamed
  }

  async function serve (drawn: callModule.Request): Promise<void> {
    const destination = await findDestination(drawn.service)
    if (destination === undefined) return
    const request = useIdentityAsName(drawn, destination.identity)
    if (random() < options.disconnectShare) {
      const disconnecting = new AbortController()
      setTimeout(() => disconnecting.abort(), MAX_DISCONNECT_DELAY_MS * random())
      results.push(await callers.send(request, destination, disconnecting.signal))
      return
    }
    const calls = [sendWithRetries(request, destination, 0)]
    if (random() < options.duplicateShare) calls.push(sendWithRetries(request, destination, MAX_RETRIES))
    await Promise.all(calls)
  }

  function drawRequest (name: string): callModule.Request {
    const request = requestModule.toRequest(load.mix.draw(options.mix, random), name, options.deadlineMs)
    const crashes = request.kind === 'model' && random() < (options.crashShare ?? 0)
    return crashes ? { ...request, promptText: engineSpeeds.CRASH_MARKER, omitsBodyMarker: true } : request
  }

  async function run (): Promise<void> {
    for (let index = 0; !stopping.signal.aborted; index += 1) {
      const name = `${options.namePrefix}${index}`
      const request = drawRequest(name)
      requests.set(name, request)
      const served = serve(request)
      pending.add(served)
      served.then(() => pending.delete(served), () => pending.delete(served))
      await new Promise((resolve) => setTimeout(resolve, -Math.log(1 - random()) * MS_PER_S / options.requestsPerS))
    }
  }

  const running = run()

  async function stop (): Promise<void> {
    stopping.abort()
    await running
    await Promise.allSettled(pending)
  }

  return { requests, results: () => results, stop }
}
