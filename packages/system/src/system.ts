/**
 * Runs a whole deployment on loopback. Each daemon is a child process. The platform and the targets are
 * stand-ins with real sockets in this process, so that their logs share one clock.
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
const SEED_COUNT = 2
const FIRST_CALLERS_PORT = 7_401
const FIRST_PEERS_PORT = 7_501
const KEY_VALUE_PORT = 2_379
const VM_LIST_PORT = 2_380
const KEY_VALUE_NAME = 'key-value'
const VM_LIST_NAME = 'vm-list'

/** The deployment to start, and its parameters. */
export interface Options {
  readonly deployment: deploymentModule.Deployment
  /** Number of daemons to start; defaults to all. */
  readonly daemons?: number
  readonly drainMs?: number
  readonly vmListLagMs?: number
  /** `example`: callers at 7401, 7402, … and the platform at 2379 and 2380, as documented; `free`: free ports. */
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
  /** Starts a new process for a daemon, with the same name and addresses. */
  readonly restart: (name: string) => Promise<daemonProcess.DaemonProcess>
  /** Kills every process. */
  readonly close: () => Promise<void>
}

/**
 * Returns the targets, whose logs can be read.
 *
 * @example
 * ```ts
 * const logs = await Promise.all(loggedTargets(system).map(readLog))
 * ```
 */
export function loggedTargets (system: System): readonly collectRuns.LoggedTarget[] {
  const kinds = new Map(system.documents.flatMap((serviceDocument) => serviceDocument.targets.map((target) => [target.name, serviceDocument.kind])))
  return [...kinds].map(([name, kind]) => ({ name, kind, controlAddress: system.standin(name).controlAddress }))
}

/** Returns the documented port, or nothing for any free one. */
function examplePort (options: Options, port: number): { readonly port?: number } {
  return options.ports === 'example' ? { port } : {}
}

function describeStandins (options: Options): standins.standinSet.StandinSet {
  const targets = new Map(options.deployment.documents.flatMap((serviceDocument) => serviceDocument.targets.map((target) => [target.name, { target, kind: serviceDocument.kind }])))
  const targetStandins = [...targets.values()].map(({ target, kind }, index) => engineSpeeds.describeTarget(target, kind, options.seed + index))
  const vms = [...targets.values()].map(({ target }) => ({ name: target.name, address: target.address, state: 'live' as const }))
  return {
    standins: [
      { kind: 'key-value-service', name: KEY_VALUE_NAME, seed: options.seed, ...examplePort(options, KEY_VALUE_PORT) },
      { kind: 'vm-list-service', name: VM_LIST_NAME, lagMs: options.vmListLagMs ?? 0, vms, ...examplePort(options, VM_LIST_PORT) },
      ...targetStandins
    ]
  }
}

/** Stores a document on the platform as `persimmonhatch apply` does. */
async function storeDocument (keyValue: backing.keyValue.KeyValue, serviceDocument: document.serviceDocument.ServiceDocument): Promise<void> {
  const stored = document.storedDocument.addChange(undefined, {
    service: serviceDocument.service,
    revision: 1,
    content: JSON.stringify(serviceDocument),
    change: { id: `start-${serviceDocument.service}`, operator: 'system', atMs: Date.now(), comment: '' },
    hash: (content) => String(content.length)
  })
  const value = document.storedDocument.writeStoredDocument(stored)._unsafeUnwrap()
  const swap = await keyValue.compareAndSwap({ key: document.storedDocument.documentKey(serviceDocument.service), expectedRevision: 0, value })
  if (swap.isErr()) throw swap.error
}

async function daemonOptions (options: Options, directory: string, keyValue: protocol.Address, vmList: protocol.Address): Promise<readonly daemonProcess.Options[]> {
  const locations = options.deployment.daemons.slice(0, options.daemons)
  const ports = options.ports === 'example'
    ? locations.flatMap((_, index) => [FIRST_CALLERS_PORT + index, FIRST_PEERS_PORT + index])
    : await freePorts.findFreePorts(locations.length * PORTS_PER_DAEMON)
  const addresses = ports.map((port) => `127.0.0.1:${port}`)
  return locations.map((location, index) => ({
    ...location,
    region: options.deployment.region,
    callers: addresses[index * PORTS_PER_DAEMON] ?? '',
    peers: addresses[index * PORTS_PER_DAEMON + 1] ?? '',
    keyValue: [keyValue],
    vmList,
    seeds: addresses.filter((_, position) => position % PORTS_PER_DAEMON === 1).slice(0, SEED_COUNT),
    drainMs: options.drainMs ?? 500,
    directory
  }))
}

/**
 * Starts a system and waits until every daemon is healthy and every pool has an authority.
 *
 * @example
 * ```ts
 * const system = await startSystem({ deployment: await readDeployment('atlasrenew'), seed: 7 })
 * await system.close()
 * ```
 */
export async function startSystem (options: Options): Promise<System> {
  const directory = await fs.mkdtemp(path.join(os.tmpdir(), 'persimmonhatch-'))
  const runningStandins = await standins.standinSet.startStandinSet(describeStandins(options))
  const standinsByName = new Map(runningStandins.map((each) => [each.name, each]))
  const client = backing.httpClient.createHttpClient({ connectTimeoutMs: 1_000, headersTimeoutMs: 0, bodyTimeoutMs: 0 })

  function standin (name: string): standins.standinSet.RunningStandin {
    const found = standinsByName.get(name)
    if (found === undefined) throw new Error(`There is no stand-in ${name}: use one of ${[...standinsByName.keys()].join(', ')}.`)
    return found
  }

  const keyValue = backing.etcdKeyValue.createEtcdKeyValue({ client, endpoints: [`http://${standin(KEY_VALUE_NAME).address}`], timeoutMs: 2_000 })
  const documents = deploymentModule.withTargetAddresses(options.deployment.documents, new Map(runningStandins.map((each) => [each.name, each.address])))
  for (const serviceDocument of documents) await storeDocument(keyValue, serviceDocument)

  const daemons = new Map<string, daemonProcess.DaemonProcess>()
  const plannedDaemons = await daemonOptions(options, directory, standin(KEY_VALUE_NAME).address, standin(VM_LIST_NAME).address)
  for (const plan of plannedDaemons) daemons.set(plan.name, await daemonProcess.startDaemonProcess(plan))
  await Promise.all([...daemons.values()].map(daemonProcess.awaitReady))
  await awaitAuthorities.awaitAuthorities([...daemons.values()], documents)

  async function restart (name: string): Promise<daemonProcess.DaemonProcess> {
    const plan = plannedDaemons.find((each) => each.name === name)
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
    await Promise.all(runningStandins.map((each) => each.close()))
    await client.destroy()
    await fs.rm(directory, { recursive: true, force: true })
  }

  return { directory, documents, keyValue, standin, daemons: () => [...daemons.values()], restart, close }
}
