/**
 * Implements the key-value port through the etcd v3 JSON gateway.
 *
 * @module
 */
import * as neverthrow from 'neverthrow'
import type * as undici from 'undici'
import type * as zod from 'zod'
import * as etcdSchema from './etcd-schema.js'
import * as etcdWatch from './etcd-watch.js'
import * as jsonCall from './json-call.js'
import * as keyValue from './key-value.js'

const DEFAULT_WATCH_IDLE_MS = 60_000

/** etcd does not tell whether it was restored; a watch only fails if its revision is ahead of the service's. */
const ERA = 0

/** Endpoints and timeouts. */
export interface Options {
  readonly client: undici.Dispatcher
  /** Base URLs, such as `http://10.0.0.9:2379`. */
  readonly endpoints: readonly string[]
  readonly timeoutMs: number
  /** Creates the signal that ends a call at its timeout. Defaults to `AbortSignal.timeout`. */
  readonly timeoutSignal?: jsonCall.TimeoutSignal
  /** Idle time after which a watch fails, so that the caller lists again. */
  readonly watchIdleMs?: number
}

interface Method<Value> {
  readonly path: string
  readonly body: unknown
  readonly effect: jsonCall.Effect
  readonly schema: zod.ZodType<Value>
}

interface Endpoints {
  readonly current: () => string | undefined
  readonly advanceFrom: (endpoint: string) => void
  readonly count: number
}

/** Uses one endpoint until it fails, then the next. */
function createEndpoints (urls: readonly string[]): Endpoints {
  let index = 0
  return {
    count: urls.length,
    current: () => urls[index],
    // Another call that failed on the same endpoint may already have advanced the index.
    advanceFrom: (endpoint) => { if (urls[index] === endpoint) index = (index + 1) % urls.length }
  }
}

function noEndpoint (): keyValue.PlatformFailure {
  return new keyValue.PlatformFailure('unavailable', 'No endpoint of the key-value service is configured. Set at least one in platform.keyValue of the daemon settings, or with --platform for the operators\' tool.')
}

// A write that may have taken effect fails as `unanswered`, so a call that failed as `unavailable` is safe to send again.
function canFailOver (failure: keyValue.PlatformFailure): boolean {
  return failure.failure === 'unavailable'
}

function swapBody (write: keyValue.Write): unknown {
  const key = etcdSchema.encodeBytes(write.key)
  const lease = write.lease === undefined ? {} : { lease: write.lease }
  const change = write.value === undefined
    ? { request_delete_range: { key } }
    : { request_put: { key, value: etcdSchema.encodeBytes(write.value), ...lease } }
  return {
    compare: [{ key, target: 'MOD', result: 'EQUAL', mod_revision: String(write.expectedRevision) }],
    success: [change],
    failure: [{ request_range: { key } }]
  }
}

function toSwapResult (response: zod.infer<typeof etcdSchema.TRANSACTION>): keyValue.SwapResult {
  const existing = response.succeeded ? undefined : response.responses[0]?.response_range?.kvs[0]
  return { succeeded: response.succeeded, revision: response.header.revision, current: existing && etcdSchema.toEntry(existing) }
}

/**
 * Creates the adapter. Reads, and writes that certainly had no effect, are tried once at each
 * endpoint. A write that may have taken effect is not sent again.
 *
 * @example
 * ```ts
 * const store = createEtcdKeyValue({ client, endpoints: ['http://10.0.0.9:2379'], timeoutMs: 1_000 })
 * const entry = await store.get('/persimmonhatch/services/listings')
 * ```
 */
export function createEtcdKeyValue (options: Options): keyValue.KeyValue {
  const endpoints = createEndpoints(options.endpoints)

  function attempt<Value> (method: Method<Value>, attemptsLeft: number): keyValue.PlatformResult<Value> {
    const endpoint = endpoints.current()
    if (endpoint === undefined) return neverthrow.errAsync(noEndpoint())
    const { path, ...rest } = method
    const { client, timeoutMs, timeoutSignal } = options
    return jsonCall.jsonCall({ ...rest, client, url: `${endpoint}${path}`, timeoutMs, timeoutSignal }).orElse((failure) => {
      if (failure.failure === 'unavailable' || failure.failure === 'unanswered') endpoints.advanceFrom(endpoint)
      return canFailOver(failure) && attemptsLeft > 1 ? attempt(method, attemptsLeft - 1) : neverthrow.errAsync(failure)
    })
  }

  function call<Value> (path: string, effect: jsonCall.Effect, schema: zod.ZodType<Value>, body: unknown): keyValue.PlatformResult<Value> {
    return attempt({ path, body, effect, schema }, endpoints.count)
  }

  async function * watch (prefix: string, after: keyValue.Position, signal: AbortSignal): AsyncGenerator<readonly keyValue.Change[]> {
    const endpoint = endpoints.current()
    if (endpoint === undefined) throw noEndpoint()
    try {
      yield * etcdWatch.etcdWatch({ client: options.client, endpoint, prefix, afterRevision: after.revision, signal, startTimeoutMs: options.timeoutMs, idleTimeoutMs: options.watchIdleMs ?? DEFAULT_WATCH_IDLE_MS })
    } catch (error) {
      if (error instanceof keyValue.PlatformFailure && error.failure === 'unavailable') endpoints.advanceFrom(endpoint)
      throw error
    }
  }

  return {
    get: (key) => call('/v3/kv/range', 'read', etcdSchema.RANGE, { key: etcdSchema.encodeBytes(key) })
      .map((response) => response.kvs[0] && etcdSchema.toEntry(response.kvs[0])),
    list: (prefix) => call('/v3/kv/range', 'read', etcdSchema.RANGE, { key: etcdSchema.encodeBytes(prefix), range_end: etcdSchema.prefixEnd(prefix) })
      .map((response) => ({ entries: response.kvs.map(etcdSchema.toEntry), era: ERA, revision: response.header.revision })),
    compareAndSwap: (write) => call('/v3/kv/txn', 'write', etcdSchema.TRANSACTION, swapBody(write)).map(toSwapResult),
    grantLease: (timeToLiveS) => call('/v3/lease/grant', 'write', etcdSchema.LEASE_GRANT, { TTL: String(timeToLiveS) }).map((response) => response.ID),
    // Renewing and revoking a lease are idempotent, so both fail over like reads.
    keepLeaseAlive: (lease) => call('/v3/lease/keepalive', 'read', etcdSchema.LEASE_RENEWAL, { ID: lease }).map((response) => response.result.TTL),
    revokeLease: (lease) => call('/v3/lease/revoke', 'read', etcdSchema.EMPTY, { ID: lease }).map(() => undefined),
    watch
  }
}
