/**
 * Service documents: schema, checks across documents, change history and adoption. Also the service level counts
 * that are measured against their objectives.
 *
 * @module
 */
export * as adoption from './adoption.js'
export * as burnCounter from './burn-counter.js'
export * as burnRate from './burn-rate.js'
export * as burnRecord from './burn-record.js'
export * as changeFlow from './change-flow.js'
export * as changePlan from './change-plan.js'
export * as checkAgainstOthers from './check-against-others.js'
export * as checkSchema from './check-schema.js'
export * as classifyRequest from './classify-request.js'
export * as parseJsonc from './parse-jsonc.js'
export * as parseServiceDocument from './parse-service-document.js'
export * as problem from './problem.js'
export * as resolveTargets from './resolve-targets.js'
export * as serviceDocument from './service-document.js'
export * as storedDocument from './stored-document.js'
