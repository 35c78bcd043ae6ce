/**
 * Core logic without I/O: failure detection, the authority of each pool, and the addresses for callers.
 *
 * @module
 */
export * as event from './event.js'
export * as addresses from './addresses.js'
export * as hash from './hash.js'
export * as membership from './membership.js'
export * as rendezvous from './rendezvous.js'
