/**
 * Opening packets of new channels to a replica are dropped once, so that a daemon reaches it through its peers for a moment.
 * Then a peer is stopped as planned while it carries answers that have no length.
 */
import * as readline from 'node:readline'
import * as url from 'node:url'
import * as caller from '../standins/caller.mjs'
import * as storeModule from '../standins/store.mjs'
import * as system from '../standins/system.mjs'

const ID = 'i-7f3a91c2'
const SERVICE = 'engines'
const EVENTS = 90
const EVENT_GAP_MS = 100
/** Length of the replica's queue of new channels, and the time for which it takes none from it, ms. */
const QUEUE = 1
const BUSY_MS = 200
const CALLERS = 9
const STOP_AFTER_MS = 1_500
/** A planned stop; SIGNAL=SIGKILL kills the process instead. */
const SIGNAL = process.env.SIGNAL ?? 'SIGTERM'

const ROUTE = { name: 'draft', host: 'shop.example', prefix: '/draft/', kind: 'streaming', timeoutMs: 15_000, targetLatencyMs: 800, priority: 0, service: SERVICE, maxAttempts: 1, gapAimMs: 300, stickySessions: true }

function documentText () {
  return JSON.stringify({
    version: 7,
    routes: [ROUTE],
    services: [{ name: SERVICE, connectionLimit: 370, healthPath: '/health', engine: { slots: 12, kvCapacityTokens: 791_555, stride: 6 } }],
    tenants: [{ name: 'maarif', apiKeys: ['key-1'], unit: 'token_count', plainTokens: 200, ratePerS: 0, burst: 0 }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5_000, idleTimeoutMs: 15_000 }
  })
}

/** Starts the replica and registers it; `made` has the number of events that it has made for each request. */
async function startReplica (store) {
  const program = url.fileURLToPath(new URL('../standins/streaming-replica.mjs', import.meta.url))
  const child = system.startProcess(process.execPath, [program, ID, EVENTS, EVENT_GAP_MS, QUEUE].map(String), { stdio: ['ignore', 'pipe', 'inherit'] })
  const made = new Map()
  const port = await new Promise((resolve) => {
    readline.createInterface({ input: child.stdout }).on('line', (line) => {
      const report = JSON.parse(line)
      if (report.port !== undefined) resolve(report.port)
      if (report.end !== undefined) made.set(report.end, report.made)
    })
  })
  store.put(`servers/${ID}`, JSON.stringify({ service: SERVICE, address: `127.0.0.1:${port}`, zone: 'casa-a', version: 'v1', slots: 12, state: 'ready', coldRemainingMs: 0, sequence: 1, born: Date.now() }))
  return { child, made }
}

await system.runCase(url.fileURLToPath(new URL('.', import.meta.url)), async ({ note, atEnd }) => {
  const store = await storeModule.startStore()
  atEnd(store.close)
  store.put('op/config', documentText())
  const { child, made } = await startReplica(store)
  atEnd(() => { child.kill('SIGKILL') })
  const daemons = await system.startDaemons({ count: 3, storeAddress: store.address, note })
  atEnd(() => daemons.close())
  const [taker, ...peers] = daemons.daemons
  await system.delay(3_500)

  if (system.hasTrouble) {
    note(`the replica takes no new channels for ${BUSY_MS} ms`)
    child.kill('SIGSTOP')
    setTimeout(() => { child.kill('SIGCONT') }, BUSY_MS)
  }
  const results = Array.from({ length: CALLERS }, (_, index) => {
    const id = `stream-${index + 1}`
    note(`request ${id} is sent to ${taker.name}`)
    return caller.call({ daemon: taker, path: '/draft/2f', id, body: 'a', headers: { 'x-api-key': 'key-1', 'x-model': 'm', 'x-token-usage': '600,540', 'x-prompt-prefix': `5c1e07a2:60,91bd3f0${index}:540` } })
  })
  await system.delay(STOP_AFTER_MS)
  const carriers = []
  for (const peer of peers) {
    const carried = Number(/relayed_connections_total\{result="carried"\} (\d+)/.exec(await daemons.metrics(peer))?.[1] ?? 0)
    note(`${peer.name} has carried ${carried} connections`)
    carriers.push({ peer, carried })
  }
  if (system.hasTrouble) daemons.signal(carriers.sort((a, b) => b.carried - a.carried)[0].peer, SIGNAL)
  const outcomes = await Promise.all(results)
  await system.delay(200)

  let broken = 0
  for (const { id, status, headers, body, complete, error } of outcomes) {
    const received = body.toString().split('\n\n').length - 1
    note(`request ${id}: status ${status}, ${complete ? 'complete' : 'cut off'}, ${received} of ${EVENTS} events received; the replica made ${made.get(id) ?? 0}${error === undefined ? '' : ` (${error})`}`)
    const isSuccess = status === 200 && headers['x-server-signature'] !== undefined && complete
    if (isSuccess && received < EVENTS) broken += 1
  }
  note(`${broken} answers look complete and are not the replica's whole body`)
  return broken > 0 ? system.BROKEN : system.HELD
})
