/**
 * Checks of the document and the targets, which come from the store or from peers, so that no value in them makes a later
 * step fail.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import type * as peerMessages from './peer-messages.js'
import * as reportChecks from './report-checks.js'

/** Longest time that a timer can measure, ms; a longer one would end at once. */
const MAX_TIMER_MS = 2_147_483_647

/** A text that can be the value of a header. */
const HEADER_TEXT = /^[\x20-\x7e\x80-\xff]{1,1024}$/

const { fieldsOf, isAmount, isEndpoint, isFlag, isStart, isText, listOf, optional } = reportChecks

const isHeaderText: reportChecks.Check = (value) => typeof value === 'string' && HEADER_TEXT.test(value)

const isDuration: reportChecks.Check = (value) => isAmount(value) && Number(value) <= MAX_TIMER_MS

const isCount: reportChecks.Check = (value) => isAmount(value) && Number.isInteger(value) && Number(value) > 0

const isScheduling: reportChecks.Check = (value) => value === 'adaptive' || value === 'basic'

/** Weights beyond these bounds would leave an organisation without any share. */
const MIN_WEIGHT = 0.01
const MAX_WEIGHT = 100

const isWeight: reportChecks.Check = (value) => isAmount(value) && Number(value) >= MIN_WEIGHT && Number(value) <= MAX_WEIGHT

const isTargetShape = fieldsOf({ id: isHeaderText, service: isText, address: isEndpoint, availabilityZone: isText, version: isText, slots: isCount, leaving: isFlag })

/** A report that can be sent on to peers. */
const isReportShape = fieldsOf({ startedMs: (value) => Number.isSafeInteger(value) && isStart(Number(value).toString(36)), sequence: isAmount })

const isVersionedShape = fieldsOf({ id: isText, era: isAmount, revision: isAmount, report: optional(isReportShape), target: optional(isTargetShape) })

const isRouteShape = fieldsOf({
  name: isText,
  host: isText,
  prefix: isText,
  kind: (value) => value === 'idempotent' || value === 'non-idempotent' || value === 'stream',
  resumable: isFlag,
  timeoutMs: isDuration,
  targetLatencyMs: isDuration,
  attempts: isAmount,
  priority: isAmount,
  shares: listOf(fieldsOf({ service: isText, weight: isAmount })),
  anonymous: isFlag
})

const isDocumentShape = fieldsOf({
  version: isAmount,
  routes: listOf(isRouteShape),
  services: listOf(fieldsOf({ name: isText, connections: isAmount, engine: optional(fieldsOf({ slots: isAmount, memoryTokens: isAmount, tokensPerEvent: isAmount })), scheduling: optional(isScheduling) })),
  organisations: listOf(fieldsOf({
    name: isHeaderText,
    keys: listOf(isText),
    priority: optional(isAmount),
    weight: optional(isWeight),
    cap: optional(fieldsOf({ tokensPerS: isAmount, burst: isAmount })),
    plainTokens: isAmount
  })),
  limits: fieldsOf({ headerBytes: isAmount, bodyBytes: isAmount, headerTimeoutMs: isDuration, idleTimeoutMs: isDuration })
})

const isPosition = fieldsOf({ era: isAmount, revision: isAmount })

/**
 * Returns whether requests can be sent to a target with these fields.
 *
 * @example
 * ```ts
 * isTarget({ id: 'i-1', service: 'stock', address: '10.0.0.7:99999', availabilityZone: 'casa-a', version: 'v1', slots: 6, leaving: false }) // false
 * ```
 */
export function isTarget (value: unknown): value is routing.targetRegistry.Target {
  return isTargetShape(value)
}

/**
 * Returns whether a value is a target's report about itself.
 *
 * @example
 * ```ts
 * isSelfReport({ startedMs: 1_764_841_234_567, sequence: 7 }) // true
 * ```
 */
export function isSelfReport (value: unknown): value is routing.targetRegistry.SelfReport {
  return isReportShape(value)
}

/**
 * Returns whether a value is a document that can be in force.
 *
 * @example
 * ```ts
 * if (isDocument(value)) gateway.adopt(value, peer)
 * ```
 */
export function isDocument (value: unknown): value is routing.document.RoutingDocument {
  return isDocumentShape(value)
}

/**
 * Returns what can be used of the state that a peer has sent; undefined if nothing can.
 *
 * @example
 * ```ts
 * const state = parseSharedState(await response.body.json())
 * ```
 */
export function parseSharedState (message: unknown): peerMessages.SharedState | undefined {
  if (typeof message !== 'object' || message === null) return undefined
  const { document, targetsPosition, targets } = message as Readonly<Record<string, unknown>>
  if (!isPosition(targetsPosition) || !Array.isArray(targets)) return undefined
  return {
    document: isDocument(document) ? document : undefined,
    targetsPosition: targetsPosition as routing.targetRegistry.Position,
    targets: targets.filter((target: unknown): target is routing.targetRegistry.VersionedTarget => isVersionedShape(target))
  }
}
