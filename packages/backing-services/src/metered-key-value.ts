/**
 * Counts calls to the key-value service and limits them to a budget.
 *
 * @module
 */
import * as neverthrow from 'neverthrow'
import type * as protocol from '@persimmonhatch/protocol'
import * as keyValue from './key-value.js'
import * as tokenBucket from './token-bucket.js'

/** Kind of a call. A watch counts once, when it starts. */
export type CallKind = keyof keyValue.KeyValue

/** Whether a call was sent or, beyond the budget, not sent. */
export type CallResult = 'sent' | 'over-budget'

/** Budget and a callback that counts the calls. */
export interface Options {
  readonly keyValue: keyValue.KeyValue
  readonly callsPerS: number
  /** Maximum number of calls in a burst after an idle time. */
  readonly burst: number
  readonly now: protocol.Clock
  readonly count: (kind: CallKind, result: CallResult) => void
}

function overBudget (kind: CallKind): keyValue.PlatformFailure {
  return new keyValue.PlatformFailure('over-limit', `The call ${kind} was not sent because the call budget of this process is spent. Wait, or raise platform.callsPerMinute in the settings.`)
}

/**
 * Wraps a key-value service. A call beyond the budget is not sent and fails as `over-limit`.
 *
 * @example
 * ```ts
 * const metered = createMeteredKeyValue({ keyValue, callsPerS: 5, burst: 20, now, count: (kind) => metrics.increment(kind) })
 * ```
 */
export function createMeteredKeyValue (options: Options): keyValue.KeyValue {
  const acquireToken = tokenBucket.createTokenBucket({ tokensPerS: options.callsPerS, capacity: options.burst, now: options.now })
  const inner = options.keyValue

  function admit (kind: CallKind): boolean {
    const admitted = acquireToken()
    options.count(kind, admitted ? 'sent' : 'over-budget')
    return admitted
  }

  function call<Value> (kind: CallKind, send: () => keyValue.PlatformResult<Value>): keyValue.PlatformResult<Value> {
    return admit(kind) ? send() : neverthrow.errAsync(overBudget(kind))
  }

  return {
    get: (key) => call('get', () => inner.get(key)),
    list: (prefix) => call('list', () => inner.list(prefix)),
    compareAndSwap: (write) => call('compareAndSwap', () => inner.compareAndSwap(write)),
    grantLease: (timeToLiveS) => call('grantLease', () => inner.grantLease(timeToLiveS)),
    keepLeaseAlive: (lease) => call('keepLeaseAlive', () => inner.keepLeaseAlive(lease)),
    revokeLease: (lease) => call('revokeLease', () => inner.revokeLease(lease)),
    watch: async function * (prefix, after, signal) {
      if (!admit('watch')) throw overBudget('watch')
      yield * inner.watch(prefix, after, signal)
    }
  }
}
