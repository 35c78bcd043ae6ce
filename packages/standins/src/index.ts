/**
 * Small stand-ins for the platform, model engines and plain services.
 *
 * @module
 */
export * as keyValueService from './key-value-service.js'
export * as timers from './timers.js'
export * as vmListService from './vm-list-service.js'
