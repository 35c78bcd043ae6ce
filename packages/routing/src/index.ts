/**
 * Core logic without I/O: finds the route and the organisation of a request, admits it under the token caps, queues
 * it, selects its target and limits retries. Time and random numbers are arguments.
 *
 * @module
 */
export * as cell from './cell.js'
export * as document from './document.js'
export * as engineEstimate from './engine-estimate.js'
export * as obstacle from './obstacle.js'
export * as peerQueries from './peer-queries.js'
export * as plannedStop from './planned-stop.js'
export * as pool from './pool.js'
export * as poolEvent from './pool-event.js'
export * as rateBucket from './rate-bucket.js'
export * as rateShare from './rate-share.js'
export * as retryBudget from './retry-budget.js'
export * as routeTable from './route-table.js'
export * as slotShare from './slot-share.js'
export * as streamVersions from './stream-versions.js'
export * as suspects from './suspects.js'
export * as targetLimits from './target-limits.js'
export * as targetPauses from './target-pauses.js'
export * as targetPaths from './target-paths.js'
export * as targetRecord from './target-record.js'
export * as targetRegistry from './target-registry.js'
export * as waitingOrder from './waiting-order.js'
export * as tokenCap from './token-cap.js'
export * as versionHistory from './version-history.js'
