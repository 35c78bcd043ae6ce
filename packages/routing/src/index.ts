/**
 * Core logic without I/O: finds the route and the organisation of a request, admits it under the token caps, queues
 * it, selects its target and limits retries. Time and random numbers are arguments.
 *
 * @module
 */
export * as capTransition from './shares/cap-transition.js'
export * as cell from './cell.js'
export * as crash from './evidence/crash.js'
export * as document from './document.js'
export * as engineEstimate from './placement/engine-estimate.js'
export * as obstacle from './placement/obstacle.js'
export * as peerQueries from './peer-queries.js'
export * as plannedStop from './planned-stop.js'
export * as workFactor from './placement/work-factor.js'
export * as pool from './placement/pool.js'
export * as poolEvent from './placement/pool-event.js'
export * as rateBucket from './limits/rate-bucket.js'
export * as rateShare from './limits/rate-share.js'
export * as retryBudget from './shares/retry-budget.js'
export * as routeTable from './route-table.js'
export * as slotShare from './limits/slot-share.js'
export * as streamVersions from './stream-versions.js'
export * as suspects from './evidence/suspects.js'
export * as targetLimits from './limits/target-limits.js'
export * as targetPauses from './limits/target-pauses.js'
export * as targetPaths from './target-paths.js'
export * as targetRecord from './placement/target-record.js'
export * as targetRegistry from './target-registry.js'
export * as waitingOrder from './placement/waiting-order.js'
export * as tokenCap from './shares/token-cap.js'
export * as versionHistory from './version-history.js'
