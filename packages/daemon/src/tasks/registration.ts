/**
 * Introduces this daemon to newcomers, and newcomers to it, through a leased key on the platform.
 * Nothing that serves requests depends on the lease.
 *
 * @module
 */
import * as backing from '@persimmonhatch/backing-services'
import * as protocol from '@persimmonhatch/protocol'
import * as pause from '../util/pause.js'

/** Prefix of the keys under which daemons introduce themselves. */
export const MEMBERS_PREFIX = '/persimmonhatch/members/'

const LEASE_S = 60
const RENEWAL_INTERVAL_MS = 20_000

/** Interval at which some daemon of the fleet lists the members, milliseconds. */
const FLEET_LISTING_INTERVAL_MS = 2_000
const FIRST_RETRY_MS = 200
const LAST_RETRY_MS = 20_000

/** What the task needs of its surroundings. */
export interface Options {
  readonly keyValue: backing.keyValue.KeyValue
  readonly random: protocol.Random
  readonly clock: protocol.Clock
  readonly self: () => protocol.MemberUpdate
  /** Number of live daemons that this one knows, itself included. */
  readonly fleetSize: () => number
  readonly onIntroduced: (members: readonly protocol.MemberUpdate[]) => void
  readonly count: (counter: string, value: number) => void
}

function parseMember (text: string): protocol.MemberUpdate | undefined {
  try {
    const checked = protocol.memberUpdate.safeParse(JSON.parse(text))
    return checked.success ? checked.data : undefined
  } catch {
    return undefined
  }
}

/**
 * Keeps the introduction alive until `signal` aborts, then takes it back.
 *
 * @example
 * ```ts
 * await keepRegistered(options, stop.signal)
 * ```
 */
export async function keepRegistered (options: Options, signal: AbortSignal): Promise<void> {
  const { keyValue } = options
  const delays = backing.backoff.backoff({ initialCeilingMs: FIRST_RETRY_MS, maxCeilingMs: LAST_RETRY_MS, random: options.random })
  let lease: string | undefined
  let listedAtMs = -Infinity

  async function introduce (): Promise<void> {
    const granted = await keyValue.grantLease(LEASE_S)
    if (granted.isErr()) throw granted.error
    const self = options.self()
    const written = await keyValue.compareAndSwap({
      key: `${MEMBERS_PREFIX}${self.incarnation}`,
      expectedRevision: 0,
      value: JSON.stringify(self),
      lease: granted.value
    })
    if (written.isErr()) throw written.error
    lease = granted.value
  }

  /** Daemons that know each other pass on news of newcomers, so each lists the more seldom the more there are. */
  async function meet (): Promise<void> {
    if (options.clock() - listedAtMs < FLEET_LISTING_INTERVAL_MS * options.fleetSize()) return
    const listing = await keyValue.list(MEMBERS_PREFIX)
    if (listing.isErr()) throw listing.error
    listedAtMs = options.clock()
    options.onIntroduced(listing.value.entries.map((found) => parseMember(found.value)).filter((member) => member !== undefined))
  }

  async function renew (): Promise<void> {
    if (lease === undefined) return await introduce()
    const left = await keyValue.keepLeaseAlive(lease)
    if (left.isErr()) throw left.error
    if (left.value <= 0) lease = undefined
  }

  while (!signal.aborted) {
    try {
      await renew()
      await meet()
      delays.reset()
      await pause.pause(lease === undefined ? 0 : RENEWAL_INTERVAL_MS * (0.5 + options.random()), signal)
    } catch {
      options.count('registration.failed', 1)
      await pause.pause(delays.next(), signal)
    }
  }
  if (lease !== undefined) await keyValue.revokeLease(lease)
}
