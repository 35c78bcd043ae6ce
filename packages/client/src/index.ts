/**
 * Library for callers.
 *
 * @module
 */
export * as response from './response.js'
export * as caller from './caller.js'
export * as errors from './errors.js'
