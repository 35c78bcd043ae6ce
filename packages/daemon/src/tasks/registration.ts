/**
 * Registers this daemon under a leased key on the platform, and discovers the other registered daemons.
 * Serving requests does not depend on the lease.
 *
 * @module
 */
import * as backing from '@persimmonhatch/backing-services'
import * as protocol from '@persimmonhatch/protocol'

/** Prefix of the keys under which daemons register. */
export const MEMBERS_PREFIX = '/persimmonhatch/members/'

const LEASE_S = 60
const RENEWAL_INTERVAL_MS = 20_000

/** Average interval at which any daemon of the fleet lists the registrations, milliseconds. */
const FLEET_DISCOVERY_INTERVAL_MS = 2_000
const INITIAL_RETRY_CEILING_MS = 200
const MAX_RETRY_CEILING_MS = 20_000

/** Dependencies of the task. */
export interface Options {
  readonly keyValue: backing.keyValue.KeyValue
  readonly random: protocol.Random
  readonly clock: protocol.Clock
  readonly localMember: () => protocol.MemberUpdate
  /** Returns the number of known live daemons, including this one. */
  readonly fleetSize: () => number
  readonly onDiscovered: (members: readonly protocol.MemberUpdate[]) => void
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
 * Keeps this daemon registered until `signal` aborts, then removes the registration.
 *
 * @example
 * ```ts
 * await maintainRegistration(options, stop.signal)
 * ```
 */
export async function maintainRegistration (options: Options, signal: AbortSignal): Promise<void> {
  const { keyValue } = options
  const delays = backing.backoff.createBackoff({ initialCeilingMs: INITIAL_RETRY_CEILING_MS, maxCeilingMs: MAX_RETRY_CEILING_MS, random: options.random })
  let lease: string | undefined
  let lastDiscoveryMs = -Infinity

  async function register (): Promise<void> {
    const granted = await keyValue.grantLease(LEASE_S)
    if (granted.isErr()) throw granted.error
    const localMember = options.localMember()
    const written = await keyValue.compareAndSwap({
      key: `${MEMBERS_PREFIX}${localMember.incarnation}`,
      expectedRevision: 0,
      value: JSON.stringify(localMember),
      lease: granted.value
    })
    if (written.isErr()) throw written.error
    lease = granted.value
  }

  /** Lists the registered daemons. Gossip disseminates joining members, so the interval of each daemon grows with the fleet. */
  async function discoverMembers (): Promise<void> {
    if (options.clock() - lastDiscoveryMs < FLEET_DISCOVERY_INTERVAL_MS * options.fleetSize()) return
    const listing = await keyValue.list(MEMBERS_PREFIX)
    if (listing.isErr()) throw listing.error
    lastDiscoveryMs = options.clock()
    options.onDiscovered(listing.value.entries.map((found) => parseMember(found.value)).filter((member) => member !== undefined))
  }

  async function renew (): Promise<void> {
    if (lease === undefined) return await register()
    const remaining = await keyValue.keepLeaseAlive(lease)
    if (remaining.isErr()) throw remaining.error
    if (remaining.value <= 0) lease = undefined
  }

  while (!signal.aborted) {
    try {
      await renew()
      await discoverMembers()
      delays.reset()
      await backing.pause.pause(lease === undefined ? 0 : RENEWAL_INTERVAL_MS * (0.5 + options.random()), signal)
    } catch {
      options.count('registration.failed', 1)
      await backing.pause.pause(delays.next(), signal)
    }
  }
  if (lease !== undefined) await keyValue.revokeLease(lease)
}
