/**
 * Callers that follow the rules for plain HTTP callers: fetch an address and an identity, connect
 * there, follow redirects, retry under the same identity.
 *
 * @module
 */
import type * as undici from 'undici'
import * as backing from '@persimmonhatch/backing-services'
import * as callModule from './call.js'
import type * as daemonProcess from './daemon-process.js'
import type * as recorderModule from './recorder.js'

/** Dependencies of the callers. */
export interface Options {
  readonly recorder: recorderModule.Recorder
  readonly daemons: () => readonly daemonProcess.DaemonProcess[]
}

/** The daemon to send a request to, and the identity to send it under. */
export interface Destination {
  readonly daemon: daemonProcess.DaemonProcess
  readonly identity: string
}

/** Callers that share one HTTP client. */
export interface Callers {
  readonly httpClient: undici.Dispatcher
  /** Fetches the address to use from a daemon; undefined when the daemon does not respond or returns no address. */
  readonly findDestination: (queriedDaemon: daemonProcess.DaemonProcess, service: string) => Promise<Destination | undefined>
  /** Sends a request immediately, without retries. */
  readonly send: (request: callModule.Request, destination: { readonly daemon: daemonProcess.DaemonProcess, readonly identity: string | undefined }, signal?: AbortSignal) => Promise<callModule.Result>
  readonly close: () => Promise<void>
}

/** Timeout of a query for addresses, ms; a suspended daemon does not respond. */
const ADDRESS_TIMEOUT_MS = 10_000

interface AddressResponse {
  readonly addresses?: readonly { readonly address: string, readonly identities: readonly string[] }[]
}

/**
 * Creates callers.
 *
 * @example
 * ```ts
 * const callers = createCallers({ recorder, daemons: system.daemons })
 * const destination = await callers.findDestination(system.daemons()[0], 'support')
 * ```
 */
export function createCallers (options: Options): Callers {
  const httpClient = backing.httpClient.createHttpClient({ connectTimeoutMs: 1_000, headersTimeoutMs: 0, bodyTimeoutMs: 0 })

  async function findDestination (queriedDaemon: daemonProcess.DaemonProcess, service: string): Promise<Destination | undefined> {
    try {
      const response = await fetch(`http://${queriedDaemon.address}/v1/addresses?service=${service}&availability-zone=${queriedDaemon.options.availabilityZone}`, { signal: AbortSignal.timeout(ADDRESS_TIMEOUT_MS) })
      const body = await response.json() as AddressResponse
      const [choice] = body.addresses ?? []
      const daemon = options.daemons().find((each) => each.address === choice?.address)
      const identity = choice?.identities[0]
      return daemon === undefined || identity === undefined ? undefined : { daemon, identity }
    } catch {
      return undefined
    }
  }

  return {
    httpClient,
    findDestination,
    send: (request, destination, signal) => callModule.makeCall({ recorder: options.recorder, httpClient, request, ...destination, ...(signal === undefined ? {} : { signal }) }),
    close: () => httpClient.close()
  }
}
