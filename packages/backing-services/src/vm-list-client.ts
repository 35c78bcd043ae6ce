/**
 * Adapter for the platform's VM list.
 *
 * @module
 */
import type * as undici from 'undici'
import * as zod from 'zod'
import * as jsonCall from './json-call.js'
import type * as vmList from './vm-list.js'

/** URL of the VM list and timeout of a call. */
export interface Options {
  readonly client: undici.Dispatcher
  /** Base URL, such as `http://10.0.0.9:8080`. */
  readonly url: string
  readonly timeoutMs: number
}

const SCHEMA = zod.object({
  vms: zod.array(zod.object({
    name: zod.string().min(1),
    address: zod.string().min(1),
    state: zod.enum(['live', 'leaving'])
  }))
})

/**
 * Creates a function that fetches the VM list.
 *
 * @example
 * ```ts
 * const listVms = createVmListClient({ client, url: 'http://10.0.0.9:8080', timeoutMs: 500 })
 * const vms = await listVms()
 * ```
 */
export function createVmListClient (options: Options): vmList.ListVms {
  const call = { client: options.client, url: `${options.url}/vms`, effect: 'read', timeoutMs: options.timeoutMs, schema: SCHEMA } as const
  return () => jsonCall.jsonCall(call).map((response) => response.vms)
}
