/**
 * Authority of a pool: a pure core, without I/O, that holds the only queue in front of the pool's targets.
 *
 * @module
 */
export * as authority from './authority.js'
export * as event from './event.js'
