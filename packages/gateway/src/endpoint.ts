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
