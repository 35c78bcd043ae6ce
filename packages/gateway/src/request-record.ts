/**
 * Records how a request ended, in the log and in the metrics.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import type * as admission from './admission.js'
import type * as contextModule from './context.js'

/** How far the current attempt of a request has come. */
export type Stage = 'waiting' | 'connecting' | 'running' | 'streaming'

/** Returns the stage of an attempt. */
export function stageOf ({ hasExchange, isSent, awaitsFirstEvent }: { readonly hasExchange: boolean, readonly isSent: boolean, readonly awaitsFirstEvent: boolean }): Stage {
  if (!hasExchange) return 'waiting'
  if (!isSent) return 'connecting'
  return awaitsFirstEvent ? 'running' : 'streaming'
}

/** The end of a request and what led to it. */
export interface RequestEnd {
  readonly outcome: string
  /** Status of the response; 0 if there was none. */
  readonly status: number
  readonly reason: string
  /** Stage in which the caller left. */
  readonly stage: Stage | undefined
  /** Trait for which the request was refused. */
  readonly trait: string | undefined
  /** Dispatches to targets. */
  readonly sends: number
  /** Targets in the order in which they were tried. */
  readonly targets: readonly routing.targetRegistry.Target[]
  /** The peer that carried the last connection. */
  readonly via: string | undefined
  /** Figures of the last decision about its placement. */
  readonly figures: routing.poolEvent.Figures | undefined
  readonly firstEventMs: number | undefined
  readonly lastEvent: number | undefined
}

/**
 * Records the end of a request.
 *
 * @example
 * ```ts
 * recordEnd(context, request, { outcome: 'answered', status: 200, reason: 'answered', ...progress })
 * ```
 */
export function recordEnd ({ log, metrics, now, table }: contextModule.Context, request: admission.AdmittedRequest, end: RequestEnd): void {
  const { service } = request
  const { arrivedMs } = request.head
  const { outcome, status, reason, stage, trait, sends, targets, via, figures, lastEvent } = end
  const elapsedMs = Math.round(now() - arrivedMs)
  const firstEventMs = end.firstEventMs === undefined ? undefined : Math.round(end.firstEventMs - arrivedMs)
  metrics.count('requests_total', { service, kind: request.route.kind, outcome, reason })
  if (firstEventMs !== undefined) metrics.observe('first_event_ms', firstEventMs, { service })
  metrics.observe('answer_ms', elapsedMs, { service, outcome })
  log.request('request ended', {
    request: request.requestId,
    route: request.route.name,
    service,
    organisation: request.organisation?.name,
    outcome,
    status,
    reason,
    stage,
    elapsedMs,
    limitMs: Math.round(request.limitMs - arrivedMs),
    promptTokens: request.promptTokens,
    outputTokens: request.outputTokens,
    returned: request.resubmitted,
    trait,
    sends,
    path: targets.map(({ id }) => id),
    via,
    versions: targets.map(({ version }) => version),
    resumes: request.resumes,
    resumesAfter: request.lastEventId,
    versionSource: request.versionSource,
    ...figures,
    firstEventMs,
    lastEvent,
    document: table()?.version
  })
}
