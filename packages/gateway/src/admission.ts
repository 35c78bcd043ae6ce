/**
 * What can be said of a request from its head alone.
 *
 * @module
 */
import * as neverthrow from 'neverthrow'
import * as routing from '@persimmonhatch/routing'
import type * as contextModule from './context.js'
import * as dialect from './dialect.js'
import * as rawHeaders from './raw-headers.js'
import type * as refusal from './refusal.js'

/** The head of a request as it came. */
export interface Head {
  readonly method: string
  readonly path: string
  readonly headers: rawHeaders.RawHeaders
  readonly arrivedMs: number
}

/** A request that may be tried. */
export interface Admitted {
  readonly head: Head
  readonly route: routing.document.Route
  readonly service: string
  readonly organisation: routing.document.Organisation | undefined
  readonly priority: number
  readonly requestId: string
  readonly promptTokens: number
  readonly outputTokens: number
  /** What the request counts for against its organisation's cap. */
  readonly cappedTokens: number
  readonly parts: readonly string[]
  /** When its route or its caller stops waiting. */
  readonly limitMs: number
  /** Whether its caller has come back with less time than others begin with. */
  readonly returned: boolean
}

/** Priorities of routes that are told apart. */
const ROUTE_PRIORITIES = 16

/** Share of the longest stated time under which a caller is taken to have come back. */
const RETURNED_SHARE = 0.82

function findOrganisation (context: contextModule.Context, table: routing.routeTable.RouteTable, head: Head): routing.document.Organisation | undefined {
  const keys = rawHeaders.findAll(head.headers, context.dialect.key)
  return keys.length === 1 ? table.findOrganisation(keys[0] ?? '') : undefined
}

interface Place {
  readonly route: routing.document.Route
  readonly organisation: routing.document.Organisation | undefined
  readonly service: string
}

function findPlace (context: contextModule.Context, table: routing.routeTable.RouteTable, head: Head): neverthrow.Result<Place, refusal.Reason> {
  const route = table.findRoute(rawHeaders.findHeader(head.headers, 'host') ?? '', head.path)
  if (route === undefined) return neverthrow.err('unknown-route')
  const needsKey = table.keysNeeded && !route.anonymous
  const organisation = needsKey ? findOrganisation(context, table, head) : undefined
  if (needsKey && organisation === undefined) return neverthrow.err('unknown-key')
  const service = routing.routeTable.pickService(route, context.random())
  return service === undefined ? neverthrow.err('no-target') : neverthrow.ok({ route, organisation, service })
}

/** The organisation's priority goes first; among equal ones the route's decides. */
function priorityOf ({ organisation, route }: Place): number {
  const own = Math.min(route.priority, ROUTE_PRIORITIES - 1)
  return (organisation?.priority ?? own) * ROUTE_PRIORITIES + own
}

function readRemainingMs (context: contextModule.Context, head: Head, route: routing.document.Route): number {
  const stated = Number(rawHeaders.findHeader(head.headers, context.dialect.remainingMs) ?? NaN)
  return Number.isFinite(stated) && stated >= 0 ? stated : route.timeoutMs
}

/** Answer tokens to reckon with: the caller's estimate, within the stated bound, or else the bound. */
function expectedTokens (context: contextModule.Context, head: Head, bound: number): number {
  const hint = Number(rawHeaders.findHeader(head.headers, context.dialect.lengthHint) ?? NaN)
  return Number.isFinite(hint) && hint > 0 ? Math.min(hint, bound) : bound
}

function isTaken (context: contextModule.Context, kind: routing.document.RequestKind, outputTokens: number): boolean {
  const sinceStopMs = context.sinceStopMs()
  return sinceStopMs === undefined || routing.plannedStop.isTakenDuringStop({ sinceStopMs, graceMs: context.graceMs(), kind, outputTokens })
}

/**
 * Finds route, organisation and limits of a request.
 *
 * @example
 * ```ts
 * const admitted = admit(context, head)
 * if (admitted.isErr()) refuse(admitted.error)
 * ```
 */
export function admit (context: contextModule.Context, head: Head): neverthrow.Result<Admitted, refusal.Reason> {
  const table = context.table()
  if (table === undefined) return neverthrow.err('no-document')
  if (rawHeaders.headerBytes(head.headers) > context.limits().headerBytes) return neverthrow.err('headers-too-large')
  return findPlace(context, table, head).andThen((place) => {
    const tokens = dialect.parseTokens(rawHeaders.findHeader(head.headers, context.dialect.tokens))
    const remainingMs = readRemainingMs(context, head, place.route)
    if (!isTaken(context, place.route.kind, tokens?.answer ?? 0)) return neverthrow.err('stopping' as const)
    return neverthrow.ok({
      ...place,
      head,
      priority: priorityOf(place),
      requestId: rawHeaders.findHeader(head.headers, context.dialect.requestId) ?? '',
      promptTokens: tokens?.prompt ?? 0,
      outputTokens: expectedTokens(context, head, tokens?.answer ?? 0),
      cappedTokens: tokens === undefined ? place.organisation?.plainTokens ?? 0 : tokens.prompt + tokens.answer,
      parts: dialect.parseParts(rawHeaders.findHeader(head.headers, context.dialect.promptParts)),
      limitMs: head.arrivedMs + Math.min(place.route.timeoutMs, remainingMs),
      returned: remainingMs < RETURNED_SHARE * context.longestRemaining(place.route.name, remainingMs)
    })
  })
}
