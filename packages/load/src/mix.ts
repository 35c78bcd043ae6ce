/**
 * The two deployments' mixes of requests.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/** One kind of request in a mix. Lengths are tokens; each request draws its own between the bounds. */
export interface Kind {
  readonly name: string
  readonly service: string
  readonly target: 'model' | 'plain'
  readonly method: string
  readonly path: string
  readonly tier: string
  readonly rank: protocol.Rank
  readonly nonIdempotent: boolean
  /** Share of all requests, as a weight. */
  readonly weight: number
  /** Length of the prompt's beginning, which requests of one organisation share. */
  readonly sharedTokens: number
  readonly leastTokens: number
  readonly mostTokens: number
  readonly leastAnswerTokens: number
  readonly mostAnswerTokens: number
  readonly stream: boolean
}

/** An organisation's share of the arrivals, as a weight. */
export interface Share {
  readonly organisation: string
  readonly weight: number
}

/** A deployment's mix. */
export interface Mix {
  readonly kinds: readonly Kind[]
  readonly organisations: readonly Share[]
}

/** One drawn request, without its text. */
export interface Draw {
  readonly kind: Kind
  readonly organisation: string
  readonly promptTokens: number
  readonly answerTokens: number
}

/** What decides a prompt's text. */
export interface Prompt extends Pick<Draw, 'organisation' | 'promptTokens'> {
  readonly kind: Pick<Kind, 'name' | 'sharedTokens'>
}

const MODEL = { target: 'model', method: 'POST', nonIdempotent: false, stream: true } as const
const PLAIN = { target: 'plain', sharedTokens: 0, leastTokens: 4, mostTokens: 16, leastAnswerTokens: 1, mostAnswerTokens: 4, stream: false } as const

/** Laptops: long inspection reports, short questions, tagging at night, reservations and stock checks. */
export const ATLASRENEW: Mix = {
  kinds: [
    { ...MODEL, name: 'inspection', service: 'listings', path: '/v1/chat/completions', tier: 'bench', rank: 2, weight: 12, sharedTokens: 1_024, leastTokens: 600, mostTokens: 6_000, leastAnswerTokens: 200, mostAnswerTokens: 800 },
    { ...MODEL, name: 'tagging', service: 'listings', path: '/v1/completions', tier: 'overnight', rank: 3, weight: 30, sharedTokens: 512, leastTokens: 40, mostTokens: 300, leastAnswerTokens: 10, mostAnswerTokens: 60, stream: false },
    { ...MODEL, name: 'question', service: 'support', path: '/v1/chat/completions', tier: 'shop', rank: 1, weight: 28, sharedTokens: 128, leastTokens: 20, mostTokens: 120, leastAnswerTokens: 20, mostAnswerTokens: 100 },
    { ...PLAIN, name: 'reservation', service: 'stock', method: 'POST', path: '/reservations', tier: 'reservation', rank: 0, nonIdempotent: true, weight: 10 },
    { ...PLAIN, name: 'stock-check', service: 'stock', method: 'GET', path: '/stock/item', tier: 'check', rank: 1, nonIdempotent: false, weight: 20 }
  ],
  organisations: [
    { organisation: 'derb-ghallef', weight: 40 },
    { organisation: 'maarif', weight: 35 },
    { organisation: 'ain-sebaa', weight: 10 },
    { organisation: 'sidi-maarouf', weight: 10 },
    { organisation: 'habous', weight: 5 }
  ]
}

/** Wool: dossiers, lot summaries, price questions with a person waiting, reservations and settlement look-ups. */
export const LANAUSTRO: Mix = {
  kinds: [
    { ...MODEL, name: 'dossier', service: 'dossiers', path: '/v1/chat/completions', tier: 'dossier', rank: 2, weight: 14, sharedTokens: 512, leastTokens: 400, mostTokens: 3_500, leastAnswerTokens: 300, mostAnswerTokens: 900 },
    { ...MODEL, name: 'summary', service: 'dossiers', path: '/v1/completions', tier: 'summary', rank: 3, weight: 16, sharedTokens: 256, leastTokens: 100, mostTokens: 800, leastAnswerTokens: 80, mostAnswerTokens: 250, stream: false },
    { ...MODEL, name: 'price', service: 'prices', path: '/v1/chat/completions', tier: 'question', rank: 1, weight: 40, sharedTokens: 128, leastTokens: 15, mostTokens: 80, leastAnswerTokens: 15, mostAnswerTokens: 80 },
    { ...PLAIN, name: 'reservation', service: 'auctions', method: 'POST', path: '/reservations', tier: 'reservation', rank: 0, nonIdempotent: true, weight: 12 },
    { ...PLAIN, name: 'settlement', service: 'auctions', method: 'GET', path: '/settlements/record', tier: 'settlement', rank: 1, nonIdempotent: false, weight: 18 }
  ],
  organisations: [
    { organisation: 'cooperativa-alta', weight: 35 },
    { organisation: 'cooperativa-baja', weight: 30 },
    { organisation: 'exportadores', weight: 20 },
    { organisation: 'hilanderias', weight: 8 },
    { organisation: 'corredores', weight: 7 }
  ]
}

function pick<Item extends { readonly weight: number }> (items: readonly Item[], random: protocol.Random): Item {
  let left = random() * items.reduce((sum, item) => sum + item.weight, 0)
  for (const item of items) {
    left -= item.weight
    if (left < 0) return item
  }
  return items[items.length - 1] as Item
}

/** A length between the bounds, evenly spread on a logarithmic scale, so that short ones are as common as long ones. */
function between (least: number, most: number, random: protocol.Random): number {
  return Math.round(least * (most / least) ** random())
}

/**
 * Draws one request of a mix.
 *
 * @example
 * ```ts
 * draw(ATLASRENEW, random).kind.name // 'question'
 * ```
 */
export function draw (mix: Mix, random: protocol.Random): Draw {
  const kind = pick(mix.kinds, random)
  return {
    kind,
    organisation: pick(mix.organisations, random).organisation,
    promptTokens: kind.sharedTokens + between(kind.leastTokens, kind.mostTokens, random),
    answerTokens: between(kind.leastAnswerTokens, kind.mostAnswerTokens, random)
  }
}

/**
 * The text of a drawn prompt: a beginning that the organisation's requests of this kind share, then
 * text of its own.
 *
 * @example
 * ```ts
 * promptText(drawn, 'r17').length // about 4 characters a token
 * ```
 */
export function promptText (drawn: Prompt, name: string, charactersPerToken: number): string {
  const shared = repeat(`${drawn.kind.name} for ${drawn.organisation}. `, drawn.kind.sharedTokens * charactersPerToken)
  return shared + repeat(`${name} says `, (drawn.promptTokens - drawn.kind.sharedTokens) * charactersPerToken)
}

function repeat (text: string, length: number): string {
  return text.repeat(Math.ceil(length / text.length)).slice(0, length)
}
