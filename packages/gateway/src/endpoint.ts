/**
 * Parses addresses.
 *
 * @module
 */

/** An IP address and a port. */
export interface Endpoint {
  readonly host: string
  readonly port: number
}

const ENDPOINT = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/
const MAX_OCTET = 255
const MAX_PORT = 65_535

/**
 * Returns whether a value is an IP address and a port, as `host:port`.
 *
 * @example
 * ```ts
 * isEndpoint('10.1.0.25:99999') // false
 * ```
 */
export function isEndpoint (value: unknown): boolean {
  const numbers = typeof value === 'string' ? ENDPOINT.exec(value)?.slice(1).map(Number) ?? [] : []
  const port = numbers.pop() ?? 0
  return port > 0 && port <= MAX_PORT && numbers.every((octet) => octet <= MAX_OCTET)
}

/**
 * Parses an address of the form `host:port`.
 *
 * @example
 * ```ts
 * parseEndpoint('10.1.0.25:8221') // { host: '10.1.0.25', port: 8221 }
 * ```
 */
export function parseEndpoint (address: string): Endpoint {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
}

/** Maximum length of an unreadable address in the log, characters. */
const MAX_LOGGED_LENGTH = 40

/**
 * Returns an address that may be unreadable, for the log.
 *
 * @example
 * ```ts
 * log.change('peer address unreadable', { address: shortened(address) })
 * ```
 */
export function shortened (address: string): string {
  return address.slice(0, MAX_LOGGED_LENGTH)
}
