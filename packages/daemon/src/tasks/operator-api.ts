/**
 * Responses of the operator API.
 *
 * @module
 */
import type * as authority from '@persimmonhatch/authority'
import type * as document from '@persimmonhatch/document'
import type * as entry from '@persimmonhatch/entry'
import * as membership from '@persimmonhatch/membership'
import * as protocol from '@persimmonhatch/protocol'
import type * as callerServer from '../http/caller-server.js'
import * as localResponses from '../http/local-responses.js'

/** State from which the responses are built. */
export interface Sources {
  readonly region: string
  readonly random: protocol.Random
  readonly localMember: () => protocol.MemberUpdate
  readonly members: () => readonly protocol.MemberUpdate[]
  readonly services: () => readonly document.adoption.Status[]
  readonly pools: () => readonly authority.authority.Status[]
  readonly entry: () => entry.entry.Status
  readonly platform: () => Readonly<Record<string, unknown>>
  readonly leavingTargets: () => readonly string[]
  readonly receipt: (identity: string) => entry.event.Receipt | undefined
}

function jsonResponse (body: unknown): localResponses.LocalResponse {
  return { status: 200, headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) }
}

/**
 * Returns the addresses that a caller should use.
 *
 * @example
 * ```ts
 * getAddresses(sources, { service: 'listings', availabilityZone: 'casablanca-1' })
 * ```
 */
export function getAddresses (sources: Sources, query: callerServer.AddressQuery): localResponses.LocalResponse {
  const { service } = query
  if (service !== undefined && !sources.services().some((candidate) => candidate.service === service)) {
    return localResponses.errorResponse('unknown-service', { service })
  }
  return jsonResponse(membership.addresses.selectAddresses({
    members: sources.members(),
    availabilityZone: query.availabilityZone,
    region: sources.region,
    random: sources.random
  }))
}

/**
 * Explains why a request waited, ran or was refused. Returns undefined when this daemon has no receipt of it.
 *
 * @example
 * ```ts
 * explainRequest(sources, '0a1b2c3d4e5f6.120.Qw3rT')
 * ```
 */
export function explainRequest (sources: Sources, identity: string): object | undefined {
  const receipt = sources.receipt(identity)
  if (receipt === undefined) return undefined
  const sentences = [protocol.explain(receipt.reason, receipt.figures), protocol.EXPLANATIONS[receipt.reason].remedy]
  return { receipt, sentences }
}

/**
 * Returns the status of this daemon.
 *
 * @example
 * ```ts
 * getStatus(sources)
 * ```
 */
export function getStatus (sources: Sources): object {
  const { incarnation, address, availabilityZone, region, state, beat } = sources.localMember()
  return {
    incarnation,
    address,
    availabilityZone,
    region,
    state,
    beat,
    members: sources.members(),
    services: sources.services(),
    pools: sources.pools(),
    entry: sources.entry(),
    platform: sources.platform(),
    leavingTargets: sources.leavingTargets()
  }
}
