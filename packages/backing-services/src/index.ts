/**
 * Ports and adapters for the platform's key-value service and VM list.
 *
 * @module
 */
export * as backoff from './backoff.js'
export * as connection from './connection.js'
export * as cutResponse from './cut-response.js'
export * as etcdKeyValue from './etcd-key-value.js'
export * as headerLines from './header-lines.js'
export * as httpClient from './http-client.js'
export * as jsonLines from './json-lines.js'
export * as keyValue from './key-value.js'
export * as listen from './listen.js'
export * as meteredKeyValue from './metered-key-value.js'
export * as pause from './pause.js'
export * as responseTurn from './response-turn.js'
export * as timers from './timers.js'
export * as tokenBucket from './token-bucket.js'
export * as unparsedRequests from './unparsed-requests.js'
export * as vmList from './vm-list.js'
export * as vmListClient from './vm-list-client.js'
