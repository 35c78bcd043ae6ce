// Case 12: a request with many short header lines, within the limit of the header bytes, is run without its body.
import * as crypto from 'node:crypto'
import * as url from 'node:url'
import * as deployment from '../standins-3/deployment.mjs'
import { sleep } from '../standins-3/fleet.mjs'
import { Channel } from '../standins-3/requester.mjs'

const IS_TROUBLED = process.env.TROUBLE !== '0'
const DAEMONS = 3
const REQUESTS = 60
/** Short header lines of the requester's own, such as one for each serial number of a batch. */
const LINES = IS_TROUBLED ? 1_100 : 100
const REMAINING_MS = 1_500

const { fleet, runs, note, finish } = await deployment.startDeployment({ directory: url.fileURLToPath(new URL('.', import.meta.url)), daemons: DAEMONS })
const limit = setTimeout(() => { note('the case took too long'); finish(2) }, 60_000)
if (!await fleet.waitReady()) {
  note('the daemons are not ready')
  await finish(2)
}
note(`${DAEMONS} daemons are ready; TROUBLE is ${IS_TROUBLED ? 'on' : 'off'}: ${LINES} header lines besides the usual ones`)

const sent = []
const channels = new Map()
for (let number = 1; number <= REQUESTS; number += 1) {
  const daemon = fleet.daemons[number % DAEMONS]
  const attempt = `reserve-${number}`
  const body = Buffer.from(JSON.stringify({ reserve: `laptop ${number}`, buyer: `shop ${number % 7}` }))
  const headers = [...deployment.headersOf(attempt, REMAINING_MS), ...Array.from({ length: LINES }, (_, index) => [`s${index}`, '1']), ['Content-Length', String(body.length)]]
  // As in PROTOCOL.md's limits: names, values, and the separators and line ends between them.
  const headerBytes = headers.reduce((sum, [name, value]) => sum + name.length + value.length + 4, 0)
  if (headerBytes > deployment.LIMITS.maxHeaderBytes) {
    note(`the headers have ${headerBytes} bytes, which is over the limit`)
    await finish(2)
  }
  const channel = channels.get(daemon)?.isOpen === true ? channels.get(daemon) : new Channel(daemon.ip, daemon.front)
  channels.set(daemon, channel)
  const answer = await channel.request({ method: 'POST', path: '/reserve/7', headers, send: (socket) => { socket.write(body) }, timeoutMs: REMAINING_MS + 1_000 })
  sent.push({ attempt, daemon, body, headerBytes, answer })
  await sleep(20)
}
await sleep(500)
for (const channel of channels.values()) channel.close()
clearTimeout(limit)

let changed = 0
for (const { attempt, daemon, body, headerBytes, answer } of sent) {
  const hash = crypto.createHash('sha256').update(body).digest('hex').slice(0, 16)
  const own = runs.filter((run) => run.attempt === attempt)
  const others = own.filter((run) => run.hash !== hash || run.method !== 'POST' || run.path !== '/reserve/7')
  changed += others.length
  note(`${attempt} to ${daemon.name}: ${headerBytes} header bytes, body ${body.length} bytes ${hash}; answer ${answer.status} "${answer.body.slice(0, 60)}"; ${own.map((run) => `run at ${run.replica} with ${run.bytes} bytes ${run.hash}`).join(', ') || 'not run'}`)
}
// RULES.md, "Requests and answers": a replica runs a request with method, path, query or body changed.
const isBroken = changed > 0
note(isBroken ? `broken: ${changed} of ${REQUESTS} requests were run with another body than the one that was sent` : 'the rule held')
await finish(isBroken ? 1 : 0)
