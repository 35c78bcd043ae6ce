/**
 * Which daemons to use, kept for as long as the answer says.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as neverthrow from 'neverthrow'
import * as bodies from './bodies.js'
import * as errors from './errors.js'
import type * as exchanges from './exchange.js'

/** One daemon, and the beginning of identities that it owns: `incarnation.epoch.`. */
export interface Route {
  readonly address: protocol.Address
  readonly identityPrefix: string
}

/** Settings of an address book. */
export interface Options {
  /** Daemons to ask first; any of them will do. */
  readonly daemons: readonly protocol.Address[]
  readonly availabilityZone: string | undefined
  readonly clock: protocol.Clock
  readonly exchange: exchanges.Exchange
}

/** Answers to "which address to use". */
export interface AddressBook {
  /** Routes in the order in which to try them; asks a daemon when the kept answer is over its time to live. */
  readonly routes: (service: string) => Promise<neverthrow.Result<readonly Route[], errors.UnreachableDaemons>>
  /** Makes the next call ask again. */
  readonly expire: (service: string) => void
}

interface Kept {
  readonly routes: readonly Route[]
  readonly expiresMs: number
}

interface AddressAnswer {
  readonly timeToLiveMs: number
  readonly addresses: ReadonlyArray<{ readonly address: string, readonly identities: readonly string[] }>
}

const ASK_TIMEOUT_MS = 3_000

function isAnswer (value: unknown): value is AddressAnswer {
  return typeof value === 'object' && value !== null && 'addresses' in value && Array.isArray(value.addresses) && 'timeToLiveMs' in value
}

function toRoutes (answer: AddressAnswer): readonly Route[] {
  return answer.addresses.flatMap(({ address, identities }) => {
    const [identity] = identities
    return identity === undefined ? [] : [{ address, identityPrefix: identity.slice(0, identity.lastIndexOf('.') + 1) }]
  })
}

/**
 * Creates an empty address book.
 *
 * @example
 * ```ts
 * const book = createAddressBook({ daemons: ['127.0.0.1:7400'], availabilityZone: 'south-1', clock, exchange })
 * const routes = await book.routes('listings')
 * ```
 */
export function createAddressBook (options: Options): AddressBook {
  const kept = new Map<string, Kept>()

  async function ask (address: protocol.Address, service: string): Promise<neverthrow.Result<Kept, string>> {
    const query = new URLSearchParams({ service, ...(options.availabilityZone === undefined ? {} : { 'availability-zone': options.availabilityZone }) })
    const reply = await options.exchange({
      address, method: 'GET', path: `/v1/addresses?${query.toString()}`, headers: {}, body: undefined, timeoutMs: ASK_TIMEOUT_MS
    })
    if (reply.isErr()) return neverthrow.err(reply.error.detail)
    const text = await bodies.readText(reply.value.body)
    if (text.isErr()) return neverthrow.err(text.error)
    const answer = bodies.parseJson(text.value)
    if (!isAnswer(answer) || toRoutes(answer).length === 0) return neverthrow.err(`status ${reply.value.status} without addresses`)
    return neverthrow.ok({ routes: toRoutes(answer), expiresMs: options.clock() + answer.timeToLiveMs })
  }

  async function routes (service: string): Promise<neverthrow.Result<readonly Route[], errors.UnreachableDaemons>> {
    const held = kept.get(service)
    if (held !== undefined && options.clock() < held.expiresMs) return neverthrow.ok(held.routes)
    const addresses = [...new Set([...(held?.routes ?? []).map((route) => route.address), ...options.daemons])]
    let detail = 'no addresses are known'
    for (const address of addresses) {
      const answer = await ask(address, service)
      if (answer.isOk()) {
        kept.set(service, answer.value)
        return neverthrow.ok(answer.value.routes)
      }
      detail = answer.error
    }
    return neverthrow.err(new errors.UnreachableDaemons(addresses, detail))
  }

  function expire (service: string): void {
    const held = kept.get(service)
    if (held !== undefined) kept.set(service, { ...held, expiresMs: -Infinity })
  }

  return { routes, expire }
}
