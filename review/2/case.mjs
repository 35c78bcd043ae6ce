/**
 * Another writer puts an entry under `servers/` whose address is none. Requesters keep sending on kept channels. The platform
 * starts a daemon that has ended again, as it does on the users' machines.
 */
import * as http from 'node:http'
import * as url from 'node:url'
import * as caller from '../standins/caller.mjs'
import * as replicaModule from '../standins/replica.mjs'
import * as storeModule from '../standins/store.mjs'
import * as system from '../standins/system.mjs'

const SERVICE = 'stock'
const REPLICAS = 4
const WORK_MS = 200
const CHANNELS = 7
const STABLE_MS = 3_500
const DAY_MS = 8_000
const RESTART_MS = 500
const PAUSE_MS = 50
/** The rule allows three; a channel that is closed without an answer beyond that breaks it. */
const ALLOWED_LOSSES = 3
const MAX_LINES = 12

/** Its port is above 65,535, so this is no address. All other fields are those of a replica. */
const FOREIGN_ENTRY = { service: SERVICE, address: '127.0.0.1:99999', zone: 'casa-a', version: 'v1', slots: 6, state: 'ready', coldRemainingMs: 0, sequence: 1, born: 1_764_841_234_567 }

function documentText () {
  return JSON.stringify({
    version: 7,
    routes: [{ name: 'book', host: 'shop.example', prefix: '/book/', kind: 'non_idempotent', timeoutMs: 1_500, targetLatencyMs: 400, priority: 0, service: SERVICE, maxAttempts: 1 }],
    services: [{ name: SERVICE, connectionLimit: 110, healthPath: '/health' }],
    tenants: [{ name: 'maarif', apiKeys: ['key-1'], unit: 'token_count', plainTokens: 200, ratePerS: 0, burst: 0 }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5_000, idleTimeoutMs: 15_000 }
  })
}

await system.runCase(url.fileURLToPath(new URL('.', import.meta.url)), async ({ note, atEnd }) => {
  const store = await storeModule.startStore()
  atEnd(store.close)
  store.put('op/config', documentText())
  const answer = (run, { answer }) => { setTimeout(() => { answer(Buffer.alloc(800, 'b')) }, WORK_MS) }
  const replicas = await Promise.all(Array.from({ length: REPLICAS }, (_, index) => replicaModule.startReplica({ id: `i-7f3a91c${index}`, service: SERVICE, slots: 6, queue: 24, store, note, handle: answer })))
  for (const replica of replicas) atEnd(replica.close)
  const daemons = await system.startDaemons({ count: 3, storeAddress: store.address, note })
  const current = [...daemons.daemons]
  atEnd(async () => { await daemons.close(current) })
  const ends = new Map(current.map(({ name }) => [name, 0]))
  const day = { isOver: false }

  /** Starts a daemon again a short time after it has ended. */
  async function supervise (index) {
    await current[index].ended
    if (day.isOver) return
    ends.set(current[index].name, ends.get(current[index].name) + 1)
    await system.delay(RESTART_MS)
    if (day.isOver) return
    current[index] = daemons.restart(current[index])
    await supervise(index)
  }
  for (const index of current.keys()) supervise(index).catch((error) => { note(String(error)) })

  const results = []
  let sent = 0

  /** Sends one request after the other on a channel that is kept. */
  async function sendAll (index, agent) {
    while (!day.isOver) {
      const daemon = current[index]
      sent += 1
      const result = await caller.call({ daemon, path: '/book/2f', id: `book-${sent}`, body: 'a', remainingMs: 1_500, agent, headers: { 'x-api-key': 'key-1' } })
      results.push({ ...result, boot: daemon })
      await system.delay(result.status === 200 ? 0 : PAUSE_MS)
    }
  }
  const agents = current.map(() => new http.Agent({ keepAlive: true, maxSockets: CHANNELS }))
  const senders = current.flatMap((_, index) => Array.from({ length: CHANNELS }, () => sendAll(index, agents[index])))
  await system.delay(STABLE_MS)
  if (system.hasTrouble) {
    note(`another writer writes servers/i-0b51 = ${JSON.stringify(FOREIGN_ENTRY)}`)
    store.put('servers/i-0b51', JSON.stringify(FOREIGN_ENTRY))
  }
  await system.delay(DAY_MS)
  day.isOver = true
  await Promise.all(senders)
  for (const agent of agents) agent.destroy()

  const runs = new Map(replicas.flatMap((replica) => replica.runs.map((run) => [run.attempt, replica.id])))
  let broken = false
  for (const first of daemons.daemons) {
    const own = results.filter(({ boot }) => boot === first)
    const lost = own.filter(({ id, isKept, status }) => isKept && status === 0 && runs.has(id))
    for (const { id, error } of lost.slice(0, MAX_LINES)) note(`request ${id}: sent on a kept channel to ${first.name}, run by replica ${runs.get(id)}, its channel was closed without an answer (${error})`)
    note(`${first.name}: ${own.length} requests in its first life, ${own.filter(({ status }) => status === 200).length} answered with 200, ${lost.length} lost on kept channels after they had been passed on; ended by itself ${ends.get(first.name)} times`)
    if (lost.length > ALLOWED_LOSSES) broken = true
  }
  note(`${results.length} requests in all, ${results.filter(({ status }) => status === 200).length} answered with 200`)
  return broken ? system.BROKEN : system.HELD
})
