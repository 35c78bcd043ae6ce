/**
 * Open-loop load generator, recorded traces and their replay.
 *
 * @module
 */
export * as baselines from './replay/baselines.js'
export * as checkOutcomes from './replay/check-outcomes.js'
export * as cores from './replay/cores.js'
export * as generateTrace from './trace/generate-trace.js'
export * as measure from './replay/measure.js'
export * as mix from './mix.js'
export * as profiles from './trace/profiles.js'
export * as readTrace from './trace/read-trace.js'
export * as replay from './replay/replay.js'
export * as trace from './trace/trace.js'
