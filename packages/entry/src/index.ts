/**
 * Core logic without I/O: the entry of a daemon, which owns requests, their identities and their at-most-once dispatch.
 *
 * @module
 */
export * as entry from './entry.js'
export * as event from './event.js'
export * as identity from './identity.js'
export * as poolOrder from './pool-order.js'
export * as requestRule from './request-rule.js'
