/**
 * Starts the whole system as separate processes.
 *
 * @module
 */
export {}
