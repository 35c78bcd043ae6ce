/**
 * Open-loop load, recorded traces and their replay.
 *
 * @module
 */
export * as mix from './mix.js'
