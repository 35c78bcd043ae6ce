/**
 * Lets peers that can't reach the store learn its contents from those that can.
 *
 * @module
 */
import * as hono from 'hono'
import * as undici from 'undici'
import type * as gatewayModule from './gateway.js'
import * as httpEndpoint from './http-endpoint.js'
import type * as knowledge from './knowledge.js'

/** Age of the last word from the store at which peers are asked, ms. */
const STORE_SILENCE_MS = 1_200

const INTERVAL_MS = 150

/** Least time between two questions, ms. */
const BETWEEN_MS = 600
const ANSWER_TIMEOUT_MS = 800

/** Where to answer and how old the store's last word is. */
export interface Options {
  readonly gateway: gatewayModule.Gateway
  /** `host:port` of this daemon's answers to peers. */
  readonly address: string
  readonly storeAgeMs: () => number
}

/** The running exchange. */
export interface KnowledgeExchange {
  readonly close: () => void
}

const KNOWLEDGE_PATH = '/v1/knowledge'

/**
 * Starts to answer peers, and to ask one when the store is silent or a peer holds a newer document.
 *
 * @example
 * ```ts
 * const exchange = await openKnowledgeExchange({ gateway, address: '10.1.0.25:7600', storeAgeMs })
 * ```
 */
export async function openKnowledgeExchange (options: Options): Promise<KnowledgeExchange> {
  const { gateway } = options
  let askedMs = -Infinity
  let asking = false

  async function ask (peer: string): Promise<void> {
    const response = await client.request({ origin: `http://${peer}`, path: KNOWLEDGE_PATH, method: 'GET', signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS) })
    const told = await response.body.json() as knowledge.Knowledge
    if (told.document !== undefined) gateway.adopt(told.document, peer)
    for (const fact of told.targets) gateway.learnTarget(fact, peer)
  }

  function choosePeer (): string | undefined {
    const newer = gateway.newerPeer()
    if (newer !== undefined) return newer
    if (options.storeAgeMs() < STORE_SILENCE_MS) return undefined
    const heard = gateway.heardPeers()
    return heard[Math.floor(Math.random() * heard.length)]
  }

  function askWhenDue (): void {
    const nowMs = performance.now()
    if (asking || nowMs - askedMs < BETWEEN_MS) return
    const peer = choosePeer()
    if (peer === undefined) return
    asking = true
    askedMs = nowMs
    ask(peer).catch((error: unknown) => {
      gateway.metrics.count('peer_questions_failed_total')
      gateway.log.change('peer did not answer', { peer, detail: String(error) })
    }).finally(() => { asking = false })
  }

  const client = new undici.Agent({ connect: { timeout: ANSWER_TIMEOUT_MS }, connections: 1 })
  const app = new hono.Hono()
  app.get(KNOWLEDGE_PATH, (context) => context.json(gateway.knowledge()))
  const endpoint = await httpEndpoint.openHttpEndpoint(options.address, app)
  const timer = setInterval(askWhenDue, INTERVAL_MS)
  return {
    close: () => {
      clearInterval(timer)
      endpoint.close()
      client.destroy().catch((error: unknown) => { gateway.log.change('peer client not closed', { error: String(error) }) })
    }
  }
}
