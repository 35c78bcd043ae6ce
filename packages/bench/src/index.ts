/**
 * Measures the resource usage of each role as its size grows, and the overhead of a daemon on the request path.
 *
 * @module
 */
export * as fit from './fit.js'
export * as series from './series.js'
export * as wire from './wire.js'
