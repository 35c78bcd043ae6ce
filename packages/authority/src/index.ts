/**
 * Core logic without I/O: the authority of a pool, which holds the only request queue in front of the pool's targets.
 *
 * @module
 */
export * as authority from './authority.js'
export * as event from './event.js'
