/**
 * Admits requests based on their head alone.
 *
 * @module
 */
import * as neverthrow from 'neverthrow'
import * as routing from '@persimmonhatch/routing'
import type * as contextModule from './context.js'
import * as headerNames from './header-names.js'
import * as rawHeaders from './raw-headers.js'
import type * as refusal from './refusal.js'
import type * as streamDirectory from './stream-directory.js'

/** The head of a request as received. */
export interface RequestHead {
  readonly method: string
  readonly path: string
  readonly headers: rawHeaders.RawHeaders
  readonly arrivedMs: number
}

/** A request that may be sent to targets. */
export interface AdmittedRequest {
  readonly head: RequestHead
  readonly route: routing.document.Route
  readonly service: string
  readonly organisation: routing.document.Organisation | undefined
  readonly priority: number
  readonly requestId: string
  readonly promptTokens: number
  readonly outputTokens: number
  /** Tokens charged against the organisation's cap. */
  readonly cappedTokens: number
  readonly promptSegments: readonly string[]
  /** Deadline of the route or the caller, whichever is earlier. */
  readonly limitMs: number
  /** The attempt whose stream this request resumes, as the caller names it; undefined if it resumes none. */
  readonly resumes: string | undefined
  /** Id of the last event that the caller has of a stream that may be resumed; undefined if it has none. */
  readonly lastEventId: number | undefined
  /** Software version of the targets that may get the request; undefined for any. */
  readonly version: string | undefined
  /** How the version was found; undefined if the request resumes no stream. */
  readonly versionSource: streamDirectory.BeginningSource | undefined
  /** Whether the caller has sent the request again, as it states less remaining time than others start with. */
  readonly resubmitted: boolean
}

/** Number of distinct route priorities. */
const ROUTE_PRIORITIES = 16

/** A request whose remaining time is below this share of the longest stated time counts as resubmitted. */
const RESUBMITTED_SHARE = 0.82

function findOrganisation (context: contextModule.Context, table: routing.routeTable.RouteTable, head: RequestHead): routing.document.Organisation | undefined {
  const keys = rawHeaders.findAll(head.headers, context.headerNames.key)
  return keys.length === 1 ? table.findOrganisation(keys[0] ?? '') : undefined
}

interface RouteMatch {
  readonly route: routing.document.Route
  readonly organisation: routing.document.Organisation | undefined
  readonly service: string
}

function matchRoute (context: contextModule.Context, table: routing.routeTable.RouteTable, head: RequestHead): neverthrow.Result<RouteMatch, refusal.Reason> {
  const route = table.findRoute(rawHeaders.findHeader(head.headers, 'host') ?? '', head.path)
  if (route === undefined) return neverthrow.err('unknown-route')
  const needsKey = table.requiresKey && !route.anonymous
  const organisation = needsKey ? findOrganisation(context, table, head) : undefined
  if (needsKey && organisation === undefined) return neverthrow.err('unknown-key')
  const service = routing.routeTable.pickService(route, context.random())
  return service === undefined ? neverthrow.err('no-target') : neverthrow.ok({ route, organisation, service })
}

/** Combines both priorities: the organisation's takes precedence, the route's breaks ties. */
function priorityOf ({ organisation, route }: RouteMatch): number {
  const routePriority = Math.min(route.priority, ROUTE_PRIORITIES - 1)
  return (organisation?.priority ?? routePriority) * ROUTE_PRIORITIES + routePriority
}

function readRemainingMs (context: contextModule.Context, head: RequestHead, route: routing.document.Route): number {
  const statedMs = Number(rawHeaders.findHeader(head.headers, context.headerNames.remainingMs) ?? NaN)
  return Number.isFinite(statedMs) && statedMs >= 0 ? statedMs : route.timeoutMs
}

/** Returns the expected output tokens: the caller's estimate, capped at the stated maximum, or else the maximum. */
function expectedTokens (context: contextModule.Context, head: RequestHead, bound: number): number {
  const hintTokens = Number(rawHeaders.findHeader(head.headers, context.headerNames.lengthHint) ?? NaN)
  return Number.isFinite(hintTokens) && hintTokens > 0 ? Math.min(hintTokens, bound) : bound
}

function readResumes (context: contextModule.Context, head: RequestHead): string | undefined {
  const { lastEventId, resumes } = context.headerNames
  return rawHeaders.findHeader(head.headers, lastEventId) === undefined ? undefined : rawHeaders.findHeader(head.headers, resumes)
}

function readLastEventId (context: contextModule.Context, head: RequestHead, route: routing.document.Route): number | undefined {
  const values = rawHeaders.findAll(head.headers, context.headerNames.lastEventId)
  return route.resumable && values.length === 1 ? headerNames.parseEventId(values[0]) : undefined
}

function isAccepted (context: contextModule.Context, kind: routing.document.RequestKind, outputTokens: number): boolean {
  const sinceStopMs = context.sinceStopMs()
  return sinceStopMs === undefined || routing.plannedStop.isAcceptedDuringStop({ sinceStopMs, graceMs: context.graceMs(), kind, outputTokens })
}

/**
 * Determines the route, the organisation and the limits of a request.
 *
 * @example
 * ```ts
 * const admitted = admit(context, head)
 * if (admitted.isErr()) refuse(admitted.error)
 * ```
 */
export function admit (context: contextModule.Context, head: RequestHead): neverthrow.Result<AdmittedRequest, refusal.Reason> {
  const table = context.table()
  if (table === undefined) return neverthrow.err('no-document')
  if (rawHeaders.headerBytes(head.headers) > context.limits().headerBytes) return neverthrow.err('headers-too-large')
  return matchRoute(context, table, head).andThen((match) => {
    const tokens = headerNames.parseTokens(rawHeaders.findHeader(head.headers, context.headerNames.tokens))
    const remainingMs = readRemainingMs(context, head, match.route)
    if (!isAccepted(context, match.route.kind, tokens?.output ?? 0)) return neverthrow.err('stopping' as const)
    return neverthrow.ok({
      ...match,
      head,
      priority: priorityOf(match),
      requestId: rawHeaders.findHeader(head.headers, context.headerNames.requestId) ?? '',
      promptTokens: tokens?.prompt ?? 0,
      outputTokens: expectedTokens(context, head, tokens?.output ?? 0),
      cappedTokens: tokens === undefined ? match.organisation?.plainTokens ?? 0 : tokens.prompt + tokens.output,
      promptSegments: headerNames.parsePromptSegments(rawHeaders.findHeader(head.headers, context.headerNames.promptParts)),
      resumes: readResumes(context, head),
      lastEventId: readLastEventId(context, head, match.route),
      version: undefined,
      versionSource: undefined,
      limitMs: head.arrivedMs + Math.min(match.route.timeoutMs, remainingMs),
      resubmitted: remainingMs < RESUBMITTED_SHARE * context.maxRemainingMs(match.route.name, remainingMs)
    })
  })
}

/**
 * Creates a function that returns the longest remaining time that callers of a route have stated so far, ms.
 *
 * @example
 * ```ts
 * const maxRemainingMs = createMaxRemaining()
 * maxRemainingMs('questions', 12_000) // 12000
 * maxRemainingMs('questions', 8_000) // 12000
 * ```
 */
export function createMaxRemaining (): contextModule.Context['maxRemainingMs'] {
  const longestMs = new Map<string, number>()
  return (route, remainingMs) => {
    const maximum = Math.max(remainingMs, longestMs.get(route) ?? 0)
    longestMs.set(route, maximum)
    return maximum
  }
}

/** What has happened to a request since its admission, as far as its placement depends on it. */
export type Progress = Pick<routing.poolEvent.PlacementOptions, 'version' | 'excludedTargets' | 'isRetry' | 'relocation'>

/**
 * Returns the placement request of an admitted request.
 *
 * @example
 * ```ts
 * pools.requestPlacement(request.service, placementOptions(request, progress), listener)
 * ```
 */
export function placementOptions (request: AdmittedRequest, progress: Progress): routing.poolEvent.PlacementOptions {
  const { priority, head, route, organisation, limitMs, resubmitted, promptTokens, outputTokens, promptSegments } = request
  return { organisation: organisation?.name ?? '', organisationWeight: organisation?.weight ?? 1, priority, arrivedMs: head.arrivedMs, targetLatencyMs: route.targetLatencyMs, limitMs, resubmitted, promptTokens, outputTokens, promptSegments, ...progress }
}
