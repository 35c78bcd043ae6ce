/**
 * Pure core: the owner of a request, its identity and its single dispatch.
 *
 * @module
 */
export * as entry from './entry.js'
export * as event from './event.js'
