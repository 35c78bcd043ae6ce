/**
 * Client of the platform that counts this daemon's calls and limits their rate.
 *
 * @module
 */
import * as backing from '@persimmonhatch/backing-services'
import type * as protocol from '@persimmonhatch/protocol'
import * as neverthrow from 'neverthrow'
import type * as settings from '../settings/settings.js'

const CALL_TIMEOUT_MS = 2_000
const CONNECT_TIMEOUT_MS = 1_000
const SECONDS_PER_MINUTE = 60
const MS_PER_MINUTE = 60_000
const BURST_CALLS = 30

/** Dependencies of the client. */
export interface Options {
  readonly settings: settings.Settings['platform']
  readonly clock: protocol.Clock
  readonly count: (counter: string, value: number) => void
}

/** Rate-limited access to the platform. */
export interface PlatformCalls {
  readonly keyValue: backing.keyValue.KeyValue
  readonly listVms: backing.vmList.ListVms
  /** Returns the number of calls to the key-value service in the last minute. */
  readonly callsLastMinute: () => number
  readonly close: () => Promise<void>
}

/**
 * Creates the client.
 *
 * @example
 * ```ts
 * const calls = createPlatformCalls({ settings: settings.platform, clock, count })
 * ```
 */
export function createPlatformCalls (options: Options): PlatformCalls {
  const { settings, clock, count } = options
  const client = backing.httpClient.createHttpClient({ connectTimeoutMs: CONNECT_TIMEOUT_MS, headersTimeoutMs: 0, bodyTimeoutMs: 0 })
  const times: number[] = []

  function countCall (kind: backing.meteredKeyValue.CallKind, result: backing.meteredKeyValue.CallResult): void {
    count(`platform.${kind}.${result}`, 1)
    if (result === 'sent') times.push(clock())
    while (times[0] !== undefined && times[0] < clock() - MS_PER_MINUTE) times.shift()
  }

  const keyValue = backing.meteredKeyValue.createMeteredKeyValue({
    keyValue: backing.etcdKeyValue.createEtcdKeyValue({ client, endpoints: settings.keyValue.map((address) => `http://${address}`), timeoutMs: CALL_TIMEOUT_MS }),
    callsPerS: settings.callsPerMinute / SECONDS_PER_MINUTE,
    burst: BURST_CALLS,
    now: clock,
    count: countCall
  })
  const listVms: backing.vmList.ListVms = settings.vmList === undefined
    ? () => neverthrow.okAsync([])
    : backing.vmListClient.createVmListClient({ client, url: `http://${settings.vmList}`, timeoutMs: CALL_TIMEOUT_MS })

  return {
    keyValue,
    listVms,
    callsLastMinute: () => times.filter((time) => time >= clock() - MS_PER_MINUTE).length,
    close: () => client.close()
  }
}
