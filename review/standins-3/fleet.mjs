// Starts daemons with the command of deploy/system.toml, each on a loopback address of its own, and restarts those that end, as the
// platform does. The settings are those of DEPLOY.md with the bounds of the small deployments.
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as http from 'node:http'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'

const ROOT = url.fileURLToPath(new URL('../..', import.meta.url))
const RESTART_DELAY_MS = 500
const INTERNAL_PORTS = 16

export const sleep = (ms) => new Promise((resolve) => { setTimeout(resolve, ms) })

/** The words of `run` in deploy/system.toml. */
function command () {
  const [, run] = /^run = "(.*)"$/m.exec(fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8'))
  const [program, ...words] = run.split(' ')
  return { program: program === 'node' ? process.execPath : program, words }
}

const isFree = (ip, port) => new Promise((resolve) => {
  const server = net.createServer().once('error', () => { resolve(false) })
  server.listen(port, ip, () => { server.close(() => { resolve(true) }) })
})

/** Returns the first of `count` successive ports that are free on all addresses. */
async function freePorts (ips, count) {
  for (;;) {
    const first = 20_000 + Math.floor(Math.random() * 10_000)
    const checks = ips.flatMap((ip) => Array.from({ length: count }, (_, index) => isFree(ip, first + index)))
    if ((await Promise.all(checks)).every((free) => free)) return first
  }
}

/** Sends a GET request; status 0 without an answer. */
export function get (host, port, target) {
  return new Promise((resolve) => {
    const request = http.get({ host, port, path: target, agent: false, timeout: 1_000 }, (response) => {
      let body = ''
      response.setEncoding('utf8').on('data', (text) => { body += text })
      response.on('end', () => { resolve({ status: response.statusCode, body }) })
    })
    request.on('error', () => { resolve({ status: 0, body: '' }) })
    request.on('timeout', () => { request.destroy() })
  })
}

const BOUNDS = { seedLagS: 3, reuseAfterS: 2, stableMs: 3000, ackTimeoutMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, revocationStrict: false, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetExtraRetries: 58, quotaWindowS: 8, quotaOverage: 0.1, quotaSlack: 140000, recoveryS: 12, passMs: 120, reuseWindowS: 10, ttl_max_s: 5 }

function settingsText (daemon, seeds, storeAddress) {
  const { name, ip, ports, internal } = daemon
  return [
    `nodeName=${name}`, 'role=front', 'machineClass=front', 'serves=front,directory,control', `ip=${ip}`, 'zone=casa-a', 'region=casa', 'zones.casa-a=casa',
    `listen.front=${ip}:${ports}`, `listen.ready=${ip}:${ports + 1}`, `listen.directory=${ip}:${ports + 2}`, `listen.control=${ip}:${ports + 3}`,
    `internalPortRange=${internal},${internal + INTERNAL_PORTS - 1}`, `seeds=${seeds.join(',')}`, 'bootstrap=false', 'toleranceCounted=false',
    'limits.cpuShare=0.675', 'limits.cores=1', 'limits.memoryMb=350', 'limits.fileDescriptors=4100', 'limits.linkMbps=1000.0', 'limits.diskMb=0',
    'discovery=platform', 'entry=directory', 'heartbeatMs=1200', 'contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,platform',
    ...Object.entries(BOUNDS).map(([field, value]) => `bounds.${field}=${value}`),
    `platform.address=${storeAddress}`, 'platform.form=kv', 'platform.writesPerS=400', 'platform.readsPerS=2000', 'platform.historyS=20', 'platform.valueBytes=1048576', 'platform.minTtlMs=1000', ''
  ].join('\n')
}

/** Starts daemons. `note` is called with each line for the record. */
export async function startFleet ({ count, store, note }) {
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'))
  const network = `127.${60 + Math.floor(Math.random() * 60)}.${Math.floor(Math.random() * 250)}`
  const ips = Array.from({ length: count }, (_, index) => `${network}.${index + 1}`)
  const ports = await freePorts(ips, 4 + INTERNAL_PORTS)
  const daemons = ips.map((ip, index) => ({ name: `front-casa-a-${index + 1}`, ip, ports, internal: ports + 4, front: ports, ends: [], child: undefined }))
  const { program, words } = command()
  let isOver = false

  function start (daemon) {
    const file = path.join(directory, `${daemon.name}.conf`)
    const output = fs.openSync(path.join(directory, `${daemon.name}.log`), 'a')
    const child = childProcess.spawn(program, words, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: directory, LANG: 'C.UTF-8', PERSIMMONHATCH_CONFIG: file }, stdio: ['ignore', output, output] })
    fs.closeSync(output)
    daemon.child = child
    daemon.ended = new Promise((resolve) => { child.once('exit', (code, signal) => { resolve({ code, signal }) }) })
    daemon.ended.then(({ code, signal }) => {
      if (isOver) return
      daemon.ends.push({ code, signal })
      note(`${daemon.name} ended by itself: code ${code}, signal ${signal}`)
      setTimeout(() => { if (!isOver) start(daemon) }, RESTART_DELAY_MS)
    })
  }

  for (const daemon of daemons) {
    fs.writeFileSync(path.join(directory, `${daemon.name}.conf`), settingsText(daemon, daemons.slice(0, 3).map((seed) => `${seed.ip}:${seed.ports + 3}`), store.address))
    start(daemon)
  }
  const isReady = async ({ ip }) => (await get(ip, ports + 1, '/api/readiness')).status === 200
  return {
    daemons,
    isReady,
    /** Waits until all daemons are ready; returns false if that takes too long. */
    waitReady: async (limitMs = 15_000) => {
      const untilMs = performance.now() + limitMs
      for (const daemon of daemons) {
        while (!(await isReady(daemon))) {
          if (performance.now() > untilMs) return false
          await sleep(50)
        }
      }
      return true
    },
    /** Resident memory of a daemon, MB; undefined if it has ended. */
    memoryMb: ({ child }) => {
      try {
        return Math.round(Number(/VmRSS:\s+(\d+)/.exec(fs.readFileSync(`/proc/${child.pid}/status`, 'utf8'))[1]) / 1_024)
      } catch {
        return undefined
      }
    },
    /** Lines of a daemon's output that are no log lines, such as the runtime's last words. */
    lastWords: ({ name }) => fs.readFileSync(path.join(directory, `${name}.log`), 'utf8').split('\n').filter((line) => /FATAL|unexpected error/.test(line)).map((line) => line.slice(0, 200)),
    close: async () => {
      isOver = true
      for (const { child } of daemons) child.kill('SIGKILL')
      await Promise.all(daemons.map(({ ended }) => ended))
      fs.rmSync(directory, { recursive: true, force: true })
    }
  }
}
