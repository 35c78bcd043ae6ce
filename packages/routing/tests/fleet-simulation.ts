/**
 * Simulates a fleet of daemons that place requests on model engines, in simulated time. Each daemon decides
 * alone, based on reports that are sent at an interval and may be lost. An engine runs a bounded batch and
 * prefills one prompt at a time, which slows the generation of the other requests in the batch.
 */
import * as routing from '@persimmonhatch/routing'
import * as distribution from 'pure-rand/distribution/uniformFloat64'
import * as generator from 'pure-rand/generator/xoroshiro128plus'

const STEP_MS = 5
const REPORT_INTERVAL_MS = 40
const PREFILL_MS_PER_TOKEN = 0.008
const FIRST_EVENT_MS = 62
const DECODE_MS_PER_TOKEN = 4.3

/** Generation speed of the other requests during a prefill, relative to their usual speed. */
const DECODE_SPEED_DURING_PREFILL = 0.21

const SERVICE: routing.document.Service = { name: 'support', connections: 370, engine: { slots: 12, memoryTokens: 790_000, tokensPerEvent: 6 } }

/** One kind of request. */
export interface Kind {
  readonly name: string
  readonly priority: number
  readonly perS: number
  readonly promptTokens: number
  readonly outputTokens: number
  readonly targetLatencyMs: number
  readonly limitMs: number
}

/** Outcomes of the requests of one kind. */
export interface Outcome {
  readonly arrived: number
  readonly inTime: number
  readonly late: number
  readonly refused: number
  /** Longest time between arrival and refusal, ms. */
  readonly longestRefusalMs: number
}

export interface Options {
  readonly seed: number
  readonly daemons: number
  /** Latency factor of each engine. */
  readonly engines: readonly number[]
  readonly kinds: readonly Kind[]
  readonly durationMs: number
  /** Number of daemons that neither decide nor report after a third of the duration; their callers use the others. */
  readonly frozen: number
  readonly reportLoss: number
}

interface Running {
  readonly daemon: number
  readonly id: number
  readonly kind: Kind
  readonly arrivedMs: number
  readonly engine: string
  /** Remaining prefill time; the engine prefills one request at a time. */
  readonly remainingPrefillMs: number
  /** Remaining time to the first event after the prefill. */
  readonly remainingFirstEventMs: number
  readonly remainingTokens: number
}

export interface Result {
  readonly outcomes: ReadonlyMap<string, Outcome>
  /** Number of refusals while more than half of all slots were free. */
  readonly refusedWhileSlotsFree: number
}

const NO_REQUESTS: Outcome = { arrived: 0, inTime: 0, late: 0, refused: 0, longestRefusalMs: 0 }

/** Runs the load through the pools. */
export function simulateFleet (options: Options): Result {
  const source = generator.xoroshiro128plus(options.seed)
  const random = (): number => distribution.uniformFloat64(source)
  const targets = options.engines.map((_, index) => ({ id: `i-${index}`, service: 'support', address: `10.0.0.${index}:80`, availabilityZone: 'a', version: 'v1', slots: 12, leaving: false }))
  const pools = Array.from({ length: options.daemons }, () => new routing.pool.Pool({ service: SERVICE, random }))
  const outcomes = new Map<string, Outcome>()
  const arrivals = new Map<number, { readonly kind: Kind, readonly arrivedMs: number }>()
  let running: readonly Running[] = []
  let refusedWhileSlotsFree = 0
  let nextId = 1
  let nowMs = 0

  const updateOutcome = (kind: Kind, update: (before: Outcome) => Outcome): void => { outcomes.set(kind.name, update(outcomes.get(kind.name) ?? NO_REQUESTS)) }
  const isFrozen = (daemon: number): boolean => daemon < options.frozen && nowMs > options.durationMs / 3

  function handleEvent (daemon: number, event: routing.poolEvent.PoolEvent): void {
    for (const decision of [...pools[daemon]?.handle(event, nowMs) ?? []]) {
      const arrival = arrivals.get(decision.id)
      if (arrival === undefined) continue
      const { kind, arrivedMs } = arrival
      if (decision.kind === 'refuse') {
        const waitedMs = nowMs - arrivedMs
        if (running.length * 2 < targets.length * 12) refusedWhileSlotsFree += 1
        updateOutcome(kind, (before) => ({ ...before, refused: before.refused + 1, longestRefusalMs: Math.max(before.longestRefusalMs, waitedMs) }))
      } else {
        running = [...running, { daemon, id: decision.id, kind, arrivedMs, engine: decision.target.id, remainingPrefillMs: kind.promptTokens * PREFILL_MS_PER_TOKEN, remainingFirstEventMs: FIRST_EVENT_MS, remainingTokens: kind.outputTokens }]
      }
    }
  }

  function arrive (kind: Kind): void {
    const active = pools.map((_, index) => index).filter((index) => !isFrozen(index))
    const daemon = active[Math.floor(random() * active.length)] ?? 0
    const id = nextId
    nextId += 1
    arrivals.set(id, { kind, arrivedMs: nowMs })
    updateOutcome(kind, (before) => ({ ...before, arrived: before.arrived + 1 }))
    handleEvent(daemon, {
      kind: 'arrived',
      request: { id, organisation: '', organisationWeight: 1, priority: kind.priority, arrivedMs: nowMs, targetLatencyMs: kind.targetLatencyMs, limitMs: nowMs + kind.limitMs, resubmitted: false, promptTokens: kind.promptTokens, outputTokens: kind.outputTokens, promptSegments: [], version: undefined, excludedTargets: new Set(), leftTargets: new Set(), isRetry: false }
    })
  }

  /** Advances an engine by one step: it runs up to 12 requests, and the prefill of one slows the generation of the rest. */
  function runEngine (engine: string, latencyFactor: number): void {
    const atEngine = running.filter((request) => request.engine === engine)
    const batch = atEngine.slice(0, 12)
    const prefilling = batch.find((request) => request.remainingPrefillMs > 0)
    const tokens = STEP_MS / (DECODE_MS_PER_TOKEN * latencyFactor) * (prefilling === undefined ? 1 : DECODE_SPEED_DURING_PREFILL)
    const after = new Map<number, Running>()
    for (const request of batch) {
      if (request === prefilling) {
        after.set(request.id, { ...request, remainingPrefillMs: request.remainingPrefillMs - STEP_MS / latencyFactor })
      } else if (request.remainingPrefillMs <= 0 && request.remainingFirstEventMs > 0) {
        const remainingFirstEventMs = request.remainingFirstEventMs - STEP_MS / latencyFactor
        after.set(request.id, { ...request, remainingFirstEventMs })
        if (remainingFirstEventMs <= 0) firstEvent(request)
      } else if (request.remainingPrefillMs <= 0) {
        after.set(request.id, { ...request, remainingTokens: request.remainingTokens - tokens })
        handleEvent(request.daemon, { kind: 'next-event', id: request.id, intervalMs: 6 * STEP_MS / tokens })
      }
    }
    const ended = [...after.values()].filter((request) => request.remainingTokens <= 0)
    running = running.filter((request) => !ended.some((endedRequest) => endedRequest.id === request.id)).map((request) => after.get(request.id) ?? request)
    for (const request of ended) if (!isFrozen(request.daemon)) handleEvent(request.daemon, { kind: 'ended', id: request.id, outcome: 'answered' })
  }

  function firstEvent (request: Running): void {
    const inTime = nowMs - request.arrivedMs <= request.kind.targetLatencyMs
    updateOutcome(request.kind, (before) => inTime ? { ...before, inTime: before.inTime + 1 } : { ...before, late: before.late + 1 })
    handleEvent(request.daemon, { kind: 'first-event', id: request.id })
  }

  function report (): void {
    const active = pools.map((_, index) => index).filter((index) => !isFrozen(index))
    for (const from of active) {
      const load = pools[from]?.load(nowMs)
      for (const to of active) if (to !== from && load !== undefined && random() >= options.reportLoss) handleEvent(to, { kind: 'peer-load', peer: `d-${from}`, load })
    }
    for (const daemon of active) handleEvent(daemon, { kind: 'fleet', reachable: active.length, daemons: options.daemons })
  }

  for (const [index] of pools.entries()) handleEvent(index, { kind: 'targets', targetShares: targets.map((target) => ({ target, share: 1 })) })
  for (; nowMs < options.durationMs; nowMs += STEP_MS) {
    for (const kind of options.kinds) if (random() < kind.perS * STEP_MS / 1_000) arrive(kind)
    for (const [index, latencyFactor] of options.engines.entries()) runEngine(`i-${index}`, latencyFactor)
    if (nowMs % REPORT_INTERVAL_MS === 0) report()
    for (const [index] of pools.entries()) if (!isFrozen(index)) handleEvent(index, { kind: 'tick' })
  }
  return { outcomes, refusedWhileSlotsFree }
}
