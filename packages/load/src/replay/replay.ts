/**
 * Replays a trace in virtual time. The same trace, scheduler and seed give the same result.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'
import type * as history from '@persimmonhatch/history'
import * as random from '../random.js'
import type * as trace from '../trace/trace.js'
import * as engine from './engine.js'
import * as prefixes from './prefixes.js'
import * as recorder from './recorder.js'
import type * as scheduler from './scheduler.js'
import * as timeline from './timeline.js'

/** What a replay showed. */
export interface Result {
  readonly trace: trace.Trace
  readonly outcomes: readonly recorder.Outcome[]
  readonly jobs: readonly recorder.Run[]
  readonly history: history.history.History
  readonly counters: ReadonlyMap<string, number>
  readonly prefilledTokens: number
  readonly wastedPrefillTokens: number
}

/** Time before the first arrival, in which new authorities collect what entries hold. */
export const LEAD_MS = 5_000

const REPORT_INTERVAL_MS = 1_000
/** Time after the last arrival for which requests may still finish. */
const DRAIN_MS = 180_000

function schedulerSeed (header: trace.Header): number {
  return header.seed + 1
}

function scheduleEvent (clock: timeline.Timeline, engines: ReadonlyMap<string, engine.Engine>, event: trace.TargetEvent): void {
  const target = engines.get(event.target)
  if (target === undefined) return
  clock.at(LEAD_MS + event.atMs, () => {
    switch (event.type) {
      case 'slowdown':
        target.slowdown = event.factor
        return
      case 'crash':
        return target.crash(event.forMs)
      case 'report-lag':
        target.loadLagMs = event.loadLagMs
        target.cacheEventLagMs = event.cacheEventLagMs
    }
  })
}

function toRequest (of: trace.Trace, kinds: ReadonlyMap<string, trace.Kind>, arrival: trace.Arrival, index: number): scheduler.Request {
  const kind = kinds.get(arrival.kind) as trace.Kind
  return { index, arrival, kind, organisation: of.header.organisations[arrival.by] ?? '', prefixes: kind.target === 'model' ? prefixes.listPrefixes(kind, arrival, index) : [] }
}

/**
 * Replays a trace with a scheduler.
 *
 * @example
 * ```ts
 * const result = replay(recorded, documents, createCores(WHOLE))
 * result.outcomes[0]?.state // 'finished'
 * ```
 */
export function replay (of: trace.Trace, documents: readonly document.serviceDocument.ServiceDocument[], create: scheduler.Factory): Result {
  const { header } = of
  const clock = timeline.createTimeline()
  const next = random.seededRandom(schedulerSeed(header))
  const engines = new Map(header.targets.map((target) => [target.name, new engine.Engine({ target, timeline: clock, random: next })]))
  const record = new recorder.Recorder(clock.now)

  const placed = create({
    timeline: clock,
    header,
    documents,
    random: next,
    dispatch: (request, target, onEnd) => {
      const running = engines.get(target) as engine.Engine
      const { prompt, answer } = request.arrival
      const work = { prompt, answer, prefixes: request.prefixes }
      // A refused connection is not a run.
      if (running.isDown) return running.submit(work, onEnd)
      const run = record.start(request, target)
      const job = running.submit(work, (ended) => {
        record.end(run, ended)
        onEnd(ended)
      })
      record.submitted(run, job)
      return job
    },
    cancel: (job, target) => engines.get(target)?.cancel(job),
    fail: (request, failure) => record.fail(request, failure),
    count: (counter, value) => record.count(counter, value)
  })

  function read (): void {
    for (const [name, each] of engines) placed.load(name, each)
    clock.after(REPORT_INTERVAL_MS, read)
  }

  clock.after(REPORT_INTERVAL_MS, read)
  for (const event of of.events) scheduleEvent(clock, engines, event)
  const kinds = new Map(header.kinds.map((kind) => [kind.name, kind]))
  of.arrivals.forEach((arrival, index) => {
    const request = toRequest(of, kinds, arrival, index)
    clock.at(LEAD_MS + arrival.atMs, () => {
      record.arrive(request)
      placed.arrive(request)
    })
    clock.at(LEAD_MS + arrival.atMs + request.kind.deadlineMs, () => { if (record.expire(request)) placed.abandon(request) })
  })
  clock.runUntil(LEAD_MS + header.durationMs + DRAIN_MS)
  const sum = (pick: (each: engine.Engine) => number): number => [...engines.values()].reduce((total, each) => total + pick(each), 0)
  return {
    trace: of,
    ...record.result(documents),
    prefilledTokens: sum((each) => each.prefilledTokens),
    wastedPrefillTokens: sum((each) => each.wastedPrefillTokens)
  }
}
