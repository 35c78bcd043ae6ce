/**
 * Injects faults into daemons, the platform and targets, for the tests and the soak.
 *
 * @module
 */
import * as undici from 'undici'
import type * as daemonProcess from './daemon-process.js'
import * as daemonProcessModule from './daemon-process.js'
import type * as recorderModule from './recorder.js'
import type * as systemModule from './system.js'

/** Injects faults into a running system. */
export interface FaultInjector {
  /** Kills a daemon with SIGKILL. */
  readonly kill: (daemon: daemonProcess.DaemonProcess) => Promise<void>
  /** Suspends a daemon's process with SIGSTOP; returns a function that resumes it. */
  readonly suspend: (daemon: daemonProcess.DaemonProcess) => () => void
  /** Suspends a daemon's process for a time, then resumes it. */
  readonly suspendFor: (daemon: daemonProcess.DaemonProcess, milliseconds: number) => Promise<void>
  /** Stops a daemon with SIGTERM; settles when its process has ended. */
  readonly stop: (daemon: daemonProcess.DaemonProcess) => Promise<void>
  /** Restarts a daemon and waits until it is healthy. */
  readonly restart: (name: string) => Promise<void>
  /** Posts faults to a stand-in, in the format of its README. */
  readonly setFaults: (standin: string, faults: object) => Promise<void>
  /** Lists the given targets as leaving and all others as live. */
  readonly setLeavingTargets: (leaving: ReadonlySet<string>) => Promise<void>
}

/**
 * Creates a fault injector for a system.
 *
 * @example
 * ```ts
 * await createFaultInjector(system, recorder).suspendFor(daemon, 4_000)
 * ```
 */
export function createFaultInjector (system: systemModule.System, recorder: recorderModule.Recorder): FaultInjector {
  async function post (address: string, path: string, body: object): Promise<void> {
    const response = await undici.request(`http://${address}${path}`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) })
    await response.body.dump()
    if (response.statusCode !== 200) throw new Error(`The stand-in at ${address}${path} responded with ${response.statusCode}: check the body.`)
  }

  async function recordExit (daemon: daemonProcess.DaemonProcess): Promise<void> {
    const { code } = await daemon.child.ended
    recorder.record({ kind: 'process-ended', daemon: daemon.name, code })
  }

  async function kill (daemon: daemonProcess.DaemonProcess): Promise<void> {
    daemon.child.signal('SIGKILL')
    await recordExit(daemon)
  }

  function suspend (daemon: daemonProcess.DaemonProcess): () => void {
    daemon.child.signal('SIGSTOP')
    recorder.record({ kind: 'isolation-begun', daemon: daemon.name })
    return () => {
      daemon.child.signal('SIGCONT')
      recorder.record({ kind: 'isolation-ended', daemon: daemon.name })
    }
  }

  async function suspendFor (daemon: daemonProcess.DaemonProcess, milliseconds: number): Promise<void> {
    const resume = suspend(daemon)
    await new Promise((resolve) => setTimeout(resolve, milliseconds))
    resume()
  }

  async function stop (daemon: daemonProcess.DaemonProcess): Promise<void> {
    recorder.record({ kind: 'stop-begun', daemon: daemon.name })
    daemon.child.signal('SIGTERM')
    await recordExit(daemon)
  }

  async function restart (name: string): Promise<void> {
    await daemonProcessModule.awaitReady(await system.restart(name))
  }

  async function setLeavingTargets (leaving: ReadonlySet<string>): Promise<void> {
    const targets = new Map(system.documents.flatMap((serviceDocument) => serviceDocument.targets.map((target) => [target.name, target.address])))
    const vms = [...targets].map(([name, address]) => ({ name, address, state: leaving.has(name) ? 'leaving' : 'live' }))
    await post(system.standin('vm-list').controlAddress, '/standin/vms', { vms })
    for (const target of leaving) recorder.record({ kind: 'target-leaving', target })
  }

  return {
    kill,
    suspend,
    suspendFor,
    stop,
    restart,
    setFaults: (standin, faults) => post(system.standin(standin).controlAddress, '/standin/faults', faults),
    setLeavingTargets
  }
}
