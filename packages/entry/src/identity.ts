/**
 * Request identities of the form `incarnation.epoch.nonce`. The incarnation names the only daemon process
 * that may dispatch the request; the epoch is that process's heartbeat counter when the identity was issued.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'
import * as neverthrow from 'neverthrow'

const IDENTITY_PATTERN = /^([a-z0-9]{13})\.([0-9]{1,9})\.([A-Za-z0-9_-]{1,40})$/

const NONCE_LENGTH = 20

const NONCE_RADIX = 36

/** A parsed identity of a request. */
export interface Identity {
  readonly incarnation: protocol.Incarnation
  readonly epoch: number
  readonly nonce: string
}

/** Error for a text that is not an identity of this system. */
export class MalformedIdentity extends Error {
  override readonly name = 'MalformedIdentity'

  constructor (readonly text: string) {
    super(`"${text}" is not an identity of the form incarnation.epoch.nonce. Ask GET /v1/addresses for an identity.`)
  }
}

/**
 * Parses the value of an `idempotency-key` header.
 *
 * @example
 * ```ts
 * parse('k3j9x0q2m4z7a.57.r1')
 * // ok({ incarnation: 'k3j9x0q2m4z7a', epoch: 57, nonce: 'r1' })
 * ```
 */
export function parse (text: string): neverthrow.Result<Identity, MalformedIdentity> {
  const match = IDENTITY_PATTERN.exec(text)
  if (match === null) return neverthrow.err(new MalformedIdentity(text))
  const [, incarnation = '', epoch = '', nonce = ''] = match
  return neverthrow.ok({ incarnation, epoch: Number(epoch), nonce })
}

/**
 * Formats an identity as callers send it.
 *
 * @example
 * ```ts
 * format({ incarnation: 'k3j9x0q2m4z7a', epoch: 57, nonce: 'r1' }) // 'k3j9x0q2m4z7a.57.r1'
 * ```
 */
export function format (identity: Identity): string {
  return `${identity.incarnation}.${identity.epoch}.${identity.nonce}`
}

/**
 * Issues an identity with a random nonce to a request that was sent without one. It serves only to look up the receipt.
 *
 * @example
 * ```ts
 * format(issueReceiptIdentity('k3j9x0q2m4z7a', 57, Math.random)) // 'k3j9x0q2m4z7a.57._0f8k2…'
 * ```
 */
export function issueReceiptIdentity (incarnation: protocol.Incarnation, epoch: number, random: protocol.Random): Identity {
  const digits = Array.from({ length: NONCE_LENGTH }, () => Math.floor(random() * NONCE_RADIX).toString(NONCE_RADIX))
  return { incarnation, epoch, nonce: `${protocol.INTERNAL_NONCE_PREFIX}${digits.join('')}` }
}

/**
 * Returns whether an identity was issued by `issueReceiptIdentity`. Requests sent under such an identity are refused.
 *
 * @example
 * ```ts
 * isReceiptOnly({ incarnation: 'k3j9x0q2m4z7a', epoch: 57, nonce: '_0f8k2' }) // true
 * ```
 */
export function isReceiptOnly (identity: Identity): boolean {
  return identity.nonce.startsWith(protocol.INTERNAL_NONCE_PREFIX)
}
