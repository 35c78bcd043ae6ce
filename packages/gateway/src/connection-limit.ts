/**
 * Divides the connections that a target accepts among the daemons.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'

/** Targets, services, and the number of daemons that share their connections. */
export interface Fleet {
  readonly targets: readonly routing.targetRegistry.VersionedTarget[]
  readonly services: readonly routing.document.Service[]
  readonly daemons: number
}

/** Share of a target's connections that all daemons together may use. */
const CONNECTION_SHARE = 0.85
const MIN_CONNECTIONS = 2

/**
 * Returns the maximum number of connections of one daemon to the target at an address.
 *
 * @example
 * ```ts
 * connectionLimit('10.0.0.7:8080', { targets, services, daemons: 9 })
 * ```
 */
export function connectionLimit (address: string, { targets, services, daemons }: Fleet): number {
  const target = targets.find((versioned) => versioned.target?.address === address)?.target
  const service = services.find(({ name }) => name === target?.service)
  return Math.max(MIN_CONNECTIONS, Math.floor((service?.connections ?? 0) * CONNECTION_SHARE / daemons))
}
