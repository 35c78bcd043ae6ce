/**
 * Resolves the policy of a request from the service documents in force.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'
import type * as protocol from '@persimmonhatch/protocol'
import * as neverthrow from 'neverthrow'
import type * as event from './event.js'
import * as requestRule from './request-rule.js'

/** Estimated length of a model's response when neither the request nor its rule states one, tokens. */
export const DEFAULT_ANSWER_TOKENS = 256

/** Cost of a call to a plain service when its rule states none, tokens. */
export const DEFAULT_PLAIN_CALL_TOKENS = 100

/** The policy of the documents in force for one request. */
export interface RequestPolicy {
  readonly organisation: string
  readonly tier: string
  readonly rank: protocol.Rank
  readonly nonIdempotent: boolean
  readonly answerTokens: number
  readonly deadlineMs: number
  /** Eligible pools with targets of the service. */
  readonly pools: readonly string[]
}

/** Reason why a request is not accepted, with the figures of its explanation. */
export interface Rejection {
  readonly reason: protocol.Reason
  readonly figures: protocol.Figures
}

type ServiceDocument = document.serviceDocument.ServiceDocument

type RequestRule = document.serviceDocument.RequestRule

function reject (reason: protocol.Reason, figures: protocol.Figures): neverthrow.Result<never, Rejection> {
  return neverthrow.err({ reason, figures })
}

function estimateAnswerTokens (arrival: event.Arrival, service: ServiceDocument, rule: RequestRule | undefined): number {
  if (service.kind === 'plain') return rule?.answerTokens ?? DEFAULT_PLAIN_CALL_TOKENS
  if (arrival.answerTokens === undefined) return rule?.answerTokens ?? DEFAULT_ANSWER_TOKENS
  return Math.min(arrival.answerTokens, rule?.answerTokens ?? arrival.answerTokens)
}

function listPools (service: ServiceDocument, isEligiblePool: (pool: string) => boolean): readonly string[] {
  return [...new Set(service.targets.map((target) => target.pool))].filter(isEligiblePool)
}

/**
 * Resolves the policy of a request, or the reason why it cannot be accepted.
 *
 * @example
 * ```ts
 * resolvePolicy(arrival, documents, () => true)
 * // ok({ organisation: 'casablanca', tier: 'counter', rank: 0, nonIdempotent: true, … })
 * ```
 */
export function resolvePolicy (
  arrival: event.Arrival,
  services: ReadonlyMap<string, ServiceDocument>,
  isEligiblePool: (pool: string) => boolean
): neverthrow.Result<RequestPolicy, Rejection> {
  const service = services.get(arrival.service)
  if (service === undefined) return reject('unknown-service', { service: arrival.service })
  const organisation = service.organisations.find((listed) => listed.name === arrival.organisation)
  if (organisation === undefined) return reject('unknown-organisation', { service: service.service, organisation: arrival.organisation ?? 'none' })
  const rule = requestRule.findRule(service.requests, arrival.method, arrival.path)
  const tierName = arrival.tier ?? rule?.tier ?? service.defaultTier
  const tier = service.tiers.find((listed) => listed.name === tierName)
  if (tier === undefined) return reject('unknown-tier', { service: service.service, tier: tierName })
  const nonIdempotent = rule?.nonIdempotent ?? false
  if (nonIdempotent && arrival.identity === undefined) return reject('identity-required', { service: service.service })
  const pools = listPools(service, isEligiblePool)
  if (pools.length === 0) return reject('no-target', { service: service.service })
  return neverthrow.ok({
    organisation: organisation.name,
    tier: tier.name,
    rank: tier.rank,
    nonIdempotent,
    answerTokens: estimateAnswerTokens(arrival, service, rule),
    deadlineMs: arrival.deadlineMs ?? tier.deadlineMs,
    pools
  })
}
