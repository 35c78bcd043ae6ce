/**
 * Selection of the daemons that a caller should connect to, with identities for its requests.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'

/** Inputs of the selection. */
export interface Options {
  readonly members: readonly protocol.MemberUpdate[]
  /** The caller's availability zone; undefined when it states none. */
  readonly availabilityZone: string | undefined
  /** Region assumed for a caller whose availability zone has no member. */
  readonly region: string
  readonly random: protocol.Random
}

/** One address with request identities that its daemon owns. */
export interface AddressChoice {
  readonly address: protocol.Address
  readonly availabilityZone: string
  readonly identities: readonly string[]
}

/** Addresses for a caller. */
export interface AddressSelection {
  readonly timeToLiveMs: number
  /** Best first. */
  readonly addresses: readonly AddressChoice[]
}

const NONCE_ALPHABET = 'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789'
const NONCE_LENGTH = 16
const IDENTITIES_PER_ADDRESS = 8
const MAX_ADDRESSES = 8

/** Minimum number of addresses outside the nearest group, for the loss of an availability zone. */
const MIN_DISTANT_ADDRESSES = 2

/** Load from which a daemon's distance is raised by one. */
const HIGH_LOAD = 0.9

/** Minimum weight of a daemon, so that a loaded one is still chosen occasionally. */
const MIN_WEIGHT = 0.05

interface Candidate {
  readonly member: protocol.MemberUpdate
  readonly distance: number
  readonly key: number
}

/**
 * Returns a new request identity that the member owns: `incarnation.epoch.nonce`.
 *
 * @example
 * ```ts
 * identityOf(member, random) // '0a1b2c3d4e5f6.120.Qw3rT0uI0pAsDf7g'
 * ```
 */
export function identityOf (member: protocol.MemberUpdate, random: protocol.Random): string {
  const nonce = Array.from({ length: NONCE_LENGTH }, () => NONCE_ALPHABET.charAt(Math.floor(random() * NONCE_ALPHABET.length)))
  return `${member.incarnation}.${member.beat}.${nonce.join('')}`
}

// Weighted random order: key u^(1/w), largest first (P. S. Efraimidis, P. G. Spirakis, "Weighted random sampling
// with a reservoir", Information Processing Letters 97(5), 2006). Lower load comes first more often, not always,
// so that concurrent callers do not all choose the same daemon.
function weightedKey (load: number, random: protocol.Random): number {
  return random() ** (1 / Math.max(MIN_WEIGHT, 1 - load))
}

function callerRegion (options: Options): string {
  return options.members.find((member) => member.availabilityZone === options.availabilityZone)?.region ?? options.region
}

function createDistanceFunction (options: Options): (member: protocol.MemberUpdate) => number {
  const region = callerRegion(options)
  return (member) => {
    const overload = member.load >= HIGH_LOAD ? 1 : 0
    if (member.availabilityZone === options.availabilityZone) return overload
    return (member.region === region ? 1 : 2) + overload
  }
}

function orderCandidates (options: Options): readonly Candidate[] {
  const distance = createDistanceFunction(options)
  const candidates = options.members
    .filter((member) => member.state === 'alive')
    .map((member) => ({ member, distance: distance(member), key: weightedKey(member.load, options.random) }))
  return candidates.sort((a, b) => a.distance - b.distance || b.key - a.key)
}

function choose (ordered: readonly Candidate[]): readonly Candidate[] {
  const nearest = ordered.filter((candidate) => candidate.distance === ordered[0]?.distance)
  const distant = ordered.slice(nearest.length)
  const reserved = Math.min(MIN_DISTANT_ADDRESSES, distant.length)
  const chosen = nearest.slice(0, MAX_ADDRESSES - reserved)
  return [...chosen, ...distant.slice(0, MAX_ADDRESSES - chosen.length)]
}

/**
 * Selects the addresses of live daemons that are not leaving: nearest first, and within the same distance in a
 * random order weighted by spare capacity.
 *
 * @example
 * ```ts
 * selectAddresses({ members: core.members(), availabilityZone: 'south-1', region: 'south', random })
 * ```
 */
export function selectAddresses (options: Options): AddressSelection {
  const addresses = choose(orderCandidates(options)).map(({ member }) => ({
    address: member.address,
    availabilityZone: member.availabilityZone,
    identities: Array.from({ length: IDENTITIES_PER_ADDRESS }, () => identityOf(member, options.random))
  }))
  return { timeToLiveMs: protocol.ADDRESS_TIME_TO_LIVE_MS, addresses }
}
