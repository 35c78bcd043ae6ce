/**
 * Definitions shared by all packages: common types, messages between daemons, and outcome reasons with their explanations.
 *
 * @module
 */
export * from './constants.js'
export * from './peer-message.js'
export * from './peer-schema.js'
export * from './prompt.js'
export * from './reason.js'
export * from './common-types.js'
