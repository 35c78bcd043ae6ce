/**
 * The command `persimmonhatch-load`.
 *
 * @module
 */
import * as fs from 'node:fs'
import * as timers from 'node:timers/promises'
import * as clipanion from 'clipanion'
import * as neverthrow from 'neverthrow'
import * as typanion from 'typanion'
import * as undici from 'undici'
import * as mix from '../mix.js'
import * as random from '../random.js'
import * as readTrace from '../trace/read-trace.js'
import * as daemonAddresses from './daemon-addresses.js'
import * as drive from './drive.js'
import * as httpSend from './http-send.js'
import * as plan from './plan.js'
import * as summary from './summary.js'

const MIXES: ReadonlyMap<string, mix.Mix> = new Map([['atlasrenew', mix.ATLASRENEW], ['lanaustro', mix.LANAUSTRO]])
const MAX_REQUESTS = 100_000
const MAX_DURATION_S = 600
const MS_PER_S = 1_000
const DEFAULT_RATE_PER_S = 10
const DEFAULT_DURATION_S = 30
const DEFAULT_MAX_REQUESTS = 10_000
const DEFAULT_DRAIN_S = 30

/** Options that don't go together. */
export class UnusableOptions extends Error {
  override readonly name = 'UnusableOptions'
}

function isPositive (maximum: number): typanion.StrictValidator<unknown, number> {
  return typanion.cascade(typanion.isNumber(), [typanion.isAtLeast(0.001), typanion.isAtMost(maximum)])
}

async function sleep (durationMs: number, signal: AbortSignal): Promise<void> {
  await timers.setTimeout(durationMs, undefined, { signal }).catch(() => undefined)
}

/** Drives daemons with a mix or a trace. */
export class LoadCommand extends clipanion.Command {
  static override readonly paths = [clipanion.Command.Default]

  static override readonly usage = clipanion.Command.Usage({
    description: 'Send load to live daemons, open loop, and show counts and latencies from the intended time of sending',
    examples: [
      ['20 requests a second for 30 s', '$0 --daemons 127.0.0.1:7400,127.0.0.1:7401 --mix atlasrenew --rate 20 --duration 30'],
      ['Two sets of daemons in one run', '$0 --daemons 127.0.0.1:7400 --against 127.0.0.1:8400 --trace traces/lanaustro.jsonl --speed 0.2']
    ]
  })

  readonly daemons = clipanion.Option.String('--daemons', { required: true, description: 'addresses of the daemons, with commas' })
  readonly against = clipanion.Option.String('--against', { description: 'addresses of a second set that gets the same load at the same time' })
  readonly mixName = clipanion.Option.String('--mix', { description: 'atlasrenew or lanaustro' })
  readonly rate = clipanion.Option.String('--rate', { validator: isPositive(10_000), description: 'requests a second, for a mix; 10 when left out' })
  readonly traceFile = clipanion.Option.String('--trace', { description: 'a trace as docs/traces.md describes it' })
  readonly speed = clipanion.Option.String('--speed', { validator: isPositive(100), description: 'factor by which a trace is sent faster; 1 when left out' })
  readonly duration = clipanion.Option.String('--duration', { validator: isPositive(MAX_DURATION_S), description: 'seconds; 30 when left out' })
  readonly maxRequests = clipanion.Option.String('--max-requests', { validator: isPositive(MAX_REQUESTS), description: 'most requests for each set; 10000 when left out' })
  readonly drain = clipanion.Option.String('--drain', { validator: isPositive(MAX_DURATION_S), description: 'seconds to wait for answers after the last request; 30 when left out' })
  readonly seed = clipanion.Option.String('--seed', { validator: typanion.isNumber() })
  readonly allowsRemote = clipanion.Option.Boolean('--allow-remote', false, { description: 'allow addresses other than loopback' })

  override async execute (): Promise<number> {
    const ready = this.#readSets().andThen((sets) => this.#readPlan().map((planned) => ({ sets, planned })))
    if (ready.isErr()) {
      this.context.stderr.write(`${ready.error.message}\n`)
      return 1
    }
    const { sets, planned } = ready.value
    const driven = await Promise.all([...sets].map(async ([name, addresses]) => [name, await this.#drive(planned, addresses)] as const))
    this.context.stdout.write(`${summary.formatSummary(new Map(driven))}\n`)
    return 0
  }

  #readSets (): neverthrow.Result<ReadonlyMap<string, readonly string[]>, Error> {
    const lists: readonly (readonly [string, string])[] = this.against === undefined ? [['daemons', this.daemons]] : [['daemons', this.daemons], ['against', this.against]]
    const read = lists.map(([name, list]) => daemonAddresses.readAddresses(list, this.allowsRemote).map((addresses) => [name, addresses] as const))
    return neverthrow.Result.combine(read).map((sets) => new Map(sets))
  }

  #readPlan (): neverthrow.Result<readonly plan.Planned[], Error> {
    const bounds = { maxRequests: Math.floor(this.maxRequests ?? DEFAULT_MAX_REQUESTS), durationMs: (this.duration ?? DEFAULT_DURATION_S) * MS_PER_S }
    const named = MIXES.get(this.mixName ?? '')
    if ((this.mixName === undefined) === (this.traceFile === undefined)) return neverthrow.err(new UnusableOptions('Name either --mix or --trace.'))
    if (this.traceFile !== undefined) {
      const read = neverthrow.Result.fromThrowable(fs.readFileSync, (error) => new UnusableOptions(`The trace can't be read (${String(error)}). Name a file that exists.`))
      return read(this.traceFile, 'utf8').andThen((text): neverthrow.Result<readonly plan.Planned[], Error> => readTrace.readTrace(String(text)).map((of) => [...plan.planTrace(of, this.speed ?? 1, bounds)]))
    }
    if (named === undefined) return neverthrow.err(new UnusableOptions(`There is no mix "${this.mixName ?? ''}". Name one of ${[...MIXES.keys()].join(', ')}.`))
    return neverthrow.ok([...plan.planMix(named, this.rate ?? DEFAULT_RATE_PER_S, bounds, random.seededRandom(this.seed ?? 1))])
  }

  async #drive (planned: readonly plan.Planned[], addresses: readonly string[]): Promise<readonly drive.Call[]> {
    const httpClient = new undici.Agent({ pipelining: 1 })
    const now = (): number => performance.now()
    const ports: drive.Ports = { now, sleep, send: httpSend.createSend({ addresses, httpClient, now }) }
    const calls = await drive.drive(planned, ports, (this.drain ?? DEFAULT_DRAIN_S) * MS_PER_S)
    await httpClient.destroy()
    return calls
  }
}
