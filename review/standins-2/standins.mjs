/**
 * Stand-ins for the scripts of this review: the platform's store, replicas, requesters and a link, and the start of the
 * project's daemons as the deploy file starts them. All addresses are loopback addresses.
 */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as http from 'node:http'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'

const ROOT = url.fileURLToPath(new URL('../..', import.meta.url))

/** The ports of a front machine. Each machine has its own loopback address. */
const FRONT_PORT = 18_221
const READY_PORT = 18_224
export const DIRECTORY_PORT = 18_220
const CONTROL_PORT = 18_229

export const HOST = 'ficu95.example'

/** The loopback network of this run, so that several runs don't meet. */
export const NETWORK = `127.${64 + process.pid % 128}.${1 + (process.pid >> 7) % 250}`

export function pause (ms) {
  return new Promise((resolve) => { setTimeout(resolve, ms) })
}

/** Calls `done` once the condition holds, and fails after a time. */
export async function until (condition, what, limitMs = 15_000) {
  const endMs = Date.now() + limitMs
  while (!await condition()) {
    if (Date.now() > endMs) throw new CannotRun(`${what} did not happen within ${limitMs} ms`)
    await pause(25)
  }
}

/** The case could not run, which says nothing about the rule. */
export class CannotRun extends Error {}

async function listen (server, host, port = 0) {
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return server.address().port
}

/** The platform's store: items, history, watches, conditional writes and leases. */
export async function openStore (host = '127.0.0.1') {
  const items = new Map()
  const history = []
  const watches = new Set()
  let revision = 1
  let nextLease = 1
  let isDown = () => false

  function write (key, value, lease) {
    if (value === undefined) items.delete(key)
    else items.set(key, { key, value, revision, created: items.get(key)?.created ?? revision, lease })
    history.push(value === undefined ? { key, revision, tombstone: true } : items.get(key))
    for (const check of [...watches]) check()
  }

  function put (key, text) {
    revision += 1
    write(key, Buffer.from(text).toString('base64'), 0)
  }

  function remove (key) {
    if (!items.has(key)) return
    revision += 1
    write(key, undefined, 0)
  }

  function range (query) {
    const prefix = query.get('prefix') ?? ''
    const after = query.get('after') ?? ''
    const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1)
    return [200, { items: found.slice(0, 500), hasMore: found.length > 500, storeRevision: revision }]
  }

  async function watch (query) {
    const prefix = query.get('prefix') ?? ''
    const after = Number(query.get('after'))
    const events = () => history.filter((change) => change.revision > after && change.key.startsWith(prefix))
    if (events().length === 0) {
      await new Promise((resolve) => {
        const end = () => {
          clearTimeout(timer)
          watches.delete(check)
          resolve()
        }
        const check = () => { if (events().length > 0) end() }
        const timer = setTimeout(end, Number(query.get('waitMs')))
        watches.add(check)
      })
    }
    return [200, { events: events(), storeRevision: revision }]
  }

  function transact ({ expectedRevision = [], writes = [], remove: keys = [] }) {
    const current = expectedRevision.map(({ key }) => items.get(key) ?? { key, revision: 0 })
    if (expectedRevision.some((expected, index) => expected.revision !== current[index].revision)) return [412, { items: current }]
    revision += 1
    for (const item of writes) write(item.key, item.value, item.lease)
    for (const key of keys) write(key, undefined, 0)
    return [200, { revision }]
  }

  async function answer (call, id, query, body) {
    switch (call) {
      case 'kv-key': {
        const item = items.get(query.get('key') ?? '')
        return item === undefined ? [404, {}] : [200, { ...item, storeRevision: revision }]
      }
      case 'kv-range': return range(query)
      case 'kv-watch': return await watch(query)
      case 'kv-txn': return transact(JSON.parse(body))
      case 'kv-lease': return [200, { lease: nextLease++, ttlMs: JSON.parse(body).ttlMs }]
      case 'kv-keep': return [200, { ttlMs: 600_000 }]
      default: return [200, {}]
    }
  }

  const server = http.createServer((incoming, outgoing) => {
    let body = ''
    incoming.setEncoding('utf8').on('data', (text) => { body += text })
    incoming.on('end', () => {
      const { pathname, searchParams } = new URL(incoming.url, 'http://store')
      const [, , call, id] = pathname.split('/')
      if (isDown(incoming.socket.remoteAddress)) {
        outgoing.writeHead(503).end()
        return
      }
      answer(call, id, searchParams, body).then(([status, value]) => {
        outgoing.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(value))
      }, () => { outgoing.writeHead(400).end() })
    })
  })
  const port = await listen(server, host)
  return {
    address: `${host}:${port}`,
    put,
    remove,
    setDown: (next) => { isDown = next },
    close: () => {
      server.closeAllConnections()
      server.close()
    }
  }
}

/**
 * A replica. It runs `slots` requests at once, queues `queue` more, rejects the others as not run, and
 * echoes the id. It drops a request when its channel closes, unless `drops` is false. `run` answers one request and returns when it is done.
 */
export async function openReplica ({ id, host, service, slots, zone, store, record, run, queue = 72, drops = true, keepAliveMs = 15_000 }) {
  const waiting = []
  let running = 0
  let sequence = 0

  function next () {
    while (running < slots && waiting.length > 0) {
      const job = waiting.shift()
      if (job.gone()) continue
      running += 1
      record('run', { attempt: job.attempt, replica: id })
      Promise.resolve(run(job)).catch(() => {}).finally(() => {
        running -= 1
        record(job.gone() && !job.outgoing.writableFinished ? 'run broken off' : 'run ended', { attempt: job.attempt, replica: id })
        next()
      })
    }
  }

  const server = http.createServer((incoming, outgoing) => {
    const attempt = incoming.headers['x-attempt-id']
    const chunks = []
    incoming.on('data', (chunk) => { chunks.push(chunk) })
    incoming.on('end', () => {
      const headers = { 'X-Attempt-Id': attempt, 'X-Replica-Load': `${running},${waiting.length},${slots}` }
      if (incoming.url === '/health') {
        outgoing.writeHead(200, { 'X-Replica-Id': id }).end()
        return
      }
      if (incoming.headers['x-expected-replica'] !== id) {
        outgoing.writeHead(421, { ...headers, 'X-Replica-Id': id }).end()
        return
      }
      if (running + waiting.length >= slots + queue) {
        record('rejected', { attempt, replica: id })
        outgoing.writeHead(503, { ...headers, 'X-Not-Executed': '1' }).end()
        return
      }
      let isGone = false
      outgoing.once('close', () => { isGone = !outgoing.writableFinished })
      waiting.push({ attempt, incoming, outgoing, headers: { ...headers, 'X-Server-Signature': `sig-${id}` }, body: Buffer.concat(chunks), gone: () => drops && isGone })
      next()
    })
  })
  server.keepAliveTimeout = keepAliveMs
  const port = await listen(server, host)
  const address = `${host}:${port}`
  const born = Date.now()
  const report = (state = 'ready') => {
    sequence += 1
    store.put(`servers/${id}`, JSON.stringify({ service, address, zone, version: 'v1', slots, state, coldRemainingMs: 0, sequence, born }))
  }
  report()
  const timer = setInterval(report, 1_200)
  return {
    id,
    address,
    close: () => {
      clearInterval(timer)
      server.closeAllConnections()
      server.close()
    }
  }
}

/** Answers after the time in which a plain service works. */
export function plainWork (workMs) {
  return async ({ outgoing, headers, gone, attempt }) => {
    await pause(workMs)
    if (gone()) return
    const body = `{"done":"${attempt}"}`
    await new Promise((resolve) => {
      outgoing.once('close', resolve)
      outgoing.writeHead(200, { ...headers, 'Content-Length': body.length }).end(body)
    })
  }
}

/** Answers requests under a prefix with a body of that size, and the others as a plain service does. */
export function exportWork ({ workMs, prefix, bytes }) {
  const answerPlain = plainWork(workMs)
  const body = Buffer.alloc(bytes, 'e')
  return async (job) => {
    const { outgoing, incoming, headers, gone } = job
    if (!incoming.url.startsWith(prefix)) return await answerPlain(job)
    await pause(workMs)
    if (gone()) return
    await new Promise((resolve) => {
      outgoing.once('close', resolve)
      outgoing.writeHead(200, { ...headers, 'Content-Length': body.length }).end(body)
    })
  }
}

/**
 * Streams events one after the other, with ids that increase by `idStep`; a request with `Last-Event-Id` gets those behind it.
 * After the event number `silentAfter`, the stream may be silent once, as beside a long prompt.
 */
export function streamWork ({ firstMs, intervalMs, events, idStep = 1, silentAfter, silentMs }) {
  return async ({ outgoing, incoming, headers, gone, attempt }) => {
    const first = 1 + Math.floor(Number(incoming.headers['last-event-id'] ?? 0) / idStep)
    const last = events(incoming)
    await pause(firstMs)
    if (gone()) return
    outgoing.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' })
    for (let event = first; event <= last; event += 1) {
      if (gone()) return
      if (!outgoing.destroyed) outgoing.write(`id: ${event * idStep}\ndata: ${attempt} ${event}/${last}\n\n`)
      if (event < last) await pause(event === silentAfter ? silentMs : intervalMs)
    }
    if (outgoing.destroyed) return
    await new Promise((resolve) => {
      outgoing.once('close', resolve)
      outgoing.end()
    })
  }
}

/** Writes what was sent, answered and run, in the order of the events. */
export function createRecord (file) {
  const startMs = performance.timeOrigin + performance.now()
  const nowMs = () => performance.timeOrigin + performance.now() - startMs
  const lines = []
  return {
    /** Records an event, at the time at which another process has seen it if one is given. */
    record: (event, details = {}, atMs = undefined) => { lines.push({ ms: atMs === undefined ? nowMs() : atMs - startMs, event, details }) },
    nowMs,
    lines,
    /** Writes the events for which the function returns true, all by default, and the number of the others. */
    write: (result, isKept = () => true) => {
      const kept = lines.filter(isKept)
      const others = kept.length < lines.length ? [`${lines.length - kept.length} events left out, as they are of no interest to the rule`] : []
      fs.writeFileSync(file, [...kept.sort((a, b) => a.ms - b.ms).map(({ ms, event, details }) => `${(ms / 1_000).toFixed(4)} s  ${event}  ${Object.entries(details).map(([name, value]) => `${name}=${value}`).join(' ')}`), ...others, result, ''].join('\n'))
    }
  }
}

function settingsOf ({ name, ip, zone, zones, seeds, storeAddress, isFirst }) {
  return [
    `nodeName=${name}`, 'role=front', 'machineClass=front', 'serves=front,directory,control', `ip=${ip}`, `zone=${zone}`, 'region=casa',
    ...zones.map((each) => `zones.${each}=casa`),
    `listen.front=${ip}:${FRONT_PORT}`, `listen.ready=${ip}:${READY_PORT}`, `listen.control=${ip}:${CONTROL_PORT}`, `listen.directory=${ip}:${DIRECTORY_PORT}`,
    'internalPortRange=17600,17615', `seeds=${seeds.map((seed) => `${seed}:${CONTROL_PORT}`).join(',')}`, `bootstrap=${isFirst}`, 'toleranceCounted=false',
    'limits.cpuShare=0.675', 'limits.cores=1', 'limits.memoryMb=350', 'limits.fileDescriptors=4100', 'limits.linkMbps=1000.0', 'limits.diskMb=0',
    'discovery=platform', 'entry=directory', 'heartbeatMs=1200', 'contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,platform',
    'faultTolerance.machines=2', 'faultTolerance.zones=0', 'faultTolerance.regions=0', 'bounds.seedLagS=3', 'bounds.reuseAfterS=2', 'bounds.stableMs=3000',
    'bounds.ackTimeoutMs=4000', 'bounds.catchUpS=4', 'bounds.drainMs=2000', 'bounds.graceS=8', 'bounds.lossSlackMs=200', 'bounds.configApplyMs=2000',
    'bounds.rollbackSlackMs=250', 'bounds.maxStretchMs=5000', 'bounds.revocationStrict=false', 'bounds.revokeMs=5000', 'bounds.retryBudgetRatio=0.2',
    'bounds.budgetWindowS=10', 'bounds.budgetExtraRetries=58', 'bounds.quotaWindowS=8', 'bounds.quotaOverage=0.1', 'bounds.quotaSlack=140000',
    'bounds.recoveryS=12', 'bounds.passMs=120', 'bounds.reuseWindowS=10', 'bounds.ttl_max_s=5', `platform.address=${storeAddress}`, 'platform.form=kv',
    'platform.writesPerS=400', 'platform.readsPerS=2000', 'platform.historyS=20', 'platform.valueBytes=1048576', 'platform.minTtlMs=1000', ''
  ].join('\n')
}

function get (host, port, target) {
  return new Promise((resolve) => {
    const request = http.get({ host, port, path: target, agent: false, timeout: 1_000 }, (response) => {
      let body = ''
      response.setEncoding('utf8').on('data', (text) => { body += text })
      response.on('end', () => { resolve({ status: response.statusCode, body }) })
      response.on('error', () => { resolve({ status: 0, body: '' }) })
    })
    request.on('timeout', () => { request.destroy() })
    request.on('error', () => { resolve({ status: 0, body: '' }) })
  })
}

/** Starts daemons with the command of the deploy file, and waits until each is ready and lists all of them. */
export async function startFleet ({ daemons, network = NETWORK, store, zones = ['casa-a', 'casa-b', 'casa-c', 'casa-d'], record = () => {} }) {
  const deploy = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8')
  const [program, ...words] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ')
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'))
  const machines = Array.from({ length: daemons }, (_, index) => ({ name: `front-${index + 1}`, ip: `${network}.${index + 1}`, zone: zones[index % zones.length] }))
  const seeds = machines.slice(0, 3).map(({ ip }) => ip)
  const running = new Map()

  function start (machine, isFirst = false) {
    const file = path.join(directory, `${machine.name}.conf`)
    fs.writeFileSync(file, settingsOf({ ...machine, zones, seeds, storeAddress: store.address, isFirst }))
    const log = fs.openSync(path.join(directory, `${machine.name}.log`), 'a')
    const child = childProcess.spawn(program === 'node' ? process.execPath : program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: 'C.UTF-8', PERSIMMONHATCH_CONFIG: file },
      stdio: ['ignore', log, log]
    })
    fs.closeSync(log)
    const ended = new Promise((resolve) => { child.once('exit', (code, signal) => { resolve({ code, signal }) }) })
    const daemon = { ...machine, child, ended, front: FRONT_PORT, isRunning: () => child.exitCode === null && child.signalCode === null, log: path.join(directory, `${machine.name}.log`) }
    ended.then(({ code, signal }) => { record('process ended', { daemon: machine.name, code, signal }) })
    running.set(machine.name, daemon)
    return daemon
  }

  const addresses = async (daemon) => JSON.parse((await get(daemon.ip, DIRECTORY_PORT, `/api/resolution?name=${HOST}&region=casa&zone=${daemon.zone}`)).body || '{}').addresses ?? []
  const isReady = async (daemon) => (await get(daemon.ip, READY_PORT, '/api/readiness')).status === 200
  const kill = () => { for (const { child } of running.values()) child.kill('SIGKILL') }
  process.once('exit', kill)
  const first = machines.map((machine) => start(machine, true))
  for (const daemon of first) await until(async () => (await addresses(daemon)).length === daemons && await isReady(daemon), `${daemon.name} ready with all daemons listed`)
  return {
    machines,
    daemon: (name) => running.get(name),
    daemons: () => [...running.values()],
    start,
    isReady,
    addresses,
    close: async () => {
      kill()
      await Promise.all([...running.values()].map(({ ended }) => ended))
      process.off('exit', kill)
      fs.rmSync(directory, { recursive: true })
    }
  }
}

/** A desired state with one route for each kind. */
export function documentOf (version, { routes, services, tenants = [] }) {
  return JSON.stringify({ version, routes, services, tenants, limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5_000, idleTimeoutMs: 15_000 } })
}

/** A channel of a requester, which sends one request at a time and reports how it ended. */
export function openChannel (host, port) {
  const socket = net.connect({ host, port, noDelay: true })
  let received = Buffer.alloc(0)
  let current
  let isClosed = false
  const end = (how) => {
    if (current === undefined) return
    const { resolve } = current
    current = undefined
    resolve({ how, ...parseAnswer(received) })
  }
  socket.on('data', (chunk) => {
    received = Buffer.concat([received, chunk])
    if (current === undefined) return
    const parsed = parseAnswer(received)
    if (parsed.isWhole) {
      const answer = parsed
      received = Buffer.alloc(0)
      const { resolve } = current
      current = undefined
      resolve({ how: 'answered', ...answer })
    }
  })
  socket.on('end', () => {
    isClosed = true
    end('closed')
    socket.end()
  })
  socket.on('error', () => {
    isClosed = true
    end('reset')
  })
  socket.on('close', () => {
    isClosed = true
    end('closed')
  })
  return {
    connected: new Promise((resolve) => { socket.once('connect', () => { resolve(true) }).once('error', () => { resolve(false) }) }),
    isClosed: () => isClosed,
    /** Returns what has arrived of the answer to the request that is open. */
    partOfAnswer: () => parseAnswer(received),
    /** Sends a request; the promise settles with its end. */
    send: (text) => new Promise((resolve) => {
      current = { resolve }
      received = Buffer.alloc(0)
      if (isClosed) end('closed before')
      else socket.write(text)
    }),
    socket,
    close: () => { socket.destroy() }
  }
}

/** Parses a response with a length or in chunks. */
export function parseAnswer (bytes) {
  const text = bytes.toString('latin1')
  const headEnd = text.indexOf('\r\n\r\n')
  if (headEnd < 0) return { status: 0, isWhole: false, body: '' }
  const head = text.slice(0, headEnd)
  const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(head)?.[1] ?? 0)
  const rest = text.slice(headEnd + 4)
  const attempt = /^x-attempt-id: (.*)$/im.exec(head)?.[1]
  const signature = /^x-server-signature: (.*)$/im.exec(head)?.[1]
  const length = /^content-length: (\d+)$/im.exec(head)?.[1]
  const closes = /^connection: close$/im.test(head)
  if (length !== undefined) return { status, attempt, signature, closes, isWhole: rest.length >= Number(length), body: rest }
  let body = ''
  let position = 0
  while (true) {
    const lineEnd = rest.indexOf('\r\n', position)
    if (lineEnd < 0) return { status, attempt, signature, closes, isWhole: false, body }
    const size = parseInt(rest.slice(position, lineEnd), 16)
    if (size === 0) return { status, attempt, signature, closes, isWhole: rest.length >= lineEnd + 4, body }
    body += rest.slice(lineEnd + 2, lineEnd + 2 + size)
    position = lineEnd + 2 + size + 2
    if (position > rest.length) return { status, attempt, signature, closes, isWhole: false, body }
  }
}

/** Returns the text of a request. */
export function requestText ({ method = 'POST', target, attempt, remainingMs, key, headers = {}, body = method === 'POST' ? '{"unit":"x"}' : '' }) {
  return [
    `${method} ${target} HTTP/1.1`, `Host: ${HOST}`, `X-Attempt-Id: ${attempt}`, `X-Deadline-Remaining: ${remainingMs}`,
    ...(key === undefined ? [] : [`X-Api-Key: ${key}`]), ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    ...(body === '' ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]), '', body
  ].join('\r\n')
}

/** Carries connections with a delay in each direction, as a link does. */
export async function openLink (host, target, delayMs) {
  const server = net.createServer({ allowHalfOpen: true, noDelay: true }, (client) => {
    const daemon = net.connect({ ...target, allowHalfOpen: true, noDelay: true })
    const carry = (from, to) => {
      from.on('data', (chunk) => { setTimeout(() => { if (!to.destroyed) to.write(chunk) }, delayMs) })
      from.on('end', () => { setTimeout(() => { to.end() }, delayMs) })
      from.on('error', () => { setTimeout(() => { to.destroy() }, delayMs) })
    }
    carry(client, daemon)
    carry(daemon, client)
  })
  const port = await listen(server, host)
  return { host, port, close: () => { server.close() } }
}

/** Starts the process of the store and the replicas. */
export async function startServers (record) {
  const child = childProcess.spawn(process.execPath, [url.fileURLToPath(new URL('servers.mjs', import.meta.url))], { stdio: ['ignore', 'ignore', 'inherit', 'ipc'], env: { PATH: process.env.PATH } })
  const waiting = new Map()
  let number = 0
  const address = await new Promise((resolve, reject) => {
    child.once('exit', () => { reject(new CannotRun('the process of the servers ended')) })
    child.on('message', (message) => {
      if (message.storeAddress !== undefined) resolve(message.storeAddress)
      else if (message.done !== undefined) waiting.get(message.done)?.(message.error)
      else record(message.event, message.details, message.atMs)
    })
  })
  const order = (name, values) => new Promise((resolve, reject) => {
    number += 1
    waiting.set(number, (error) => { if (error === undefined) resolve(); else reject(new CannotRun(error)) })
    child.send({ number, order: name, ...values })
  })
  const kill = () => { child.kill('SIGKILL') }
  process.once('exit', kill)
  return {
    address,
    order,
    child,
    close: async () => {
      const ended = new Promise((resolve) => { child.once('exit', resolve) })
      child.kill('SIGKILL')
      await ended
      process.off('exit', kill)
    }
  }
}
