/**
 * A daemon is stopped as planned while it serves resumable streams whose ids increase by six, one for each token of an event.
 * LOST: streams that a sound replica runs and that the daemon cuts.
 */
import * as url from 'node:url'
import * as standins from '../standins-2/standins.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const GRACE_MS = 8_000
/** Without trouble, ids are consecutive. */
const ID_STEP = HAS_TROUBLE ? 6 : 1
const STREAMS = 6
const EVENTS = 24
const LIMIT_MS = 15_000

const { record, lines, nowMs, write } = standins.createRecord(process.argv[2] ?? url.fileURLToPath(new URL('record.txt', import.meta.url)))

async function stream (daemon, index) {
  const attempt = `draft-${index}`
  const channel = standins.openChannel(daemon.ip, daemon.front)
  await channel.connected
  const sentMs = nowMs()
  record('sent', { attempt, to: daemon.ip })
  const answer = await Promise.race([
    channel.send(standins.requestText({ target: `/draft/${attempt}`, attempt, remainingMs: LIMIT_MS, headers: { 'X-Model': 'm', 'X-Token-Usage': '6610,144', 'X-Prompt-Prefix': `${(index + 10).toString(16)}:6610` } })),
    standins.pause(LIMIT_MS).then(() => ({ how: 'time limit', status: 0, body: '' }))
  ])
  const events = [...answer.body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id))
  record('ended', { attempt, how: answer.how, status: answer.status, whole: answer.isWhole === true, ids: events.join('+') })
  channel.close()
  return { attempt, sentMs, endedMs: nowMs(), events: events.length, ...answer }
}

async function main () {
  const servers = await standins.startServers(record)
  const zones = ['casa-a', 'casa-b', 'casa-c', 'casa-d']
  for (const [index, zone] of zones.entries()) {
    await servers.order('replica', { id: `i-llm-${index}`, service: 'hatch-llm', slots: 12, zone, work: { kind: 'stream', firstMs: 100, intervalMs: 60, events: EVENTS, idStep: ID_STEP } })
  }
  await servers.order('put', {
    key: 'op/config',
    value: standins.documentOf(2, {
      routes: [{ name: 'listing-draft', host: standins.HOST, prefix: '/draft/', kind: 'streaming', service: 'hatch-llm', timeoutMs: 15_000, targetLatencyMs: 600, priority: 0, maxAttempts: 2, resumeStreams: true, stickySessions: true, gapAimMs: 300 }],
      services: [{ name: 'hatch-llm', connectionLimit: 370, engine: { slots: 12, kvCapacityTokens: 791_555, stride: 6 } }]
    })
  })
  const fleet = await standins.startFleet({ daemons: 4, store: { address: servers.address }, zones, record })
  await standins.pause(3_500)
  const daemon = fleet.daemon('front-1')
  record('SIGTERM', { daemon: daemon.ip })
  const signalledMs = nowMs()
  daemon.child.kill('SIGTERM')
  setTimeout(() => { daemon.child.kill('SIGKILL') }, GRACE_MS).unref()
  // Requesters keep addresses for up to three times their time to live of 1 s.
  await standins.pause(200)
  const results = await Promise.all(Array.from({ length: STREAMS }, (_, index) => stream(daemon, index)))
  await standins.pause(300)
  const ran = new Set(lines.filter(({ event }) => event === 'run').map(({ details }) => details.attempt))
  // The last sixth of the grace period is excused.
  const lost = results.filter(({ attempt, how, isWhole, endedMs }) => ran.has(attempt) && (how === 'closed' || how === 'reset') && isWhole !== true && endedMs < signalledMs + GRACE_MS * 5 / 6)
  const summary = [
    ...results.map(({ attempt, how, status, events, sentMs, endedMs }) => `${attempt}: ${how} ${status} after ${events} of ${EVENTS} events and ${Math.round(endedMs - sentMs)} ms`),
    lost.length > 0 ? `LOST is broken: ${lost.length} of ${results.length} streams cut` : 'LOST holds'
  ].join('\n')
  write(summary)
  process.stdout.write(`${summary}\n`)
  await fleet.close()
  await servers.close()
  return lost.length > 0 ? 1 : 0
}

main().then((code) => { process.exit(code) }, (error) => {
  process.stderr.write(`${String(error.stack)}\n`)
  process.exit(2)
})
