/**
 * What the daemon answers to questions about itself.
 *
 * @module
 */
import type * as authority from '@persimmonhatch/authority'
import type * as document from '@persimmonhatch/document'
import type * as entry from '@persimmonhatch/entry'
import * as membership from '@persimmonhatch/membership'
import * as protocol from '@persimmonhatch/protocol'
import type * as callerServer from '../http/caller-server.js'
import * as refusalBody from '../http/refusal-body.js'

/** Where the answers come from. */
export interface Sources {
  readonly region: string
  readonly random: protocol.Random
  readonly self: () => protocol.MemberUpdate
  readonly members: () => readonly protocol.MemberUpdate[]
  readonly services: () => readonly document.adoption.Status[]
  readonly pools: () => readonly authority.authority.Status[]
  readonly entry: () => entry.entry.Status
  readonly platform: () => Readonly<Record<string, unknown>>
  readonly leavingTargets: () => readonly string[]
  readonly receipt: (identity: string) => entry.event.Receipt | undefined
}

function jsonReply (body: unknown): refusalBody.Reply {
  return { status: 200, headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) }
}

/**
 * Answers "which address to use".
 *
 * @example
 * ```ts
 * answerAddresses(sources, { service: 'listings', availabilityZone: 'casablanca-1' })
 * ```
 */
export function answerAddresses (sources: Sources, query: callerServer.AddressQuery): refusalBody.Reply {
  const { service } = query
  if (service !== undefined && !sources.services().some((known) => known.service === service)) {
    return refusalBody.plainReply('unknown-service', { service })
  }
  return jsonReply(membership.addresses.selectAddresses({
    members: sources.members(),
    availabilityZone: query.availabilityZone,
    region: sources.region,
    random: sources.random
  }))
}

/**
 * Answers why a request waited, ran or was refused; undefined when nothing is known of it here.
 *
 * @example
 * ```ts
 * answerExplain(sources, '0a1b2c3d4e5f6.120.Qw3rT')
 * ```
 */
export function answerExplain (sources: Sources, identity: string): object | undefined {
  const receipt = sources.receipt(identity)
  if (receipt === undefined) return undefined
  const sentences = [protocol.explain(receipt.reason, receipt.figures), protocol.EXPLANATIONS[receipt.reason].remedy]
  return { receipt, sentences }
}

/**
 * Answers how this daemon stands.
 *
 * @example
 * ```ts
 * answerStatus(sources)
 * ```
 */
export function answerStatus (sources: Sources): object {
  const { incarnation, address, availabilityZone, region, state, beat } = sources.self()
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
