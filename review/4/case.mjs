/**
 * A release: the first of three replicas has the new version. Sound replicas are silent for a while in the middle of their
 * streams, as long prompts beside them cause it, for less time than requesters bear. The settings of the daemon change
 * shortly before, which is planned work.
 */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'
import * as caller from '../standins/caller.mjs'
import * as replicaModule from '../standins/replica.mjs'
import * as storeModule from '../standins/store.mjs'
import * as system from '../standins/system.mjs'

const SERVICE = 'engines'
const VERSIONS = ['v1', 'v1', 'v2']
const EVENTS = 12
const EVENT_GAP_MS = 100
/** The event after which a replica is silent, and for how long. Requesters leave after 2,400 ms without an event. */
const SILENT_AFTER = 3
const SILENT_MS = system.hasTrouble ? 1_800 : 0
const CALLERS = 6
const SENT_AFTER_MS = 200
const CONFIG_APPLY_MS = 2_000
const TIME_LIMIT_MS = 15_000

const ROUTE = { name: 'draft', host: 'shop.example', prefix: '/draft/', kind: 'streaming', timeoutMs: TIME_LIMIT_MS, targetLatencyMs: 600, priority: 0, service: SERVICE, maxAttempts: 2, resumeStreams: true, gapAimMs: 300, stickySessions: true }

function documentText () {
  return JSON.stringify({
    version: 7,
    routes: [ROUTE],
    services: [{ name: SERVICE, connectionLimit: 370, healthPath: '/health', engine: { slots: 12, kvCapacityTokens: 791_555, stride: 6 } }],
    tenants: [{ name: 'maarif', apiKeys: ['key-1'], unit: 'token_count', plainTokens: 200, ratePerS: 0, burst: 0 }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5_000, idleTimeoutMs: 15_000 }
  })
}

/** Streams events, from the one after which the run is resumed; a run that is resumed meets no further silence. */
async function stream (run, answer) {
  const resumedAfter = Number(run.headers['last-event-id'] ?? 0)
  answer.beginStream()
  for (let number = resumedAfter + 1; number <= EVENTS && !run.isLeft; number += 1) {
    await system.delay(EVENT_GAP_MS)
    if (run.isLeft) return
    answer.write(replicaModule.eventOf(number))
    if (number === SILENT_AFTER && resumedAfter === 0) await system.delay(SILENT_MS)
  }
  if (!run.isLeft) answer.endStream()
}

/** Changes a bound in the settings file of a daemon, and tells the daemon. */
function changeSettings (daemons, daemon) {
  const file = path.join(daemons.folder, `${daemon.name}.conf`)
  fs.writeFileSync(file, fs.readFileSync(file, 'utf8').replace('bounds.budgetExtraRetries=58', 'bounds.budgetExtraRetries=57'))
  daemons.signal(daemon, 'SIGHUP')
}

await system.runCase(url.fileURLToPath(new URL('.', import.meta.url)), async ({ note, atEnd }) => {
  const store = await storeModule.startStore()
  atEnd(store.close)
  store.put('op/config', documentText())
  const replicas = []
  for (const [index, version] of VERSIONS.entries()) {
    const replica = await replicaModule.startReplica({ id: `i-7f3a91c${index}`, service: SERVICE, version, store, note, handle: (run, answer) => { stream(run, answer).catch(() => {}) } })
    replicas.push(replica)
    atEnd(replica.close)
  }
  const daemons = await system.startDaemons({ count: 4, storeAddress: store.address, note })
  atEnd(() => daemons.close())
  const [taker] = daemons.daemons
  await system.delay(3_500)

  changeSettings(daemons, taker)
  const hupMs = performance.now()
  await system.delay(SENT_AFTER_MS)
  note(`${CALLERS} requests are sent to ${taker.name}`)
  const results = await Promise.all(Array.from({ length: CALLERS }, (_, index) => {
    const id = `draft-${index + 1}`
    return caller.call({ daemon: taker, path: '/draft/2f', id, body: `report ${index}`, remainingMs: TIME_LIMIT_MS, headers: { 'x-api-key': 'key-1', 'x-model': 'm', 'x-token-usage': `600,${EVENTS * 6}`, 'x-prompt-prefix': `5c1e07a2:60,91bd3f${index + 10}:540` } })
  }))
  let broken = 0
  for (const { id, status, complete, error, body, sentMs, endedMs } of results) {
    const runs = replicas.flatMap((replica, index) => replica.runs.filter(({ attempt }) => attempt === id).map((run) => ({ ...run, at: `${replica.id} (${VERSIONS[index]})` })))
    note(`request ${id}: run by ${runs.map(({ at, isWhole }) => `${at}${isWhole ? '' : ', left by the daemon'}`).join(' and ')}; status ${status}, ${complete ? 'complete' : 'cut off'} after ${Math.round(endedMs - sentMs)} ms, ${body.toString().split('\n\n').length - 1} of ${EVENTS} events${error === undefined ? '' : ` (${error})`}`)
    const isCounted = runs.length > 0 && sentMs - hupMs < CONFIG_APPLY_MS && endedMs - sentMs < TIME_LIMIT_MS
    if (isCounted && !complete) broken += 1
  }
  note(`${broken} requests were passed on to sound replicas, and their channel ended without a complete answer`)
  return broken > 0 ? system.BROKEN : system.HELD
})
