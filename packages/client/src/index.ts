/**
 * Caller library.
 *
 * @module
 */
export {}
