/**
 * The two daemons of a small deployment are stopped and started in turn, a second apart. Requests that are sent 4.5 s after
 * the second SIGTERM, to the only address that the directory names, are accepted. Some wait for a slot, and some have begun
 * to stream, when the process exits, half a second before the end of the grace period.
 */
import * as url from 'node:url'
import * as caller from '../standins/caller.mjs'
import * as replicaModule from '../standins/replica.mjs'
import * as storeModule from '../standins/store.mjs'
import * as system from '../standins/system.mjs'

const GRACE_MS = 8_000
/** Time between the two stops, and from the end of a process to its next start, ms. */
const GAP_MS = 1_000
const RESTART_MS = 500
/** The rule doesn't count requests that were sent earlier and are still at work near the end of the grace period. */
const EXCUSED_MS = 3_000
const LOSS_SLACK_MS = 200
const SENT_AFTER_MS = { tag: 4_500, wait: 4_600 }
const CALLERS = 3
/** Streams of the service `full` that take all its slots; they end well after the stop. */
const LONG_STREAMS = 14
const LONG_EVENTS = 120
const EVENT_GAP_MS = 100
const TAG_EVENTS = 4
/** Time for which a replica that has preempted the newest request doesn't go on with it. */
const PREEMPTED_MS = 3_000
const SERVICES = { tag: 'engines', wait: 'full', long: 'full' }
const TOKENS = { tag: '600,24', wait: '600,24', long: '600,720' }

function routeOf (name, targetLatencyMs) {
  return { name, host: 'shop.example', prefix: `/${name}/`, kind: 'streaming', timeoutMs: 15_000, targetLatencyMs, priority: 0, service: SERVICES[name], maxAttempts: 1, gapAimMs: 300, stickySessions: true }
}

function documentText () {
  const engine = { slots: 12, kvCapacityTokens: 791_555, stride: 6 }
  return JSON.stringify({
    version: 7,
    routes: [routeOf('tag', 1_200), routeOf('wait', 2_500), routeOf('long', 2_500)],
    services: ['engines', 'full'].map((name) => ({ name, connectionLimit: 370, healthPath: '/health', engine })),
    tenants: [{ name: 'maarif', apiKeys: ['key-1'], unit: 'token_count', plainTokens: 200, ratePerS: 0, burst: 0 }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5_000, idleTimeoutMs: 15_000 }
  })
}

async function stream (run, answer, events, preemptedMs) {
  answer.beginStream()
  for (let number = 1; number <= events && !run.isLeft; number += 1) {
    await system.delay(EVENT_GAP_MS)
    if (run.isLeft) return
    answer.write(replicaModule.eventOf(number))
    if (number === 1) await system.delay(preemptedMs)
  }
  if (!run.isLeft) answer.endStream()
}

await system.runCase(url.fileURLToPath(new URL('.', import.meta.url)), async ({ note, atEnd }) => {
  const store = await storeModule.startStore()
  atEnd(store.close)
  store.put('op/config', documentText())
  const handleTag = (run, answer) => { stream(run, answer, TAG_EVENTS, PREEMPTED_MS).catch(() => {}) }
  const handleFull = (run, answer) => { stream(run, answer, run.path.startsWith('/long/') ? LONG_EVENTS : TAG_EVENTS, 0).catch(() => {}) }
  const replicas = {
    engines: await replicaModule.startReplica({ id: 'i-7f3a91c2', service: 'engines', store, note, handle: handleTag }),
    full: await replicaModule.startReplica({ id: 'i-02d9e6b4', service: 'full', store, note, handle: handleFull })
  }
  for (const replica of Object.values(replicas)) atEnd(replica.close)
  const daemons = await system.startDaemons({ count: 2, storeAddress: store.address, note })
  const [taker, other] = daemons.daemons
  const all = [taker, other]
  atEnd(async () => { await daemons.close(all) })
  await system.delay(3_500)

  async function send (kind, number) {
    const [address] = await daemons.addressesOf(taker)
    const daemon = daemons.daemons.find(({ ip, frontPort }) => address === `${ip}:${frontPort}`)
    const id = `${kind}-${number}`
    const result = caller.call({ daemon, path: `/${kind}/2f`, id, body: 'a', headers: { 'x-api-key': 'key-1', 'x-model': 'm', 'x-token-usage': TOKENS[kind], 'x-prompt-prefix': `5c1e07a2:60,91bd3f0${number}:540` } })
    return { ...await result, kind }
  }

  const long = Array.from({ length: LONG_STREAMS }, (_, index) => send('long', index + 1))
  await system.delay(1_000)
  /** Starts a daemon again after its planned stop, as the platform does. */
  async function startAgain (daemon) {
    await daemon.ended
    await system.delay(RESTART_MS)
    all.push(daemons.restart(daemon))
  }
  if (system.hasTrouble) {
    daemons.signal(other, 'SIGTERM')
    startAgain(other).catch((error) => { note(error.message) })
  }
  await system.delay(GAP_MS)
  const termMs = performance.now()
  if (system.hasTrouble) daemons.signal(taker, 'SIGTERM')
  const results = []
  for (const kind of Object.keys(SENT_AFTER_MS)) {
    await system.delay(Math.max(0, SENT_AFTER_MS[kind] - (performance.now() - termMs)))
    note(`${CALLERS} requests '${kind}' are sent; the directory names ${(await daemons.addressesOf(taker)).join(' and ')}`)
    results.push(...Array.from({ length: CALLERS }, (_, index) => send(kind, index + 1)))
  }
  let broken = 0
  for (const { id, kind, status, complete, error, body, sentMs, endedMs } of await Promise.all(results)) {
    const run = replicas[SERVICES[kind]].runs.find(({ attempt }) => attempt === id)
    note(`request ${id}: sent ${((sentMs - termMs) / 1_000).toFixed(2)} s after the time of the stop, ${run === undefined ? 'not run' : 'run'}, ended after ${Math.round(endedMs - sentMs)} ms with status ${status}, ${complete ? 'complete' : 'no complete answer'}, ${body.length} bytes${error === undefined ? '' : ` (${error})`}`)
    const isCounted = sentMs - termMs > EXCUSED_MS && endedMs - termMs < GRACE_MS && (run !== undefined || endedMs - sentMs > LOSS_SLACK_MS)
    if (isCounted && !complete) broken += 1
  }
  note(`${(await Promise.all(long)).filter(({ complete }) => complete).length} of ${LONG_STREAMS} long streams are complete; they aren't judged`)
  note(`${broken} requests were read, and their channel ended without a complete answer`)
  return broken > 0 ? system.BROKEN : system.HELD
})
