/**
 * HTTP server for callers, HTTP client for targets, peer reports, logs and metrics around the routing
 * core. Header names are configured, so that one gateway serves any deployment.
 *
 * @module
 */
export * as headerNames from './header-names.js'
export * as endpoint from './endpoint.js'
export * as eventLog from './event-log.js'
export * as gatewayOptions from './gateway-options.js'
export * as gateway from './gateway.js'
export * as peerMessages from './peer-messages.js'
export * as peerTable from './peer-table.js'
export * as reportWriter from './report-writer.js'
export * as recordStore from './record-store.js'
export * as lastingRecords from './lasting-records.js'
export * as lastingState from './lasting-state.js'
export * as rolloutStore from './rollout-store.js'
export * as reportedTokens from './reported-tokens.js'
export * as metrics from './metrics.js'
export * as incarnation from './incarnation.js'
export * as httpEndpoint from './http-endpoint.js'
export * as stateChecks from './state-checks.js'
export * as stateSync from './state-sync.js'
export * as unexpectedErrors from './unexpected-errors.js'
export * as versionLag from './version-lag.js'
