/**
 * Open-loop traffic of callers that behave as they are told to, resends included.
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
const MAX_RESENDS = 3

/** What the traffic is. */
export interface Options {
  readonly callers: callersModule.Callers
  readonly daemons: () => readonly daemonProcess.DaemonProcess[]
  readonly mix: load.mix.Mix
  readonly random: protocol.Random
  readonly requestsPerS: number
  /** Share of requests whose caller sends again at once, before it has an answer. */
  readonly doubleShare: number
  /** Share of requests whose caller goes away. */
  readonly leaveShare: number
  readonly prefix: string
  /** Deadline of every request; that of its tier when left out. */
  readonly deadlineMs?: number
  /** Share of requests that crash the model engines which run them, all of one content. */
  readonly crashShare?: number
}

/** Running traffic. */
export interface Traffic {
  readonly requests: ReadonlyMap<string, callModule.Request>
  readonly results: () => readonly callModule.Result[]
  /** Sends nothing new and settles when every call has its outcome. */
  readonly stop: () => Promise<void>
}

const LEAVE_AFTER_MS = 300

/**
 * Starts sending.
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

  function anyDaemon (): daemonProcess.DaemonProcess | undefined {
    const daemons = options.daemons()
    return daemons[Math.floor(random() * daemons.length)]
  }

  async function steer (service: string): Promise<callersModule.Steer | undefined> {
    for (let tries = 0; tries <= MAX_RESENDS; tries += 1) {
      const asked = anyDaemon()
      const found = asked === undefined ? undefined : await callers.steer(asked, service)
      if (found !== undefined) return found
    }
    return undefined
  }

  async function sendAgain (request: callModule.Request, to: callersModule.Steer, tries: number): Promise<void> {
    const result = await callers.send(request, to)
    results.push(result)
    if (result.outcome === 'disconnected' && tries < MAX_RESENDS) {
      // Half of the callers come back to the owner, half try any daemon, all under the same identity.
      const other = random() < 0.5 ? anyDaemon() : undefined
      await sendAgain(request, { daemon: other ?? to.daemon, identity: to.identity }, tries + 1)
    }
  }

  /** A request whose body carries no name is named by its identity. */
  function nameByIdentity (request: callModule.Request, identity: string): callModule.Request {
    if (request.unnamedBody !== true) return request
    const one = { ...request, request: identity }
    requests.set(identity, one)
    return one
  }

  async function serve (drawn: callModule.Request): Promise<void> {
    const to = await steer(drawn.service)
    if (to === undefined) return
    const request = nameByIdentity(drawn, to.identity)
    if (random() < options.leaveShare) {
      const leaving = new AbortController()
      setTimeout(() => leaving.abort(), LEAVE_AFTER_MS * random())
      results.push(await callers.send(request, to, leaving.signal))
      return
    }
    const calls = [sendAgain(request, to, 0)]
    if (random() < options.doubleShare) calls.push(sendAgain(request, to, MAX_RESENDS))
    await Promise.all(calls)
  }

  function drawRequest (name: string): callModule.Request {
    const request = requestModule.toRequest(load.mix.draw(options.mix, random), name, options.deadlineMs)
    const crashes = request.kind === 'model' && random() < (options.crashShare ?? 0)
    return crashes ? { ...request, promptText: engineSpeeds.CRASH_MARKER, unnamedBody: true } : request
  }

  async function run (): Promise<void> {
    for (let index = 0; !stopping.signal.aborted; index += 1) {
      const name = `${options.prefix}${index}`
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
