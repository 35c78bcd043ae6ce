/**
 * persimmonhatchd, the daemon that runs on every entry VM.
 *
 * @module
 */
export * as daemon from './daemon.js'
export * as parseSettings from './settings/parse-settings.js'
export * as settings from './settings/settings.js'
export * as assignment from './tasks/assignment.js'
export * as compression from './peer/compression.js'
export * as peerConnection from './peer/peer-connection.js'
export * as peers from './peer/peers.js'
export * as readReports from './adapters/read-reports.js'
export * as targetReports from './tasks/target-reports.js'
