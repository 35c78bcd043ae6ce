/**
 * Open-loop load, recorded traces and their replay.
 *
 * @module
 */
export {}
