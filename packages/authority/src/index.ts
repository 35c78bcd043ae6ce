/**
 * Pure core: one queue for a pool of targets.
 *
 * @module
 */
export * as authority from './authority.js'
export * as event from './event.js'
