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

/** Highest factor that a wave may return. */
const MAX_WAVE = 2
const PREFILL_MS_PER_TOKEN = 0.008
const FIRST_EVENT_MS = 62
const DECODE_MS_PER_TOKEN = 4.3

/** Generation speed of the other requests during a prefill, relative to their usual speed. */
const DECODE_SPEED_DURING_PREFILL = 0.21

const SERVICE: routing.document.Service = { name: 'support', connections: 370, engine: { slots: 12, memoryTokens: 790_000, tokensPerEvent: 6 } }

/** Speed of an engine whose latency factor is 1, and the service that it belongs to. */
export interface EngineModel {
  readonly service: routing.document.Service
  readonly prefillMsPerToken: number
  readonly firstEventMs: number
  readonly decodeMsPerToken: number
  /** Returns how long work takes at an engine, relative to the usual time; engines report it with each first event. */
  readonly workFactorOf?: (engine: number, nowMs: number) => number
}

const DEFAULT_MODEL: EngineModel = { service: SERVICE, prefillMsPerToken: PREFILL_MS_PER_TOKEN, firstEventMs: FIRST_EVENT_MS, decodeMsPerToken: DECODE_MS_PER_TOKEN }

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
  /** Requests that ran into their time limit. */
  readonly timedOut: number
  /** Sum of the times between arrival and refusal, ms. */
  readonly refusalMs: number
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
  readonly model?: EngineModel
  /** Returns the factor on the rate of arrivals at a daemon. */
  readonly wave?: (daemon: number, nowMs: number) => number
  /** Whether requests end at their time limit. */
  readonly endsAtLimit?: boolean
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
  /** Time of the last event, and the remaining tokens at that time. */
  readonly lastEvent: readonly [atMs: number, remainingTokens: number]
}

export interface Result {
  readonly outcomes: ReadonlyMap<string, Outcome>
  /** Number of refusals while more than half of all slots were free. */
  readonly refusedWhileSlotsFree: number
  /** Number of refusals while engines had more free slots that could serve the request in time than requests that come first. */
  readonly wrongRefusals: number
  /** Requests that were sent to an engine without a free slot. */
  readonly dispatchedToFull: number
  /** Most tokens that were at one engine at once. */
  readonly mostTokensAtEngine: number
  readonly mostRequestsAtEngine: number
}

const NO_REQUESTS: Outcome = { arrived: 0, inTime: 0, late: 0, refused: 0, timedOut: 0, refusalMs: 0, longestRefusalMs: 0 }

/** Runs the load through the pools. */
export function simulateFleet (options: Options): Result {
  const source = generator.xoroshiro128plus(options.seed)
  const random = (): number => distribution.uniformFloat64(source)
  // Decisions draw from a sequence of their own, so that every way to decide meets the same arrivals.
  const decisionSource = generator.xoroshiro128plus(options.seed + 1)
  const decisionRandom = (): number => distribution.uniformFloat64(decisionSource)
  const { service, prefillMsPerToken, firstEventMs, decodeMsPerToken, workFactorOf } = options.model ?? DEFAULT_MODEL
  const slots = service.engine?.slots ?? 1
  const tokensPerEvent = service.engine?.tokensPerEvent ?? 1
  const targets = options.engines.map((_, index) => ({ id: `i-${index}`, service: 'support', address: `10.0.0.${index}:80`, availabilityZone: 'a', version: 'v1', slots, leaving: false }))
  const pools = Array.from({ length: options.daemons }, () => new routing.pool.Pool({ service, random: decisionRandom }))
  const outcomes = new Map<string, Outcome>()
  const arrivals = new Map<number, { readonly kind: Kind, readonly arrivedMs: number }>()
  /** Requests that wait at a daemon. */
  const waiting = new Map<number, Kind>()
  let running: readonly Running[] = []
  let refusedWhileSlotsFree = 0
  let wrongRefusals = 0
  let dispatchedToFull = 0
  let mostTokensAtEngine = 0
  let mostRequestsAtEngine = 0
  let nextId = 1
  let nowMs = 0

  const updateOutcome = (kind: Kind, update: (before: Outcome) => Outcome): void => { outcomes.set(kind.name, update(outcomes.get(kind.name) ?? NO_REQUESTS)) }
  const isFrozen = (daemon: number): boolean => daemon < options.frozen && nowMs > options.durationMs / 3

  function handleEvent (daemon: number, event: routing.poolEvent.PoolEvent): void {
    for (const decision of [...pools[daemon]?.handle(event, nowMs) ?? []]) {
      const arrival = arrivals.get(decision.id)
      if (arrival === undefined) continue
      const { kind, arrivedMs } = arrival
      waiting.delete(decision.id)
      if (decision.kind === 'refuse') {
        const waitedMs = nowMs - arrivedMs
        if (running.length * 2 < targets.length * slots) refusedWhileSlotsFree += 1
        if (couldServe(kind, arrivedMs)) wrongRefusals += 1
        updateOutcome(kind, (before) => ({ ...before, refused: before.refused + 1, refusalMs: before.refusalMs + waitedMs, longestRefusalMs: Math.max(before.longestRefusalMs, waitedMs) }))
      } else {
        if (running.filter(({ engine }) => engine === decision.target.id).length >= slots) dispatchedToFull += 1
        running = [...running, { daemon, id: decision.id, kind, arrivedMs, engine: decision.target.id, remainingPrefillMs: kind.promptTokens * prefillMsPerToken, remainingFirstEventMs: firstEventMs, remainingTokens: kind.outputTokens, lastEvent: [0, kind.outputTokens] }]
      }
    }
  }

  /** Returns whether slots that no request with the same or a higher priority waits for would begin the response in time and end it within the limit. */
  function couldServe (kind: Kind, arrivedMs: number): boolean {
    const ahead = [...waiting.values()].filter(({ priority }) => priority <= kind.priority).length
    const usableSlots = options.engines.map((latencyFactor, index) => {
      const atEngine = running.filter(({ engine }) => engine === `i-${index}`)
      const slowdown = latencyFactor * (workFactorOf?.(index, nowMs) ?? 1)
      const pendingMs = atEngine.reduce((sum, request) => sum + Math.max(0, request.remainingPrefillMs), 0)
      const firstMs = slowdown * (pendingMs + kind.promptTokens * prefillMsPerToken + firstEventMs)
      const isInTime = nowMs + firstMs <= arrivedMs + kind.targetLatencyMs && nowMs + firstMs + latencyFactor * decodeMsPerToken * kind.outputTokens < arrivedMs + kind.limitMs
      return isInTime ? Math.max(0, slots - atEngine.length) : 0
    })
    return usableSlots.reduce((sum, each) => sum + each, 0) > ahead
  }

  function arrive (kind: Kind): void {
    const active = pools.map((_, index) => index).filter((index) => !isFrozen(index))
    const daemon = active[Math.floor(random() * active.length)] ?? 0
    if (options.wave !== undefined && random() * MAX_WAVE >= options.wave(daemon, nowMs)) return
    const id = nextId
    nextId += 1
    arrivals.set(id, { kind, arrivedMs: nowMs })
    updateOutcome(kind, (before) => ({ ...before, arrived: before.arrived + 1 }))
    waiting.set(id, kind)
    handleEvent(daemon, {
      kind: 'arrived',
      request: { id, organisation: '', organisationWeight: 1, priority: kind.priority, arrivedMs: nowMs, targetLatencyMs: kind.targetLatencyMs, limitMs: nowMs + kind.limitMs, resubmitted: false, promptTokens: kind.promptTokens, outputTokens: kind.outputTokens, promptSegments: [], version: undefined, excludedTargets: new Set(), isRetry: false }
    })
  }

  /** Advances an engine by one step: it runs as many requests as it has slots, and the prefill of one slows the generation of the rest. */
  function runEngine (index: number, usualLatencyFactor: number): void {
    const engine = `i-${index}`
    const latencyFactor = usualLatencyFactor * (workFactorOf?.(index, nowMs) ?? 1)
    const atEngine = running.filter((request) => request.engine === engine)
    const batch = atEngine.slice(0, slots)
    mostRequestsAtEngine = Math.max(mostRequestsAtEngine, atEngine.length)
    mostTokensAtEngine = Math.max(mostTokensAtEngine, atEngine.reduce((sum, { kind }) => sum + kind.promptTokens + kind.outputTokens, 0))
    const prefilling = batch.find((request) => request.remainingPrefillMs > 0)
    const tokens = STEP_MS / (decodeMsPerToken * latencyFactor) * (prefilling === undefined ? 1 : DECODE_SPEED_DURING_PREFILL)
    const after = new Map<number, Running>()
    for (const request of batch) {
      if (request === prefilling) {
        after.set(request.id, { ...request, remainingPrefillMs: request.remainingPrefillMs - STEP_MS / latencyFactor })
      } else if (request.remainingPrefillMs <= 0 && request.remainingFirstEventMs > 0) {
        const remainingFirstEventMs = request.remainingFirstEventMs - STEP_MS / latencyFactor
        after.set(request.id, { ...request, remainingFirstEventMs, lastEvent: [nowMs, request.remainingTokens] })
        if (workFactorOf !== undefined && remainingFirstEventMs <= 0) handleEvent(request.daemon, { kind: 'load-reported', target: engine, running: batch.length, waiting: atEngine.length - batch.length, slots, workFactor: workFactorOf(index, nowMs) })
        if (remainingFirstEventMs <= 0) firstEvent(request)
      } else if (request.remainingPrefillMs <= 0) {
        const remainingTokens = request.remainingTokens - tokens
        const [lastEventMs, tokensThen] = request.lastEvent
        const isEvent = tokensThen - remainingTokens >= tokensPerEvent
        after.set(request.id, { ...request, remainingTokens, lastEvent: isEvent ? [nowMs, tokensThen - tokensPerEvent] : request.lastEvent })
        if (isEvent) handleEvent(request.daemon, { kind: 'next-event', id: request.id, intervalMs: nowMs - lastEventMs })
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

  function endAtLimit (): void {
    for (const { daemon, id, kind } of running.filter(({ kind, arrivedMs }) => nowMs - arrivedMs >= kind.limitMs)) {
      running = running.filter((request) => request.id !== id)
      updateOutcome(kind, (before) => ({ ...before, timedOut: before.timedOut + 1 }))
      handleEvent(daemon, { kind: 'left', id })
    }
  }

  for (const [index] of pools.entries()) handleEvent(index, { kind: 'targets', targetShares: targets.map((target) => ({ target, share: 1 })), cellPosition: { index, members: options.daemons } })
  for (; nowMs < options.durationMs; nowMs += STEP_MS) {
    for (const kind of options.kinds) if (random() < kind.perS * (options.wave === undefined ? 1 : MAX_WAVE) * STEP_MS / 1_000) arrive(kind)
    for (const [index, latencyFactor] of options.engines.entries()) runEngine(index, latencyFactor)
    if (options.endsAtLimit === true) endAtLimit()
    if (nowMs % REPORT_INTERVAL_MS === 0) report()
    for (const [index] of pools.entries()) if (!isFrozen(index)) handleEvent(index, { kind: 'tick' })
  }
  return { outcomes, refusedWhileSlotsFree, wrongRefusals, dispatchedToFull, mostTokensAtEngine, mostRequestsAtEngine }
}
