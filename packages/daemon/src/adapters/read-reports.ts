/**
 * Fetches the load and cache reports of one target over HTTP.
 *
 * @module
 */
import * as undici from 'undici'
import * as z from 'zod'
import type * as targetReports from '../tasks/target-reports.js'

const READ_TIMEOUT_MS = 2_000

const loadSchema = z.object({
  ageMs: z.number().min(0).default(0),
  runningRequests: z.number().min(0),
  queuedRequests: z.number().min(0).default(0),
  tokensInProgress: z.number().min(0).default(0)
}).readonly()

const cacheSchema = z.object({
  events: z.array(z.object({
    sequence: z.number().int().min(0),
    stored: z.array(z.string()).readonly().default([]),
    evicted: z.array(z.string()).readonly().default([])
  }).readonly()).readonly()
}).readonly()

async function getJson (httpClient: undici.Dispatcher, url: string): Promise<unknown> {
  const response = await undici.request(url, { dispatcher: httpClient, signal: AbortSignal.timeout(READ_TIMEOUT_MS) })
  if (response.statusCode === 200) return await response.body.json()
  await response.body.dump()
  return undefined
}

async function readOrUndefined<Value> (httpClient: undici.Dispatcher, url: string, schema: z.ZodType<Value>): Promise<Value | undefined> {
  try {
    const checked = schema.safeParse(await getJson(httpClient, url))
    return checked.success ? checked.data : undefined
  } catch {
    return undefined
  }
}

/**
 * Creates a function that fetches the reports of a target.
 *
 * @example
 * ```ts
 * const reports = await createReadReports(httpClient)({ name: 'model-1', address: '10.0.0.9:8000', kind: 'model' }, 0)
 * ```
 */
export function createReadReports (httpClient: undici.Dispatcher): targetReports.ReadReports {
  return async (target, afterSequence) => {
    const load = await readOrUndefined(httpClient, `http://${target.address}/load`, loadSchema)
    const cache = target.kind === 'model'
      ? await readOrUndefined(httpClient, `http://${target.address}/cache-events?after=${afterSequence}`, cacheSchema)
      : undefined
    return {
      load: load === undefined ? undefined : { target: target.name, ...load },
      cache: (cache?.events ?? []).map((event) => ({ target: target.name, ...event }))
    }
  }
}
