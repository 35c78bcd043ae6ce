/**
 * Replays a trace in virtual time. The same trace, scheduler and seed always produce the same result.
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

/** Result of a replay. */
export interface Result {
  readonly trace: trace.Trace
  readonly outcomes: readonly recorder.Outcome[]
  readonly jobs: readonly recorder.Run[]
  readonly history: history.history.History
  readonly counters: ReadonlyMap<string, number>
  readonly prefilledTokens: number
  readonly wastedPrefillTokens: number
}

/** Time before the first arrival, in which new authorities collect the holdings of entries. */
export const WARM_UP_MS = 5_000

const REPORT_INTERVAL_MS = 1_000
/** Time after the end of the trace in which requests may still finish. */
const DRAIN_MS = 180_000

function schedulerSeed (header: trace.Header): number {
  return header.seed + 1
}

function scheduleEvent (clock: timeline.Timeline, engines: ReadonlyMap<string, engine.Engine>, event: trace.TargetEvent): void {
  const targetEngine = engines.get(event.target)
  if (targetEngine === undefined) return
  clock.at(WARM_UP_MS + event.atMs, () => {
    switch (event.type) {
      case 'slowdown':
        targetEngine.slowdown = event.factor
        return
      case 'crash':
        return targetEngine.crash(event.forMs)
      case 'report-lag':
        targetEngine.loadLagMs = event.loadLagMs
        targetEngine.cacheEventLagMs = event.cacheEventLagMs
    }
  })
}

function toRequest (sourceTrace: trace.Trace, kinds: ReadonlyMap<string, trace.Kind>, arrival: trace.Arrival, index: number): scheduler.Request {
  const kind = kinds.get(arrival.kind) as trace.Kind
  return { index, arrival, kind, organisation: sourceTrace.header.organisations[arrival.by] ?? '', prefixes: kind.target === 'model' ? prefixes.listPrefixHashes(kind, arrival, index) : [] }
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
export function replay (sourceTrace: trace.Trace, documents: readonly document.serviceDocument.ServiceDocument[], createScheduler: scheduler.Factory): Result {
  const { header } = sourceTrace
  const clock = timeline.createTimeline()
  const nextRandom = random.seededRandom(schedulerSeed(header))
  const engines = new Map(header.targets.map((target) => [target.name, new engine.Engine({ target, timeline: clock, random: nextRandom })]))
  const replayRecorder = new recorder.Recorder(clock.now)

  const activeScheduler = createScheduler({
    timeline: clock,
    header,
    documents,
    random: nextRandom,
    dispatch: (request, target, onEnd) => {
      const targetEngine = engines.get(target) as engine.Engine
      const { prompt, answer } = request.arrival
      const work = { prompt, answer, prefixes: request.prefixes }
      // A refused connection doesn't count as a run.
      if (targetEngine.isDown) return targetEngine.submit(work, onEnd)
      const run = replayRecorder.start(request, target)
      const job = targetEngine.submit(work, (ended) => {
        replayRecorder.end(run, ended)
        onEnd(ended)
      })
      replayRecorder.recordSubmission(run, job)
      return job
    },
    cancel: (job, target) => engines.get(target)?.cancel(job),
    fail: (request, failure) => replayRecorder.fail(request, failure),
    count: (counter, value) => replayRecorder.count(counter, value)
  })

  function deliverReports (): void {
    for (const [name, modelledEngine] of engines) activeScheduler.load(name, modelledEngine)
    clock.after(REPORT_INTERVAL_MS, deliverReports)
  }

  clock.after(REPORT_INTERVAL_MS, deliverReports)
  for (const event of sourceTrace.events) scheduleEvent(clock, engines, event)
  const kinds = new Map(header.kinds.map((kind) => [kind.name, kind]))
  sourceTrace.arrivals.forEach((arrival, index) => {
    const request = toRequest(sourceTrace, kinds, arrival, index)
    clock.at(WARM_UP_MS + arrival.atMs, () => {
      replayRecorder.arrive(request)
      activeScheduler.arrive(request)
    })
    clock.at(WARM_UP_MS + arrival.atMs + request.kind.deadlineMs, () => { if (replayRecorder.expire(request)) activeScheduler.abandon(request) })
  })
  clock.runUntil(WARM_UP_MS + header.durationMs + DRAIN_MS)
  const sumOverEngines = (select: (modelledEngine: engine.Engine) => number): number => [...engines.values()].reduce((total, modelledEngine) => total + select(modelledEngine), 0)
  return {
    trace: sourceTrace,
    ...replayRecorder.result(documents),
    prefilledTokens: sumOverEngines((modelledEngine) => modelledEngine.prefilledTokens),
    wastedPrefillTokens: sumOverEngines((modelledEngine) => modelledEngine.wastedPrefillTokens)
  }
}
