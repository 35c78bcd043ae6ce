/**
 * Runs daemons and one bare target as separate processes, with the stand-in of the platform's key-value service.
 *
 * @module
 */
import * as fs from 'node:fs/promises'
import * as os from 'node:os'
import * as path from 'node:path'
import * as document from '@persimmonhatch/document'
import * as backing from '@persimmonhatch/backing-services'
import * as standins from '@persimmonhatch/standins'
import * as system from '@persimmonhatch/system'
import * as undici from 'undici'

const SETTLE_TIMEOUT_MS = 20_000
const PORTS_PER_DAEMON = 2

/** Service of the model engines. */
export const MODEL_SERVICE = 'engines'

/** Name of the plain service. */
export const PLAIN_SERVICE = 'stock'

/** Organisation of all callers. */
export const ORGANISATION = 'casablanca'

const SERVICES = [{ service: MODEL_SERVICE, kind: 'model' }, { service: PLAIN_SERVICE, kind: 'plain' }] as const

/** Size of the system. */
export interface Options {
  readonly daemons: number
  /** Number of targets of each service. */
  readonly targets: number
}

/** A running system. */
export interface BenchSystem {
  /** Addresses of the model service's targets, then of the plain service's. */
  readonly targets: readonly string[]
  readonly daemons: readonly system.daemonProcess.DaemonProcess[]
  /** Writes the document of the model service again under a new revision. */
  readonly rewriteDocument: (revision: number) => Promise<void>
  readonly close: () => Promise<void>
}

/** The part of a daemon's status that is read. */
export interface Status {
  readonly members: readonly unknown[]
  readonly services: readonly { readonly service: string, readonly revision: number }[]
  readonly pools: readonly { readonly pool: string, readonly settled: boolean }[]
}

/**
 * Reads a daemon's status.
 *
 * @example
 * ```ts
 * const status = await readStatus(daemon.address)
 * ```
 */
export async function readStatus (address: string): Promise<Status> {
  const response = await undici.request(`http://${address}/v1/status`)
  return await response.body.json() as Status
}

function createDocumentText (service: string, kind: 'model' | 'plain', addresses: readonly string[]): string {
  return JSON.stringify({
    service,
    kind,
    tiers: [{ name: 'counter', rank: 0 }, { name: 'batch', rank: 1 }],
    defaultTier: 'counter',
    organisations: [{ name: ORGANISATION }],
    targets: addresses.map((address, index) => ({ name: `${service}-${index}`, address, pool: service, availabilityZone: 'zone-1' }))
  })
}

function createStoredText (service: string, revision: number, content: string): string {
  const stored = document.storedDocument.addChange(undefined, {
    service,
    revision,
    content,
    change: { id: `change-${service}-${revision}`, operator: 'bench', atMs: Date.now(), comment: '' },
    hash: (text) => String(text.length)
  })
  return document.storedDocument.writeStoredDocument(stored)._unsafeUnwrap()
}

async function storeDocument (keyValue: backing.keyValue.KeyValue, service: string, value: string): Promise<void> {
  const key = document.storedDocument.documentKey(service)
  const current = await keyValue.get(key)
  const expectedRevision = current.isOk() ? current.value?.modRevision ?? 0 : 0
  const swapResult = await keyValue.compareAndSwap({ key, expectedRevision, value })
  if (swapResult.isErr()) throw swapResult.error
}

async function startDaemons (count: number, directory: string, keyValueAddress: string): Promise<readonly system.daemonProcess.DaemonProcess[]> {
  const ports = await system.freePorts.findFreePorts(count * PORTS_PER_DAEMON)
  const addresses = ports.map((port) => `127.0.0.1:${port}`)
  const [, seed = ''] = addresses
  const daemons = await Promise.all(Array.from({ length: count }, (_, index) => system.daemonProcess.startDaemonProcess({
    name: `entry-${index + 1}`,
    availabilityZone: 'zone-1',
    region: 'region-1',
    callers: addresses[index * PORTS_PER_DAEMON] ?? '',
    peers: addresses[index * PORTS_PER_DAEMON + 1] ?? '',
    keyValue: [keyValueAddress],
    vmList: undefined,
    seeds: [seed],
    drainMs: 100,
    directory
  })))
  await Promise.all(daemons.map(system.daemonProcess.awaitReady))
  return daemons
}

async function isSettled (daemons: readonly system.daemonProcess.DaemonProcess[]): Promise<true | undefined> {
  const statuses = await Promise.all(daemons.map((daemon) => readStatus(daemon.address)))
  const settled = statuses.flatMap((status) => status.pools).filter((pool) => pool.settled)
  return statuses.every((status) => status.members.length === daemons.length) && settled.length === SERVICES.length ? true : undefined
}

function readTargetAddresses (target: system.childProcess.Child): Promise<readonly string[] | undefined> {
  const [line] = target.lines()
  return Promise.resolve(line === undefined ? undefined : JSON.parse(line) as readonly string[])
}

/**
 * Starts a system and waits until its daemons have discovered each other and both pools have an authority.
 *
 * @example
 * ```ts
 * const running = await startBenchSystem({ daemons: 2, targets: 8 })
 * await running.close()
 * ```
 */
export async function startBenchSystem (options: Options): Promise<BenchSystem> {
  const directory = await fs.mkdtemp(path.join(os.tmpdir(), 'persimmonhatch-bench-'))
  const targetProcess = system.childProcess.startChild({ packageName: 'bench', file: 'bare-target' }, [String(options.targets * SERVICES.length)])
  const targets = await system.waitUntil.waitUntil('the target listens', SETTLE_TIMEOUT_MS, () => readTargetAddresses(targetProcess))
  const keyValueService = await standins.keyValueService.startKeyValueService({})
  const client = backing.httpClient.createHttpClient({ connectTimeoutMs: 1_000, headersTimeoutMs: 0, bodyTimeoutMs: 0 })
  const keyValue = backing.etcdKeyValue.createEtcdKeyValue({ client, endpoints: [`http://${keyValueService.address}`], timeoutMs: 2_000 })

  async function writeDocument (name: string, kind: 'model' | 'plain', revision: number): Promise<void> {
    const addresses = kind === 'model' ? targets.slice(0, options.targets) : targets.slice(options.targets)
    await storeDocument(keyValue, name, createStoredText(name, revision, createDocumentText(name, kind, addresses)))
  }

  for (const benchService of SERVICES) await writeDocument(benchService.service, benchService.kind, 1)
  const daemons = await startDaemons(options.daemons, directory, keyValueService.address)
  await system.waitUntil.waitUntil('the daemons have discovered each other', SETTLE_TIMEOUT_MS, () => isSettled(daemons))

  async function close (): Promise<void> {
    for (const daemon of daemons) daemon.child.signal('SIGKILL')
    targetProcess.signal('SIGKILL')
    await Promise.all([targetProcess.ended, ...daemons.map((daemon) => daemon.child.ended)])
    await Promise.all([keyValueService.close(), client.destroy()])
    await fs.rm(directory, { recursive: true, force: true })
  }

  return { targets, daemons, rewriteDocument: (revision) => writeDocument(MODEL_SERVICE, 'model', revision), close }
}
