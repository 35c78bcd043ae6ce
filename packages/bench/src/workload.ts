/**
 * Generates documents, members and arrivals of the measured sizes.
 *
 * @module
 */
import * as document from '@persimmonhatch/document'
import type * as entry from '@persimmonhatch/entry'
import type * as protocol from '@persimmonhatch/protocol'
import * as float from 'pure-rand/distribution/uniformFloat64'
import * as generator from 'pure-rand/generator/xoroshiro128plus'

/** Pool of all targets. */
export const POOL = 'region-1-pool-01'

/** Default service name. */
export const SERVICE = 'inspection-listings'

const INCARNATION_DIGITS = 12
const UNREACHED_LIMIT_MS = 1_000_000_000

/** Size of a service document. */
export interface DocumentSize {
  readonly service?: string
  readonly targets: number
  readonly organisations: number
}

/**
 * Creates a seeded generator of random numbers in [0, 1).
 *
 * @example
 * ```ts
 * const random = seededRandom(7)
 * ```
 */
export function seededRandom (seed: number): protocol.Random {
  const source = generator.xoroshiro128plus(seed)
  return () => float.uniformFloat64(source)
}

/**
 * Returns the incarnation of a daemon.
 *
 * @example
 * ```ts
 * incarnationOf(7) // 'd000000000007'
 * ```
 */
export function incarnationOf (index: number): protocol.Incarnation {
  return `d${String(index).padStart(INCARNATION_DIGITS, '0')}`
}

/**
 * Returns the name of an organisation.
 *
 * @example
 * ```ts
 * organisationOf(7) // 'organisation-007'
 * ```
 */
export function organisationOf (index: number): string {
  return `organisation-${String(index).padStart(3, '0')}`
}

/**
 * Creates the text of a service document with four tiers.
 *
 * @example
 * ```ts
 * createDocumentText({ targets: 30, organisations: 300 })
 * ```
 */
export function createDocumentText (size: DocumentSize): string {
  const tiers = ['counter', 'question', 'listing', 'batch'].map((name, rank) => ({
    name,
    rank,
    maxWaitMs: UNREACHED_LIMIT_MS,
    deadlineMs: UNREACHED_LIMIT_MS,
    objectives: { firstTokenMs: 1_700, betweenTokensMs: 67 }
  }))
  const targets = Array.from({ length: size.targets }, (_, index) => ({
    name: `replica-${String(index).padStart(3, '0')}`,
    address: `10.1.${Math.floor(index / 250)}.${index % 250}:8000`,
    pool: POOL,
    availabilityZone: `region-1-${index % 4}`,
    hardware: `generation-${index % 3}`
  }))
  const organisations = Array.from({ length: size.organisations }, (_, index) => ({ name: organisationOf(index), share: 1 + index % 5 }))
  return JSON.stringify({ service: size.service ?? SERVICE, kind: 'model', tiers, defaultTier: 'listing', organisations, targets })
}

/**
 * Creates a parsed service document.
 *
 * @example
 * ```ts
 * createDocument({ targets: 30, organisations: 300 }).targets.length // 30
 * ```
 */
export function createDocument (size: DocumentSize): document.serviceDocument.ServiceDocument {
  return document.parseServiceDocument.parseServiceDocument(createDocumentText(size))._unsafeUnwrap()
}

/**
 * Creates a member in one of eleven availability zones in three regions.
 *
 * @example
 * ```ts
 * createMember(7).region // 'region-1'
 * ```
 */
export function createMember (index: number): protocol.MemberUpdate {
  const zone = index % 11
  const region = `region-${zone % 3}`
  return {
    kind: 'member',
    incarnation: incarnationOf(index),
    address: `10.${zone}.${Math.floor(index / 250)}.${index % 250}:7400`,
    peerAddress: `10.${zone}.${Math.floor(index / 250)}.${index % 250}:7401`,
    availabilityZone: `${region}-${zone}`,
    region,
    beat: 90_000 + index,
    state: 'alive',
    load: 0.25
  }
}

/**
 * Returns prefix hashes of a prompt. The first two take one of 64 values, so that requests share them.
 *
 * @example
 * ```ts
 * prefixesOf(7, 4).length // 4
 * ```
 */
export function prefixesOf (request: number, count: number): readonly string[] {
  return Array.from({ length: count }, (_, prefixIndex) => {
    const hashInput = prefixIndex < 2 ? request % 64 : request
    return (hashInput * 2_654_435_761 + prefixIndex).toString(16).slice(-8).padStart(8, '0')
  })
}

/**
 * Returns a fingerprint that looks like a hash: 16 hexadecimal digits.
 *
 * @example
 * ```ts
 * fingerprintOf(7).length // 16
 * ```
 */
export function fingerprintOf (request: number): string {
  return prefixesOf(request + 1_000_003, 4).slice(2).map((hash) => hash.slice(-8)).join('')
}

/**
 * Creates the arrival of a request at its entry.
 *
 * @example
 * ```ts
 * createArrival(7, 4).prefixes.length // 4
 * ```
 */
export function createArrival (request: number, prefixCount: number, epoch: number): entry.event.Arrival {
  return {
    request,
    identity: `${incarnationOf(0)}.${epoch}.${String(request).padStart(16, 'n')}`,
    service: SERVICE,
    organisation: organisationOf(request % 300),
    tier: undefined,
    method: 'POST',
    path: '/v1/chat/completions',
    fingerprint: fingerprintOf(request),
    promptTokens: 900,
    answerTokens: 300,
    prefixes: prefixesOf(request, prefixCount),
    deadlineMs: undefined
  }
}

/** End of a request with 900 prompt and 300 answer tokens; times have the precision of a real clock. */
export const FINISHED_DISPATCH: entry.event.DispatchEnd = {
  outcome: 'finished',
  detail: 'status 200',
  promptTokens: 900,
  cachedTokens: 256,
  answerTokens: 300,
  firstTokenMs: 412.8346419999998,
  totalMs: 15_217.45873599999
}
