/**
 * Client library for callers.
 *
 * @module
 */
export * as answer from './answer.js'
export * as caller from './caller.js'
export * as errors from './errors.js'
