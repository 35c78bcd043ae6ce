/**
 * Small stand-ins for the platform, model engines and plain services.
 *
 * @module
 */
export * as keyValueService from './key-value-service.js'
export * as timers from './timers.js'
export * as vmListService from './vm-list-service.js'
export * as answerToken from './answer-token.js'
export * as modelEngine from './model-engine.js'
export * as plainService from './plain-service.js'
export * as standinSet from './standin-set.js'
export * as prefixCache from './prefix-cache.js'
