/**
 * Daemons are stopped as planned and started again, in turn, while requesters send reservations on kept channels.
 * LOST: a reservation that a stopping daemon has read and passed on, and whose channel ends without an answer.
 */
import * as url from 'node:url'
import * as requesters from '../standins-2/requester.mjs'
import * as standins from '../standins-2/standins.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const GRACE_MS = 8_000
const GAP_MS = 1_000
const CALM_MS = 1_500
const LINK_MS = 3
const IDLE_LIMIT_MS = 15_000
const RESERVE_LIMIT_MS = 1_500
const REQUESTERS = 4_800
/** Mean time between two reservations of a requester. */
const MEAN_PAUSE_MS = 10_000
const STREAMS = 24
const LENGTH_MS = 104_000
const ENOUGH = 1

const { record, lines, nowMs, write } = standins.createRecord(process.argv[2] ?? url.fileURLToPath(new URL('record.txt', import.meta.url)))
const terminatedMs = new Map()
const sent = new Map()
const course = { isOver: false }
let nextAttempt = 0

const exponentialMs = (meanMs) => -Math.log(1 - Math.random()) * meanMs

function newAttempt (kind) {
  nextAttempt += 1
  return `${kind}-${nextAttempt}`
}

async function reserve (requester) {
  await standins.pause(exponentialMs(MEAN_PAUSE_MS) % 12_000)
  while (!course.isOver) {
    const channel = await requester.channelFor()
    if (channel !== undefined) {
      const attempt = newAttempt('reserve')
      const isKept = !channel.isFresh
      const daemon = channel.address.split(':')[0]
      const request = { daemon, isKept, sentMs: nowMs() }
      sent.set(attempt, request)
      record('sent', { attempt, to: daemon, kept: isKept })
      const answer = await Promise.race([
        channel.send(standins.requestText({ target: `/reserve/${attempt}`, attempt, remainingMs: RESERVE_LIMIT_MS })),
        standins.pause(RESERVE_LIMIT_MS).then(() => ({ how: 'time limit', status: 0 }))
      ])
      Object.assign(request, { how: answer.how, status: answer.status, isWhole: answer.isWhole === true, endedMs: nowMs() })
      if (answer.how === 'time limit') channel.close()
      record('ended', { attempt, how: answer.how, status: answer.status })
    }
    await standins.pause(exponentialMs(MEAN_PAUSE_MS))
  }
}

async function stream (requester) {
  while (!course.isOver) {
    const channel = await requester.channelFor()
    if (channel !== undefined) {
      const attempt = newAttempt('draft')
      await Promise.race([
        channel.send(standins.requestText({ target: `/draft/${attempt}`, attempt, remainingMs: 15_000, headers: { 'X-Model': 'm', 'X-Token-Usage': '6610,384', 'X-Prompt-Prefix': `ab:60,${nextAttempt.toString(16)}:6550` } })),
        standins.pause(15_000)
      ])
    }
    await standins.pause(exponentialMs(1_500))
  }
}

/**
 * Returns the reservations that were passed on, and whose kept channel then ended without a complete answer, around a
 * SIGTERM of their daemon. Those on new channels are recorded and don't count, as this process may be slow between the
 * opening of a channel and its first request.
 */
function findLost () {
  const ran = new Set(lines.filter(({ event }) => event === 'run').map(({ details }) => details.attempt))
  const isAroundStop = ({ daemon, sentMs }) => (terminatedMs.get(daemon) ?? []).some((atMs) => sentMs >= atMs && sentMs <= atMs + GRACE_MS + 1_000)
  return [...sent].filter(([attempt, request]) => request.isKept && ran.has(attempt) && (request.how === 'closed' || request.how === 'reset') && !request.isWhole && isAroundStop(request))
}

/** Returns whether an event is to be recorded: those of requests of the last second before a daemon closes its channels, and of the second after it. */
function isOfInterest ({ details }) {
  if (details.attempt === undefined) return true
  const request = sent.get(details.attempt)
  return request !== undefined && (terminatedMs.get(request.daemon) ?? []).some((atMs) => request.sentMs > atMs + 4_500 && request.sentMs < atMs + 5_500)
}

async function rollOver (fleet) {
  await Promise.all(fleet.machines.map(async (machine, index) => {
    await standins.pause(index * GAP_MS)
    const daemon = fleet.daemon(machine.name)
    record('SIGTERM', { daemon: machine.ip })
    terminatedMs.set(machine.ip, [...terminatedMs.get(machine.ip) ?? [], nowMs()])
    const killer = setTimeout(() => { daemon.child.kill('SIGKILL') }, GRACE_MS)
    daemon.child.kill('SIGTERM')
    await daemon.ended
    clearTimeout(killer)
    await standins.pause(300)
    fleet.start(machine)
    await standins.until(() => fleet.isReady(fleet.daemon(machine.name)), `${machine.name} ready again`)
    record('ready again', { daemon: machine.ip })
  }))
}

async function main () {
  const servers = await standins.startServers(record)
  const zones = ['casa-a', 'casa-b']
  for (const [index, zone] of [...zones, ...zones].entries()) {
    await servers.order('replica', { id: `i-counter-${index}`, service: 'counter-api', slots: 6, zone, work: { kind: 'plain', workMs: 21 } })
    await servers.order('replica', { id: `i-llm-${index}`, service: 'hatch-llm', slots: 12, zone, work: { kind: 'stream', firstMs: 100, intervalMs: 60, events: 64 } })
  }
  await servers.order('put', {
    key: 'op/config',
    value: standins.documentOf(2, {
      routes: [
        { name: 'unit-reserve', host: standins.HOST, prefix: '/reserve/', kind: 'non_idempotent', service: 'counter-api', timeoutMs: 800, targetLatencyMs: 121, priority: 2, maxAttempts: 1 },
        { name: 'listing-draft', host: standins.HOST, prefix: '/draft/', kind: 'streaming', service: 'hatch-llm', timeoutMs: 15_000, targetLatencyMs: 600, priority: 0, maxAttempts: 2, resumeStreams: true, stickySessions: true, gapAimMs: 300 }
      ],
      services: [{ name: 'counter-api', connectionLimit: 110 }, { name: 'hatch-llm', connectionLimit: 370, engine: { slots: 12, kvCapacityTokens: 791_555, stride: 6 } }]
    })
  })
  const fleet = await standins.startFleet({ daemons: 2, store: { address: servers.address }, zones, record })
  const open = Array.from({ length: REQUESTERS + STREAMS }, (_, index) => {
    const zone = zones[index % zones.length]
    const machines = [...fleet.machines].sort((a, b) => Number(b.zone === zone) - Number(a.zone === zone))
    return new requesters.Requester({ machines, zone, patience: index % 4 === 0 ? 3 : 1, delayMs: LINK_MS, idleLimitMs: IDLE_LIMIT_MS })
  })
  for (const requester of open.slice(0, REQUESTERS)) reserve(requester)
  for (const requester of open.slice(REQUESTERS)) stream(requester)
  await standins.pause(8_000)
  while (nowMs() < LENGTH_MS - 17_000 && findLost().length < ENOUGH) {
    if (HAS_TROUBLE) await rollOver(fleet)
    else await standins.pause(8_000)
    await standins.pause(CALM_MS)
  }
  course.isOver = true
  await standins.pause(RESERVE_LIMIT_MS + 200)
  for (const requester of open) requester.close()
  const lost = findLost()
  const outcomes = {}
  for (const { how = 'open', status } of sent.values()) outcomes[`${how} ${status}`] = 1 + (outcomes[`${how} ${status}`] ?? 0)
  const summary = [
    `reservations: ${JSON.stringify(outcomes)}; SIGTERMs: ${[...terminatedMs.values()].flat().length}`,
    ...lost.map(([attempt, { daemon, sentMs, endedMs }]) => `LOST ${attempt}: sent to ${daemon} ${((sentMs - Math.max(...terminatedMs.get(daemon).filter((atMs) => atMs <= sentMs))) / 1_000).toFixed(4)} s after its SIGTERM on a kept channel, run by a replica, and the channel ended after ${(endedMs - sentMs).toFixed(1)} ms without an answer`),
    lost.length > 0 ? `LOST is broken: ${lost.length}` : 'LOST holds'
  ].join('\n')
  write(summary, HAS_TROUBLE ? isOfInterest : ({ ms }) => ms < 20_000)
  process.stdout.write(`${summary}\n`)
  await fleet.close()
  await servers.close()
  return lost.length > 0 ? 1 : 0
}

main().then((code) => { process.exit(code) }, (error) => {
  process.stderr.write(`${String(error.stack)}\n`)
  process.exit(2)
})
