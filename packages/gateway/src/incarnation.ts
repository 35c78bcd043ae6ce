/**
 * Names of runs of a process.
 *
 * @module
 */
import * as crypto from 'node:crypto'

const INCARNATION_BYTES = 6

/** Returns a name that is unique for each start of a process. */
export function createIncarnation (): string {
  return crypto.randomBytes(INCARNATION_BYTES).toString('hex')
}
