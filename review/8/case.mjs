/**
 * A daemon is stopped as planned while a replica is silent for a moment beside a long prompt, and the other replica is full.
 * LOST: streams that the daemon takes from the sound replica, offers to the full one, and then cuts.
 */
import * as url from 'node:url'
import * as standins from '../standins-2/standins.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const GRACE_MS = 8_000
const STREAMS = 4
const EVENTS = 20
const EVENT_MS = 60
const SILENT_AFTER = 8
/** A sound requester waits for four times the objective, 2.4 s here. Without trouble, events go on as before. */
const SILENT_MS = HAS_TROUBLE ? 1_800 : EVENT_MS
const OBJECTIVE_MS = 600
const LIMIT_MS = 15_000
const SLOTS = 6
/** Requests that a replica queues beyond its slots. */
const QUEUE = 2

const { record, lines, nowMs, write } = standins.createRecord(process.argv[2] ?? url.fileURLToPath(new URL('record.txt', import.meta.url)))

/** Sends a stream's request; a sound requester leaves after a gap of four times the objective. */
async function stream (daemon, attempt, outputTokens) {
  const channel = standins.openChannel(daemon.ip, daemon.front)
  await channel.connected
  const sentMs = nowMs()
  let lastMs = sentMs
  channel.socket.on('data', () => { lastMs = nowMs() })
  record('sent', { attempt, to: daemon.ip })
  const left = new Promise((resolve) => {
    const timer = setInterval(() => {
      if (nowMs() - lastMs <= 4 * OBJECTIVE_MS && nowMs() - sentMs <= LIMIT_MS && !channel.isClosed()) return
      clearInterval(timer)
      setTimeout(() => { resolve({ ...channel.partOfAnswer(), how: 'requester left' }) }, 50)
    }, 50)
  })
  const answer = await Promise.race([
    channel.send(standins.requestText({ target: `/draft/${attempt}`, attempt, remainingMs: LIMIT_MS, headers: { 'X-Model': 'm', 'X-Token-Usage': `1800,${outputTokens}`, 'X-Prompt-Prefix': `${Buffer.from(attempt).toString('hex').slice(-8)}:1800` } })),
    left
  ])
  const events = [...answer.body.matchAll(/^id: (\d+)$/gm)].length
  record('ended', { attempt, how: answer.how, status: answer.status, whole: answer.isWhole === true, events })
  channel.close()
  return { attempt, sentMs, endedMs: nowMs(), events, ...answer }
}

async function main () {
  const servers = await standins.startServers(record)
  const zones = ['casa-a', 'casa-b', 'casa-c', 'casa-d']
  const times = { kind: 'stream', firstMs: 100, intervalMs: EVENT_MS }
  await servers.order('put', {
    key: 'op/config',
    value: standins.documentOf(2, {
      routes: [{ name: 'listing-draft', host: standins.HOST, prefix: '/draft/', kind: 'streaming', service: 'hatch-llm', timeoutMs: LIMIT_MS, targetLatencyMs: OBJECTIVE_MS, priority: 0, maxAttempts: 2, resumeStreams: true, stickySessions: true, gapAimMs: 300 }],
      services: [{ name: 'hatch-llm', connectionLimit: 370, engine: { slots: SLOTS, kvCapacityTokens: 791_555, stride: 6 } }]
    })
  })
  await servers.order('replica', { id: 'i-full', service: 'hatch-llm', slots: SLOTS, queue: QUEUE, zone: 'casa-b', work: { ...times, events: 150 } })
  const fleet = await standins.startFleet({ daemons: 3, store: { address: servers.address }, zones, record })
  await standins.pause(3_500)
  // Streams of another daemon fill the first replica before the second one is there.
  const [stopped, other] = [fleet.daemon('front-1'), fleet.daemon('front-2')]
  const background = Array.from({ length: SLOTS }, (_, index) => stream(other, `other-${index}`, 900))
  await standins.until(() => lines.filter(({ event, details }) => event === 'run' && details.replica === 'i-full').length === SLOTS, 'the first replica is full')
  await servers.order('replica', { id: 'i-sound', service: 'hatch-llm', slots: 2 * SLOTS, queue: QUEUE, zone: 'casa-a', work: { ...times, events: EVENTS, silentAfter: SILENT_AFTER, silentMs: SILENT_MS } })
  await standins.pause(800)
  const streams = Array.from({ length: STREAMS }, (_, index) => stream(stopped, `draft-${index}`, 6 * EVENTS))
  await standins.pause(300)
  const signalledMs = nowMs()
  record('SIGTERM', { daemon: stopped.ip })
  stopped.child.kill('SIGTERM')
  setTimeout(() => { stopped.child.kill('SIGKILL') }, GRACE_MS).unref()
  const results = await Promise.all(streams)
  await standins.pause(300)
  const runsAt = (attempt) => lines.filter(({ event, details }) => event === 'run' && details.attempt === attempt).map(({ details }) => details.replica)
  const cut = results.filter(({ attempt, how, isWhole, sentMs, endedMs }) => runsAt(attempt).length > 0 && (how === 'closed' || how === 'reset') && isWhole !== true && endedMs - sentMs < LIMIT_MS)
  // The last sixth of the grace period is excused, as the requests were sent before the SIGTERM.
  const lost = cut.filter(({ endedMs }) => endedMs >= signalledMs && endedMs < signalledMs + GRACE_MS * 5 / 6)
  const summary = [
    ...results.map(({ attempt, how, status, events, sentMs, endedMs }) => `${attempt}: ${how} ${status} after ${events} of ${EVENTS} events and ${Math.round(endedMs - sentMs)} ms; run by ${runsAt(attempt).join(', ')}`),
    `cut by the daemon: ${cut.length} of ${results.length}, of these in a planned stop: ${lost.length}`,
    lost.length > 0 ? 'LOST is broken' : 'LOST holds'
  ].join('\n')
  write(summary)
  process.stdout.write(`${summary}\n`)
  await fleet.close()
  await servers.close()
  await Promise.all(background)
  return lost.length > 0 ? 1 : 0
}

main().then((code) => { process.exit(code) }, (error) => {
  process.stderr.write(`${String(error.stack)}\n`)
  process.exit(2)
})
