/**
 * Service documents: schema, checks across documents, change chain and adoption.
 *
 * @module
 */
export * as adoption from './adoption.js'
export * as changeFlow from './change-flow.js'
export * as changePlan from './change-plan.js'
export * as checkAgainstOthers from './check-against-others.js'
export * as checkSchema from './check-schema.js'
export * as parseJsonc from './parse-jsonc.js'
export * as parseServiceDocument from './parse-service-document.js'
export * as problem from './problem.js'
export * as resolveTargets from './resolve-targets.js'
export * as serviceDocument from './service-document.js'
export * as storedDocument from './stored-document.js'
