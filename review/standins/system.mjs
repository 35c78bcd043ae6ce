/**
 * Starts the project's daemons as the deploy file says, on loopback addresses, and keeps the record of a case.
 */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as http from 'node:http'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'

const ROOT = url.fileURLToPath(new URL('../..', import.meta.url))
const GRACE_S = 8
const START_TIMEOUT_MS = 20_000

/** Time after which a case that has not ended is given up, ms. */
const CASE_TIMEOUT_MS = 110_000

/** Processes that this case has started. */
const children = new Set()

/** Starts a process that ends with the case. */
export function startProcess (program, words, options) {
  const child = childProcess.spawn(program, words, options)
  children.add(child)
  child.once('exit', () => { children.delete(child) })
  return child
}

/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== '0'

/** Exit codes of a case. */
export const HELD = 0
export const BROKEN = 1
export const NOT_RUN = 2

export function delay (ms) {
  return new Promise((resolve) => { setTimeout(resolve, ms) })
}

/** Opens the record of a case; each line begins with the time since its start. */
export function openRecord (folder) {
  const startMs = performance.now()
  const lines = []
  return {
    note: (text) => {
      const line = `${((performance.now() - startMs) / 1_000).toFixed(3).padStart(8)} ${text}`
      lines.push(line)
      process.stdout.write(`${line}\n`)
    },
    save: () => { fs.writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`) }
  }
}

/** Returns free ports of an address that are next to each other. */
async function freePorts (ip, count) {
  for (let tries = 0; tries < 50; tries += 1) {
    const first = 20_000 + Math.floor(Math.random() * 12_000)
    const isFree = async (port) => await new Promise((resolve) => {
      const server = net.createServer()
      server.once('error', () => { resolve(false) })
      server.listen(port, ip, () => { server.close(() => { resolve(true) }) })
    })
    const results = await Promise.all(Array.from({ length: count }, (_, index) => isFree(first + index)))
    if (results.every(Boolean)) return first
  }
  throw new Error('No free ports were found.')
}

/** Reads the command of the deploy file's role; the program is started without a shell, as on the users' machines. */
function deployedCommand () {
  const match = /^run = "([^"]*)"$/m.exec(fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8'))
  return match[1].split(' ')
}

/** Fields of a settings file with the bounds of the small installations. */
function settingsText ({ name, ip, ports, seeds, storeAddress, zone, overrides }) {
  const fields = {
    nodeName: name,
    role: 'front',
    machineClass: 'front',
    serves: 'front,directory,control',
    ip,
    zone,
    region: 'casa',
    'zones.casa-a': 'casa',
    'zones.casa-b': 'casa',
    'listen.front': `${ip}:${ports + 21}`,
    'listen.ready': `${ip}:${ports + 24}`,
    'listen.control': `${ip}:${ports + 29}`,
    'listen.directory': `${ip}:${ports + 20}`,
    internalPortRange: `${ports},${ports + 15}`,
    seeds: seeds.map((seed) => `${seed}:${ports + 29}`).join(','),
    bootstrap: 'true',
    'limits.memoryMb': 350,
    'limits.fileDescriptors': 4_100,
    discovery: 'platform',
    entry: 'directory',
    heartbeatMs: 1_200,
    'bounds.drainMs': 2_000,
    'bounds.graceS': GRACE_S,
    'bounds.lossSlackMs': 200,
    'bounds.configApplyMs': 2_000,
    'bounds.retryBudgetRatio': 0.2,
    'bounds.budgetWindowS': 10,
    'bounds.budgetExtraRetries': 58,
    'bounds.quotaWindowS': 8,
    'bounds.quotaSlack': 140_000,
    'bounds.ttl_max_s': 5,
    'platform.address': storeAddress,
    'platform.form': 'kv',
    ...overrides
  }
  return `${Object.entries(fields).map(([field, value]) => `${field}=${value}`).join('\n')}\n`
}

function fetchText (host, port, target) {
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

/** Starts daemons and waits until each is ready and knows all others. */
export async function startDaemons ({ count, storeAddress, note, settings = {} }) {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'))
  const network = `127.${1 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`
  // Connections to any loopback address come from 127.0.0.1, so the first daemon, which peers must recognise by its address, has that.
  const ips = Array.from({ length: count }, (_, index) => index === 0 ? '127.0.0.1' : `${network}.${index + 1}`)
  const ports = await freePorts(ips[0], 30)
  const [program, ...words] = deployedCommand()

  function start (name, ip) {
    const file = path.join(folder, `${name}.conf`)
    const log = fs.openSync(path.join(folder, `${name}.log`), 'a')
    const env = { PERSIMMONHATCH_CONFIG: file, PATH: process.env.PATH, HOME: process.env.HOME ?? folder, LANG: 'C' }
    const child = startProcess(program, words, { cwd: ROOT, env, stdio: ['ignore', log, log] })
    const daemon = { name, ip, child, hasEnded: false, frontPort: ports + 21, ended: undefined }
    daemon.ended = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        daemon.hasEnded = true
        note(`daemon ${name} ended (code ${code}, signal ${signal})`)
        resolve()
      })
    })
    return daemon
  }

  const daemons = ips.map((ip, index) => {
    const name = `front-${index + 1}`
    const text = settingsText({ name, ip, ports, seeds: ips.slice(0, 3), storeAddress, zone: index % 2 === 0 ? 'casa-a' : 'casa-b', overrides: settings })
    fs.writeFileSync(path.join(folder, `${name}.conf`), text)
    return start(name, ip)
  })

  const isReady = async ({ ip }) => (await fetchText(ip, ports + 24, '/api/readiness')).status === 200
  const addressesOf = async ({ ip }) => {
    const { status, body } = await fetchText(ip, ports + 20, '/api/resolution?name=shop.example&region=casa&zone=casa-a')
    return status === 200 ? JSON.parse(body).addresses ?? [] : []
  }
  const untilMs = performance.now() + START_TIMEOUT_MS
  for (const daemon of daemons) {
    while (!await isReady(daemon) || (await addressesOf(daemon)).length < count) {
      if (performance.now() > untilMs) throw new Error(`${daemon.name} did not become ready.`)
      await delay(50)
    }
  }
  note(`${count} daemons are ready`)

  return {
    daemons,
    folder,
    isReady,
    addressesOf,
    metrics: async ({ ip }) => (await fetchText(ip, ports + 1, '/metrics')).body,
    signal: (daemon, signal) => {
      note(`${signal} to daemon ${daemon.name}`)
      daemon.child.kill(signal)
    },
    /** Starts a daemon again under its old name and address, as the platform does. */
    restart: (daemon) => {
      note(`daemon ${daemon.name} starts again`)
      return start(daemon.name, daemon.ip)
    },
    close: async (all = daemons) => {
      for (const { child, hasEnded } of all) if (!hasEnded) child.kill('SIGKILL')
      await Promise.all(all.map(({ ended }) => ended))
      fs.rmSync(folder, { recursive: true, force: true })
    }
  }
}

/** Runs a case: writes its record and exits with its result. */
export async function runCase (folder, play) {
  const record = openRecord(folder)
  let result = NOT_RUN
  const endings = []
  process.on('exit', () => { for (const child of children) child.kill('SIGKILL') })
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => { process.exit(NOT_RUN) })
  const tooLong = new Promise((resolve, reject) => { setTimeout(() => { reject(new Error('The case took too long.')) }, CASE_TIMEOUT_MS) })
  try {
    result = await Promise.race([play({ note: record.note, atEnd: (end) => { endings.push(end) } }), tooLong])
  } catch (error) {
    record.note(`the case could not run: ${error.message}`)
  }
  for (const end of endings.reverse()) await end()
  record.note(['the rule held', 'THE RULE WAS BROKEN', 'the case could not run'][result])
  record.save()
  process.exit(result)
}
