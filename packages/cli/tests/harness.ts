/**
 * In-memory platform, daemons and files, and a runner of command lines against them.
 *
 * @module
 */
import * as stream from 'node:stream'
import * as backing from '@persimmonhatch/backing-services'
import * as neverthrow from 'neverthrow'
import type * as burnPage from '../src/burn-page.js'
import * as failure from '../src/failure.js'
import type * as ports from '../src/ports.js'
import * as run from '../src/run.js'

/** Outcome of a write: the response arrives, or it is lost after or before the write takes effect. */
export type WriteOutcome = 'answered' | 'lost-after' | 'lost-before'

/** Exit code and output of one command line. */
export interface CommandOutput {
  readonly code: number
  readonly out: string
  readonly err: string
}

/** Returns a daemon's response to a path. */
export type DaemonHandler = (path: string) => ports.DaemonResponse

/** In-memory environment of the tool. */
export class Fixture {
  readonly entries = new Map<string, backing.keyValue.Entry>()
  readonly files = new Map<string, string>()
  readonly daemons = new Map<string, DaemonHandler>()
  readonly environment: Record<string, string> = {}
  writeOutcomes: readonly WriteOutcome[] = []
  isPlatformDown = false
  plot: burnPage.Plot | undefined = undefined
  /** Runs before each write. */
  beforeWrite = (): void => {}
  /** Runs on each sleep. */
  onSleep = (): void => {}
  private nowMs = 1_000_000
  private nextChangeNumber = 1
  private revision = 0

  /** Writes a value as another client of the platform. */
  put (key: string, value: string): void {
    this.revision += 1
    this.entries.set(key, { key, value, modRevision: this.revision })
  }

  /** Runs one command line. */
  async run (...args: readonly string[]): Promise<CommandOutput> {
    const [out, err] = [new OutputBuffer(), new OutputBuffer()]
    const code = await run.run(args, {
      env: this.environment,
      stdin: stream.Readable.from([]),
      stdout: out,
      stderr: err,
      colorDepth: 1,
      userName: 'ana',
      plot: this.plot,
      files: this.createFiles(),
      connect: () => this.createPorts()
    } satisfies ports.Context)
    return { code, out: out.text, err: err.text }
  }

  /** Creates the files port of the tool. */
  createFiles (): ports.Files {
    return {
      exists: (path) => this.files.has(path),
      read: (path) => {
        const text = this.files.get(path)
        return text === undefined ? neverthrow.err(new failure.Failure('invalid', 'file-unreadable', { file: path, detail: 'no such file' })) : neverthrow.ok(text)
      },
      write: (path, text) => {
        this.files.set(path, text)
        return neverthrow.ok(undefined)
      }
    }
  }

  private createPorts (): ports.Ports {
    return {
      keyValue: this.createKeyValue(),
      queryDaemon: (address, path) => this.queryDaemon(address, path),
      nowMs: () => this.nowMs,
      sleep: async (durationMs) => {
        this.nowMs += durationMs
        this.onSleep()
      },
      random: () => 0.5,
      createChangeId: () => `change-${String(this.nextChangeNumber++).padStart(4, '0')}`,
      hash: (content) => `hash-${content.length}`,
      close: async () => {}
    }
  }

  private queryDaemon (address: string, path: string): neverthrow.ResultAsync<ports.DaemonResponse, failure.Failure> {
    const daemon = this.daemons.get(address)
    if (daemon === undefined) return neverthrow.errAsync(new failure.Failure('daemonUnreachable', 'daemon-unreachable', { address, detail: 'connection refused' }))
    return neverthrow.okAsync(daemon(path))
  }

  private respond<Value> (read: () => Value): backing.keyValue.PlatformResult<Value> {
    if (this.isPlatformDown) return neverthrow.errAsync(new backing.keyValue.PlatformFailure('unavailable', 'connection refused; check platform.endpoints'))
    return neverthrow.okAsync(read())
  }

  private swap (write: backing.keyValue.Write): backing.keyValue.SwapResult {
    const current = this.entries.get(write.key)
    if ((current?.modRevision ?? 0) !== write.expectedRevision) return { succeeded: false, revision: this.revision, current }
    this.put(write.key, write.value ?? '')
    return { succeeded: true, revision: this.revision, current: undefined }
  }

  private compareAndSwap (write: backing.keyValue.Write): backing.keyValue.PlatformResult<backing.keyValue.SwapResult> {
    this.beforeWrite()
    const [writeOutcome = 'answered', ...rest] = this.writeOutcomes
    this.writeOutcomes = rest
    if (writeOutcome === 'answered') return this.respond(() => this.swap(write))
    if (writeOutcome === 'lost-after') this.swap(write)
    return neverthrow.errAsync(new backing.keyValue.PlatformFailure('unanswered', 'timed out'))
  }

  private createKeyValue (): backing.keyValue.KeyValue {
    const unused = (): never => { throw new Error('the tool must neither use leases nor watch') }
    return {
      get: (key) => this.respond(() => this.entries.get(key)),
      list: (prefix) => this.respond(() => ({ entries: [...this.entries.values()].filter((entry) => entry.key.startsWith(prefix)), era: 0, revision: this.revision })),
      compareAndSwap: (write) => this.compareAndSwap(write),
      grantLease: unused,
      keepLeaseAlive: unused,
      revokeLease: unused,
      watch: unused
    }
  }
}

class OutputBuffer extends stream.Writable {
  text = ''

  override _write (chunk: Buffer, _encoding: string, done: () => void): void {
    this.text += chunk.toString()
    done()
  }
}

const LISTINGS_DOCUMENT = {
  service: 'listings',
  kind: 'model',
  tiers: [{ name: 'urgent', rank: 0 }],
  defaultTier: 'urgent',
  organisations: [{ name: 'rabat' }],
  targets: [{ name: 'engine-a', address: '127.0.0.1:9101', pool: 'engines', availabilityZone: 'zone-a' }]
}

/** Returns the text of a valid document, with some keys replaced. */
export function createDocumentText (replaced: Readonly<Record<string, unknown>> = {}): string {
  return JSON.stringify({ ...LISTINGS_DOCUMENT, ...replaced })
}

/** Returns the status of a daemon with the revisions of services in force there. */
export function createStatus (address: string, services: ReadonlyArray<Readonly<Record<string, unknown>>>, members: ReadonlyArray<Readonly<Record<string, unknown>>> = []): unknown {
  return {
    incarnation: `inc-${address.at(-1) ?? ''}`,
    address,
    availabilityZone: 'zone-a',
    region: 'region-a',
    state: 'serving',
    members,
    services,
    pools: [],
    entry: { waiting: 0, running: 2, remembered: 0, draining: false },
    platform: { state: 'reachable', callsPerMinute: 3 },
    leavingTargets: []
  }
}

/** Returns a member as it registers on the platform. */
export function createMember (address: string, incarnation = `inc-${address.at(-1) ?? ''}`): Readonly<Record<string, unknown>> {
  return { kind: 'member', incarnation, address, peerAddress: address, availabilityZone: 'zone-a', region: 'region-a', beat: 1, state: 'alive', load: 0 }
}
