/**
 * Crashes of targets, and the traits of the requests that were in flight there.
 *
 * @module
 */

/** Who reported: this daemon itself, a member of its cell, or another cell. */
export type Source = 'own' | 'cell' | 'fleet'

/** What may make a request crash its targets. */
export interface Traits {
  /** Fingerprint of the whole content. */
  readonly content: string
  /** Segments of the prompt that other requests may have too. */
  readonly segments: readonly string[]
}

/** A request that was in flight at a target that broke off before it had begun to answer. */
export interface Crash extends Traits {
  readonly target: string
  readonly sentMs: number
  readonly atMs: number
}
