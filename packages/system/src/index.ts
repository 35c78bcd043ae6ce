/**
 * Starts the whole system as separate processes, for the demo, the soak test and the end-to-end tests.
 *
 * @module
 */
export * as call from './call.js'
export * as callers from './callers.js'
export * as childProcess from './child-process.js'
export * as collectRuns from './collect-runs.js'
export * as daemonProcess from './daemon-process.js'
export * as deployment from './deployment.js'
export * as freePorts from './free-ports.js'
export * as checkHistory from './check-history.js'
export * as recorder from './recorder.js'
export * as request from './request.js'
export * as summary from './summary.js'
export * as system from './system.js'
export * as waitUntil from './wait-until.js'
