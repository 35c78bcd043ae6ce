/**
 * Measures what each role costs against its size, and what the whole path adds to a request.
 *
 * @module
 */
export * as fit from './fit.js'
export * as series from './series.js'
export * as wire from './wire.js'
