/**
 * Predicates over histories: the promises as code.
 *
 * @module
 */
export {}
