/**
 * Parses the addresses of the daemons that load is sent to.
 *
 * @module
 */
import * as net from 'node:net'
import * as neverthrow from 'neverthrow'

/** Reports an address that load must not be sent to. */
export class UnusableAddress extends Error {
  override readonly name = 'UnusableAddress'
}

const MAX_PORT = 65_535

function parseAddress (text: string): { readonly host: string, readonly port: number } | undefined {
  const match = /^(?:\[([0-9a-f:]+)\]|([0-9.]+)):([0-9]{1,5})$/i.exec(text)
  const host = match?.[1] ?? match?.[2] ?? ''
  const port = Number(match?.[3] ?? 0)
  return net.isIP(host) === 0 || port < 1 || port > MAX_PORT ? undefined : { host, port }
}

function isLoopback (host: string): boolean {
  return host === '::1' || (net.isIPv4(host) && host.startsWith('127.'))
}

/**
 * Parses a comma-separated list of addresses. Addresses other than loopback need `allowsRemote`.
 *
 * @example
 * ```ts
 * readAddresses('127.0.0.1:7400,127.0.0.1:7401', false) // ok(['127.0.0.1:7400', '127.0.0.1:7401'])
 * ```
 */
export function readAddresses (list: string, allowsRemote: boolean): neverthrow.Result<readonly string[], UnusableAddress> {
  const addresses = list.split(',').map((address) => address.trim())
  for (const address of addresses) {
    const parsed = parseAddress(address)
    if (parsed === undefined) return neverthrow.err(new UnusableAddress(`"${address}" is not an IP number and port. Write for example 127.0.0.1:7400.`))
    if (!allowsRemote && !isLoopback(parsed.host)) {
      return neverthrow.err(new UnusableAddress(`${address} is not a loopback address. Name daemons on 127.0.0.1, or add --allow-remote if that VM may take the load.`))
    }
  }
  return neverthrow.ok(addresses)
}
