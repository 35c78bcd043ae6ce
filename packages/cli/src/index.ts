/**
 * Operators' command-line tool.
 *
 * @module
 */
export {}
