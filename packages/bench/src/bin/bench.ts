/**
 * Measures the overhead of a daemon on the request path. Prints a table and writes `out/path.json`.
 *
 * Usage: npm run bench [-- number of requests of the memory measurement; 0 skips it]
 *
 * @module
 */
import * as fs from 'node:fs/promises'
import * as os from 'node:os'
import * as undici from 'undici'
import * as fit from '../fit.js'
import * as requestPath from '../request-path.js'
import * as benchSystem from '../processes/bench-system.js'
import * as processUsage from '../processes/process-usage.js'

const ROUNDS = 5
const CALLERS = 32
const THROUGHPUT_RUN_MS = 1_500
const LATENCY_RUN_MS = 1_000
const MEMORY_SAMPLES = 5
const DEFAULT_MEMORY_REQUESTS = 100_000
const OUTPUT_FILE = 'out/path.json'
const BYTES_PER_MB = 1_048_576

/** Measurements of one kind of request over one route. */
interface Row {
  readonly kind: string
  readonly route: string
  readonly perSecond: number
  readonly directMedianMs: number
  readonly directP99Ms: number
  readonly addedMedianMs: readonly number[]
  readonly addedP99Ms: readonly number[]
  readonly requestsPerCoreSecond: number
}

function formatSpread (values: readonly number[]): string {
  return `${fit.median(values).toFixed(2)} (${Math.min(...values).toFixed(2)} to ${Math.max(...values).toFixed(2)})`
}

async function measureThroughput (client: undici.Dispatcher, route: requestPath.Route, kind: requestPath.Kind, pid: number): Promise<{ readonly perSecond: number, readonly perCoreSecond: number }> {
  await requestPath.runClosedLoop(client, route, kind, CALLERS, THROUGHPUT_RUN_MS)
  const before = await processUsage.cpuSeconds(pid)
  const perSecond = await requestPath.runClosedLoop(client, route, kind, CALLERS, THROUGHPUT_RUN_MS)
  const usedS = await processUsage.cpuSeconds(pid) - before
  return { perSecond, perCoreSecond: perSecond * THROUGHPUT_RUN_MS / 1_000 / usedS }
}

async function measureRow (client: undici.Dispatcher, direct: requestPath.Route, route: requestPath.Route, kind: requestPath.Kind, pid: number): Promise<Row> {
  const { perSecond, perCoreSecond } = await measureThroughput(client, route, kind, pid)
  const rounds: { readonly direct: requestPath.Latencies, readonly viaDaemon: requestPath.Latencies }[] = []
  for (let round = 0; round < ROUNDS; round++) {
    rounds.push({
      direct: await requestPath.runOpenLoop(client, direct, kind, perSecond / 2, LATENCY_RUN_MS),
      viaDaemon: await requestPath.runOpenLoop(client, route, kind, perSecond / 2, LATENCY_RUN_MS)
    })
  }
  return {
    kind: kind.name,
    route: route.name,
    perSecond,
    directMedianMs: fit.median(rounds.map((round) => round.direct.median)),
    directP99Ms: fit.median(rounds.map((round) => round.direct.p99)),
    addedMedianMs: rounds.map((round) => round.viaDaemon.median - round.direct.median),
    addedP99Ms: rounds.map((round) => round.viaDaemon.p99 - round.direct.p99),
    requestsPerCoreSecond: perCoreSecond
  }
}

async function measureMemory (client: undici.Dispatcher, route: requestPath.Route, kind: requestPath.Kind, pid: number, requests: number): Promise<readonly number[]> {
  const sizes = [await processUsage.residentBytes(pid)]
  for (let sample = 0; sample < MEMORY_SAMPLES; sample++) {
    let remainingRequests = requests / MEMORY_SAMPLES
    await Promise.all(Array.from({ length: CALLERS }, async () => {
      while (remainingRequests > 0) {
        remainingRequests -= 1
        await requestPath.send(client, route, kind)
      }
    }))
    sizes.push(await processUsage.residentBytes(pid))
  }
  return sizes
}

function formatRow (row: Row): string {
  return `${row.kind}, ${row.route}: ${Math.round(row.perSecond)} requests/s with ${CALLERS} callers, ${Math.round(row.requestsPerCoreSecond)} per core and second; ` +
    `at half of it: direct ${row.directMedianMs.toFixed(2)} ms, p99 ${row.directP99Ms.toFixed(2)} ms; added at the median ${formatSpread(row.addedMedianMs)} ms, at p99 ${formatSpread(row.addedP99Ms)} ms`
}

const memoryRequests = Number(process.argv[2] ?? DEFAULT_MEMORY_REQUESTS)
console.log(`load average at the start: ${os.loadavg().map((load) => load.toFixed(1)).join(' ')} on ${os.availableParallelism()} processors, node ${process.version}`)
const benchedSystem = await benchSystem.startBenchSystem({ daemons: 2, targets: 8 })
const client = new undici.Agent({ connections: 256, pipelining: 1 })
const statuses = await Promise.all(benchedSystem.daemons.map((daemon) => benchSystem.readStatus(daemon.address)))
const rows: Row[] = []
let memory: readonly number[] = []
try {
  for (const kind of requestPath.KINDS) {
    const address = benchedSystem.targets[kind.service === benchSystem.PLAIN_SERVICE ? 8 : 0] ?? ''
    const authorityIndex = statuses.findIndex((status) => status.pools.some((pool) => pool.pool === kind.service))
    for (const [name, index] of [['placed by another daemon', 1 - authorityIndex], ['placed by the same daemon', authorityIndex]] as const) {
      const daemon = benchedSystem.daemons[index]
      if (daemon === undefined) continue
      const row = await measureRow(client, requestPath.directRoute(address), requestPath.daemonRoute(name, daemon.address), kind, daemon.child.pid)
      rows.push(row)
      console.log(formatRow(row))
    }
  }
  const [plain] = requestPath.KINDS
  const [daemon] = benchedSystem.daemons
  if (memoryRequests > 0 && plain !== undefined && daemon !== undefined) {
    memory = await measureMemory(client, requestPath.daemonRoute('memory', daemon.address), plain, daemon.child.pid, memoryRequests)
    console.log(`resident memory over ${memoryRequests} plain requests without identity, MB: ${memory.map((bytes) => Math.round(bytes / BYTES_PER_MB)).join(' ')}`)
  }
} finally {
  await client.destroy()
  await benchedSystem.close()
}
console.log(`load average at the end: ${os.loadavg().map((load) => load.toFixed(1)).join(' ')}`)
await fs.mkdir('out', { recursive: true })
await fs.writeFile(OUTPUT_FILE, `${JSON.stringify({ atMs: Date.now(), node: process.version, rounds: ROUNDS, rows, memoryRequests, memory }, undefined, 2)}\n`)
console.log(`written to ${OUTPUT_FILE}`)
