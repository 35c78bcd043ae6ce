/**
 * Request mixes of the two deployments.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** One kind of request in a mix. Each request draws its lengths, in tokens, between the bounds. */
export interface Kind {
  readonly name: string
  readonly service: string
  readonly target: 'model' | 'plain'
  readonly method: string
  readonly path: string
  readonly tier: string
  readonly rank: protocol.Rank
  readonly nonIdempotent: boolean
  /** Relative frequency among all requests. */
  readonly weight: number
  /** Length of the prompt prefix that requests of one organisation share. */
  readonly sharedTokens: number
  /** Bounds of the rest of the prompt, which is unique to each request. */
  readonly minUniqueTokens: number
  readonly maxUniqueTokens: number
  readonly minAnswerTokens: number
  readonly maxAnswerTokens: number
  readonly stream: boolean
}

/** An organisation and its relative frequency among all requests. */
export interface OrganisationWeight {
  readonly organisation: string
  readonly weight: number
}

/** Request mix of a deployment. */
export interface Mix {
  readonly kinds: readonly Kind[]
  readonly organisations: readonly OrganisationWeight[]
}

/** A request drawn from a mix, without its text. */
export interface DrawnRequest {
  readonly kind: Kind
  readonly organisation: string
  readonly promptTokens: number
  readonly answerTokens: number
}

/** Parameters that determine the text of a prompt. */
export interface PromptSource extends Pick<DrawnRequest, 'organisation' | 'promptTokens'> {
  readonly kind: Pick<Kind, 'name' | 'sharedTokens'>
}

const MODEL_DEFAULTS = { target: 'model', method: 'POST', nonIdempotent: false, stream: true } as const
const PLAIN_DEFAULTS = { target: 'plain', sharedTokens: 0, minUniqueTokens: 4, maxUniqueTokens: 16, minAnswerTokens: 1, maxAnswerTokens: 4, stream: false } as const

/** The laptop deployment: long inspection reports, short questions, tagging at night, reservations and stock checks. */
export const ATLASRENEW: Mix = {
  kinds: [
    { ...MODEL_DEFAULTS, name: 'inspection', service: 'listings', path: '/v1/chat/completions', tier: 'bench', rank: 2, weight: 12, sharedTokens: 1_024, minUniqueTokens: 600, maxUniqueTokens: 6_000, minAnswerTokens: 200, maxAnswerTokens: 800 },
    { ...MODEL_DEFAULTS, name: 'tagging', service: 'listings', path: '/v1/completions', tier: 'overnight', rank: 3, weight: 30, sharedTokens: 512, minUniqueTokens: 40, maxUniqueTokens: 300, minAnswerTokens: 10, maxAnswerTokens: 60, stream: false },
    { ...MODEL_DEFAULTS, name: 'question', service: 'support', path: '/v1/chat/completions', tier: 'shop', rank: 1, weight: 28, sharedTokens: 128, minUniqueTokens: 20, maxUniqueTokens: 120, minAnswerTokens: 20, maxAnswerTokens: 100 },
    { ...PLAIN_DEFAULTS, name: 'reservation', service: 'stock', method: 'POST', path: '/reservations', tier: 'reservation', rank: 0, nonIdempotent: true, weight: 10 },
    { ...PLAIN_DEFAULTS, name: 'stock-check', service: 'stock', method: 'GET', path: '/stock/item', tier: 'check', rank: 1, nonIdempotent: false, weight: 20 }
  ],
  organisations: [
    { organisation: 'derb-ghallef', weight: 40 },
    { organisation: 'maarif', weight: 35 },
    { organisation: 'ain-sebaa', weight: 10 },
    { organisation: 'sidi-maarouf', weight: 10 },
    { organisation: 'habous', weight: 5 }
  ]
}

/** The wool deployment: dossiers, lot summaries, interactive price questions, reservations and settlement queries. */
export const LANAUSTRO: Mix = {
  kinds: [
    { ...MODEL_DEFAULTS, name: 'dossier', service: 'dossiers', path: '/v1/chat/completions', tier: 'dossier', rank: 2, weight: 14, sharedTokens: 512, minUniqueTokens: 400, maxUniqueTokens: 3_500, minAnswerTokens: 300, maxAnswerTokens: 900 },
    { ...MODEL_DEFAULTS, name: 'summary', service: 'dossiers', path: '/v1/completions', tier: 'summary', rank: 3, weight: 16, sharedTokens: 256, minUniqueTokens: 100, maxUniqueTokens: 800, minAnswerTokens: 80, maxAnswerTokens: 250, stream: false },
    { ...MODEL_DEFAULTS, name: 'price', service: 'prices', path: '/v1/chat/completions', tier: 'question', rank: 1, weight: 40, sharedTokens: 128, minUniqueTokens: 15, maxUniqueTokens: 80, minAnswerTokens: 15, maxAnswerTokens: 80 },
    { ...PLAIN_DEFAULTS, name: 'reservation', service: 'auctions', method: 'POST', path: '/reservations', tier: 'reservation', rank: 0, nonIdempotent: true, weight: 12 },
    { ...PLAIN_DEFAULTS, name: 'settlement', service: 'auctions', method: 'GET', path: '/settlements/record', tier: 'settlement', rank: 1, nonIdempotent: false, weight: 18 }
  ],
  organisations: [
    { organisation: 'cooperativa-alta', weight: 35 },
    { organisation: 'cooperativa-baja', weight: 30 },
    { organisation: 'exportadores', weight: 20 },
    { organisation: 'hilanderias', weight: 8 },
    { organisation: 'corredores', weight: 7 }
  ]
}

function pickWeighted<Item extends { readonly weight: number }> (items: readonly Item[], random: protocol.Random): Item {
  let remainingWeight = random() * items.reduce((sum, item) => sum + item.weight, 0)
  for (const item of items) {
    remainingWeight -= item.weight
    if (remainingWeight < 0) return item
  }
  return items[items.length - 1] as Item
}

/** Draws a length from a log-uniform distribution, so that short lengths are as common as long ones. */
function drawLength (minLength: number, maxLength: number, random: protocol.Random): number {
  return Math.round(minLength * (maxLength / minLength) ** random())
}

/**
 * Draws one request from a mix.
 *
 * @example
 * ```ts
 * draw(ATLASRENEW, random).kind.name // 'question'
 * ```
 */
export function draw (mix: Mix, random: protocol.Random): DrawnRequest {
  const kind = pickWeighted(mix.kinds, random)
  return {
    kind,
    organisation: pickWeighted(mix.organisations, random).organisation,
    promptTokens: kind.sharedTokens + drawLength(kind.minUniqueTokens, kind.maxUniqueTokens, random),
    answerTokens: drawLength(kind.minAnswerTokens, kind.maxAnswerTokens, random)
  }
}

/**
 * Returns the text of a drawn prompt: a prefix that the organisation's requests of this kind share, then text unique
 * to the request.
 *
 * @example
 * ```ts
 * promptText(drawn, 'r17').length // about 4 characters a token
 * ```
 */
export function promptText (drawn: PromptSource, requestName: string, charactersPerToken: number): string {
  const sharedPrefix = repeatToLength(`${drawn.kind.name} for ${drawn.organisation}. `, drawn.kind.sharedTokens * charactersPerToken)
  return sharedPrefix + repeatToLength(`${requestName} says `, (drawn.promptTokens - drawn.kind.sharedTokens) * charactersPerToken)
}

function repeatToLength (text: string, length: number): string {
  return text.repeat(Math.ceil(length / text.length)).slice(0, length)
}
