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
import * as httpSender from './http-sender.js'
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

/** Reports invalid options. */
export class UnusableOptions extends Error {
  override readonly name = 'UnusableOptions'
}

function isPositiveUpTo (maximum: number): typanion.StrictValidator<unknown, number> {
  return typanion.cascade(typanion.isNumber(), [typanion.isAtLeast(0.001), typanion.isAtMost(maximum)])
}

async function sleep (durationMs: number, signal: AbortSignal): Promise<void> {
  await timers.setTimeout(durationMs, undefined, { signal }).catch(() => undefined)
}

/** Sends the load of a mix or a trace to daemons. */
export class LoadCommand extends clipanion.Command {
  static override readonly paths = [clipanion.Command.Default]

  static override readonly usage = clipanion.Command.Usage({
    description: 'Send open-loop load to live daemons, and show counts and latencies measured from the intended send time',
    examples: [
      ['20 requests per second for 30 s', '$0 --daemons 127.0.0.1:7400,127.0.0.1:7401 --mix atlasrenew --rate 20 --duration 30'],
      ['Two sets of daemons in one run', '$0 --daemons 127.0.0.1:7400 --against 127.0.0.1:8400 --trace traces/lanaustro.jsonl --speed 0.2']
    ]
  })

  readonly daemons = clipanion.Option.String('--daemons', { required: true, description: 'comma-separated addresses of the daemons' })
  readonly against = clipanion.Option.String('--against', { description: 'addresses of a second set of daemons that receives the same load at the same time' })
  readonly mixName = clipanion.Option.String('--mix', { description: 'atlasrenew or lanaustro' })
  readonly rate = clipanion.Option.String('--rate', { validator: isPositiveUpTo(10_000), description: 'requests per second, for a mix; default 10' })
  readonly traceFile = clipanion.Option.String('--trace', { description: 'trace file in the format of docs/traces.md' })
  readonly speed = clipanion.Option.String('--speed', { validator: isPositiveUpTo(100), description: 'speed relative to the recorded trace; default 1' })
  readonly duration = clipanion.Option.String('--duration', { validator: isPositiveUpTo(MAX_DURATION_S), description: 'seconds; default 30' })
  readonly maxRequests = clipanion.Option.String('--max-requests', { validator: isPositiveUpTo(MAX_REQUESTS), description: 'maximum number of requests for each set; default 10000' })
  readonly drain = clipanion.Option.String('--drain', { validator: isPositiveUpTo(MAX_DURATION_S), description: 'seconds to wait for responses after the last request; default 30' })
  readonly seed = clipanion.Option.String('--seed', { validator: typanion.isNumber() })
  readonly allowsRemote = clipanion.Option.Boolean('--allow-remote', false, { description: 'allow addresses other than loopback' })

  override async execute (): Promise<number> {
    const input = this.#parseDaemonSets().andThen((sets) => this.#createPlan().map((planned) => ({ sets, planned })))
    if (input.isErr()) {
      this.context.stderr.write(`${input.error.message}\n`)
      return 1
    }
    const { sets, planned } = input.value
    const results = await Promise.all([...sets].map(async ([name, addresses]) => [name, await this.#driveSet(planned, addresses)] as const))
    this.context.stdout.write(`${summary.formatSummary(new Map(results))}\n`)
    return 0
  }

  #parseDaemonSets (): neverthrow.Result<ReadonlyMap<string, readonly string[]>, Error> {
    const lists: readonly (readonly [string, string])[] = this.against === undefined ? [['daemons', this.daemons]] : [['daemons', this.daemons], ['against', this.against]]
    const read = lists.map(([name, list]) => daemonAddresses.readAddresses(list, this.allowsRemote).map((addresses) => [name, addresses] as const))
    return neverthrow.Result.combine(read).map((sets) => new Map(sets))
  }

  #createPlan (): neverthrow.Result<readonly plan.PlannedRequest[], Error> {
    const limits = { maxRequests: Math.floor(this.maxRequests ?? DEFAULT_MAX_REQUESTS), durationMs: (this.duration ?? DEFAULT_DURATION_S) * MS_PER_S }
    const namedMix = MIXES.get(this.mixName ?? '')
    if ((this.mixName === undefined) === (this.traceFile === undefined)) return neverthrow.err(new UnusableOptions('Name either --mix or --trace.'))
    if (this.traceFile !== undefined) {
      const readFile = neverthrow.Result.fromThrowable(fs.readFileSync, (error) => new UnusableOptions(`The trace can't be read (${String(error)}). Name a file that exists.`))
      return readFile(this.traceFile, 'utf8').andThen((text): neverthrow.Result<readonly plan.PlannedRequest[], Error> => readTrace.readTrace(String(text)).map((sourceTrace) => [...plan.planTrace(sourceTrace, this.speed ?? 1, limits)]))
    }
    if (namedMix === undefined) return neverthrow.err(new UnusableOptions(`There is no mix "${this.mixName ?? ''}". Name one of ${[...MIXES.keys()].join(', ')}.`))
    return neverthrow.ok([...plan.planMix(namedMix, this.rate ?? DEFAULT_RATE_PER_S, limits, random.seededRandom(this.seed ?? 1))])
  }

  async #driveSet (planned: readonly plan.PlannedRequest[], addresses: readonly string[]): Promise<readonly drive.Call[]> {
    const httpClient = new undici.Agent({ pipelining: 1 })
    const now = (): number => performance.now()
    const dependencies: drive.Dependencies = { now, sleep, send: httpSender.createHttpSender({ addresses, httpClient, now }) }
    const calls = await drive.drive(planned, dependencies, (this.drain ?? DEFAULT_DRAIN_S) * MS_PER_S)
    await httpClient.destroy()
    return calls
  }
}
