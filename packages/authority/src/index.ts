/**
 * Pure core: one queue for a pool of targets.
 *
 * @module
 */
export {}
