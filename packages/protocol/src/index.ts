/**
 * What every package agrees on: names, messages between daemons, reasons and their words.
 *
 * @module
 */
export * from './constants.js'
export * from './peer-message.js'
export * from './peer-schema.js'
export * from './prompt.js'
export * from './reason.js'
export * from './common-types.js'
