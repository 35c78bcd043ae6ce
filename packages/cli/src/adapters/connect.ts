/**
 * Creates the adapters for the platform and the daemons from the settings.
 *
 * @module
 */
import * as crypto from 'node:crypto'
import * as timers from 'node:timers/promises'
import * as backing from '@persimmonhatch/backing-services'
import type * as ports from '../ports.js'
import type * as settings from '../settings.js'
import * as daemonClient from './daemon-client.js'

/**
 * Creates the dependencies of the commands. Connections open on first use.
 *
 * @example
 * ```ts
 * const dependencies = connect(settings)
 * ```
 */
export function connect (checkedSettings: settings.Settings): ports.Ports {
  const { endpoints, timeoutMs } = checkedSettings.platform
  const client = backing.httpClient.createHttpClient({
    connectTimeoutMs: Math.max(timeoutMs, checkedSettings.daemonTimeoutMs),
    headersTimeoutMs: 0,
    bodyTimeoutMs: 0
  })
  return {
    keyValue: backing.etcdKeyValue.createEtcdKeyValue({ client, endpoints, timeoutMs }),
    queryDaemon: daemonClient.createDaemonClient(client, checkedSettings.daemonTimeoutMs),
    nowMs: () => Date.now(),
    sleep: (durationMs) => timers.setTimeout(durationMs),
    random: () => Math.random(),
    createChangeId: () => crypto.randomUUID(),
    hash: (content) => crypto.createHash('sha256').update(content).digest('hex'),
    close: () => client.destroy()
  }
}
