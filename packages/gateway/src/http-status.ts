/**
 * Status codes of HTTP.
 *
 * @module
 */
export const OK = 200

/** The first status that is no success. */
export const REDIRECTION = 300

export const MISDIRECTED_REQUEST = 421

/** The first status of a failure of the server. */
export const SERVER_ERROR = 500

export const SERVICE_UNAVAILABLE = 503
