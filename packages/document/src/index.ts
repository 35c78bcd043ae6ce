/**
 * Service documents: schema, checks across documents, change chain and adoption.
 *
 * @module
 */
export * as serviceDocument from './service-document.js'
