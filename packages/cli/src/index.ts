/**
 * Command-line tool for operators.
 *
 * @module
 */
export * as exitCode from './exit-code.js'
export * as ports from './ports.js'
export * as run from './run.js'
export * as settings from './settings.js'
