/**
 * A whole deployment on loopback: every daemon a process of its own, the platform and the targets
 * stand-ins with real sockets in the caller's process, so that what they log is on one clock.
 *
 * @module
 */
import * as fs from 'node:fs/promises'
import * as os from 'node:os'
import * as path from 'node:path'
import * as document from '@persimmonhatch/document'
import * as backing from '@persimmonhatch/backing-services'
import type * as protocol from '@persimmonhatch/protocol'
import * as standins from '@persimmonhatch/standins'
import * as awaitAuthorities from './await-authorities.js'
import type * as collectRuns from './collect-runs.js'
import * as daemonProcess from './daemon-process.js'
import * as deploymentModule from './deployment.js'
import * as engineSpeeds from './engine-speeds.js'
import * as freePorts from './free-ports.js'

const PORTS_PER_DAEMON = 2
const SEEDS = 2
const FIRST_CALLERS_PORT = 7_401
const FIRST_PEERS_PORT = 7_501
const KEY_VALUE_PORT = 2_379
const VM_LIST_PORT = 2_380
const KEY_VALUE = 'key-value'
const VM_LIST = 'vm-list'

/** What to start. */
export interface Options {
  readonly deployment: deploymentModule.Deployment
  /** How many of its daemons; all when left out. */
  readonly daemons?: number
  readonly drainMs?: number
  readonly vmListLagMs?: number
  /** `example`: callers at 7401, 7402, … and the platform at 2379 and 2380, as in the pages; `free`: whatever is free. */
  readonly ports?: 'example' | 'free'
  readonly seed: number
}

/** A running system. */
export interface System {
  readonly directory: string
  readonly documents: deploymentModule.Deployment['documents']
  readonly keyValue: backing.keyValue.KeyValue
  readonly standin: (name: string) => standins.standinSet.RunningStandin
  readonly daemons: () => readonly daemonProcess.DaemonProcess[]
  /** Starts a daemon again under its old name and addresses, as a new process. */
  readonly restart: (name: string) => Promise<daemonProcess.DaemonProcess>
  /** Ends every process at once. */
  readonly close: () => Promise<void>
}

/**
 * The targets whose logs can be read.
 *
 * @example
 * ```ts
 * const logs = await Promise.all(loggedTargets(system).map(readLog))
 * ```
 */
export function loggedTargets (system: System): readonly collectRuns.LoggedTarget[] {
  const kinds = new Map(system.documents.flatMap((one) => one.targets.map((target) => [target.name, one.kind])))
  return [...kinds].map(([name, kind]) => ({ name, kind, controlAddress: system.standin(name).controlAddress }))
}

/** The port that the pages name; any free one otherwise. */
function examplePort (options: Options, port: number): { readonly port?: number } {
  return options.ports === 'example' ? { port } : {}
}

function describeStandins (options: Options): standins.standinSet.StandinSet {
  const targets = new Map(options.deployment.documents.flatMap((one) => one.targets.map((target) => [target.name, { target, kind: one.kind }])))
  const described = [...targets.values()].map(({ target, kind }, index) => engineSpeeds.describeTarget(target, kind, options.seed + index))
  const vms = [...targets.values()].map(({ target }) => ({ name: target.name, address: target.address, state: 'live' as const }))
  return {
    standins: [
      { kind: 'key-value-service', name: KEY_VALUE, seed: options.seed, ...examplePort(options, KEY_VALUE_PORT) },
      { kind: 'vm-list-service', name: VM_LIST, lagMs: options.vmListLagMs ?? 0, vms, ...examplePort(options, VM_LIST_PORT) },
      ...described
    ]
  }
}

/** Writes a document to the platform as `persimmonhatch apply` does. */
async function storeDocument (keyValue: backing.keyValue.KeyValue, one: document.serviceDocument.ServiceDocument): Promise<void> {
  const stored = document.storedDocument.addChange(undefined, {
    service: one.service,
    revision: 1,
    content: JSON.stringify(one),
    change: { id: `start-${one.service}`, operator: 'system', atMs: Date.now(), comment: '' },
    hash: (content) => String(content.length)
  })
  const value = document.storedDocument.writeStoredDocument(stored)._unsafeUnwrap()
  const swap = await keyValue.compareAndSwap({ key: document.storedDocument.documentKey(one.service), expectedRevision: 0, value })
  if (swap.isErr()) throw swap.error
}

async function daemonOptions (options: Options, directory: string, keyValue: protocol.Address, vmList: protocol.Address): Promise<readonly daemonProcess.Options[]> {
  const places = options.deployment.daemons.slice(0, options.daemons)
  const ports = options.ports === 'example'
    ? places.flatMap((_, index) => [FIRST_CALLERS_PORT + index, FIRST_PEERS_PORT + index])
    : await freePorts.findFreePorts(places.length * PORTS_PER_DAEMON)
  const addresses = ports.map((port) => `127.0.0.1:${port}`)
  return places.map((place, index) => ({
    ...place,
    region: options.deployment.region,
    callers: addresses[index * PORTS_PER_DAEMON] ?? '',
    peers: addresses[index * PORTS_PER_DAEMON + 1] ?? '',
    keyValue: [keyValue],
    vmList,
    seeds: addresses.filter((_, position) => position % PORTS_PER_DAEMON === 1).slice(0, SEEDS),
    drainMs: options.drainMs ?? 500,
    directory
  }))
}

/**
 * Starts a system and waits until every daemon serves and every pool has an authority.
 *
 * @example
 * ```ts
 * const system = await startSystem({ deployment: await readDeployment('atlasrenew'), seed: 7 })
 * await system.close()
 * ```
 */
export async function startSystem (options: Options): Promise<System> {
  const directory = await fs.mkdtemp(path.join(os.tmpdir(), 'persimmonhatch-'))
  const running = await standins.standinSet.startStandinSet(describeStandins(options))
  const byName = new Map(running.map((one) => [one.name, one]))
  const client = backing.httpClient.httpClient({ connectTimeoutMs: 1_000, headersTimeoutMs: 0, bodyTimeoutMs: 0 })

  function standin (name: string): standins.standinSet.RunningStandin {
    const found = byName.get(name)
    if (found === undefined) throw new Error(`There is no stand-in ${name}: name one of ${[...byName.keys()].join(', ')}.`)
    return found
  }

  const keyValue = backing.etcdKeyValue.etcdKeyValue({ client, endpoints: [`http://${standin(KEY_VALUE).address}`], timeoutMs: 2_000 })
  const documents = deploymentModule.relocate(options.deployment.documents, new Map(running.map((one) => [one.name, one.address])))
  for (const one of documents) await storeDocument(keyValue, one)

  const daemons = new Map<string, daemonProcess.DaemonProcess>()
  const planned = await daemonOptions(options, directory, standin(KEY_VALUE).address, standin(VM_LIST).address)
  for (const one of planned) daemons.set(one.name, await daemonProcess.startDaemonProcess(one))
  await Promise.all([...daemons.values()].map(daemonProcess.awaitReady))
  await awaitAuthorities.awaitAuthorities([...daemons.values()], documents)

  async function restart (name: string): Promise<daemonProcess.DaemonProcess> {
    const plan = planned.find((one) => one.name === name)
    if (plan === undefined) throw new Error(`There is no daemon ${name}.`)
    const started = await daemonProcess.startDaemonProcess(plan)
    daemons.set(name, started)
    return started
  }

  async function close (): Promise<void> {
    for (const daemon of daemons.values()) {
      daemon.child.signal('SIGCONT')
      daemon.child.signal('SIGKILL')
    }
    await Promise.all([...daemons.values()].map((daemon) => daemon.child.ended))
    await Promise.all(running.map((one) => one.close()))
    await client.destroy()
    await fs.rm(directory, { recursive: true, force: true })
  }

  return { directory, documents, keyValue, standin, daemons: () => [...daemons.values()], restart, close }
}
