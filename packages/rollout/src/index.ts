/**
 * Core logic of version roll-outs without I/O: compares the outcomes of two versions, decides the next step, and limits
 * what one daemon sends to a version. Time and random numbers are arguments.
 *
 * @module
 */
export * as comparison from './comparison.js'
export * as decision from './decision.js'
export * as exposure from './exposure.js'
export * as grants from './grants.js'
export * as outcomes from './outcomes.js'
export * as versions from './versions.js'
