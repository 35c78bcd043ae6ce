import type * as protocol from '@persimmonhatch/protocol'

/** Host and port of an address. */
export interface Endpoint {
  readonly host: string
  readonly port: number
}

/**
 * Splits an address into host and port.
 *
 * @example
 * ```ts
 * splitAddress('127.0.0.1:7400') // { host: '127.0.0.1', port: 7400 }
 * ```
 */
export function splitAddress (address: protocol.Address): Endpoint {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
}
