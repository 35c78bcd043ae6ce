/**
 * Targets that are kept free for one suspected request.
 *
 * @module
 */

/** Reservations by target. */
export interface Reservations {
  /** Key of the ask that the target is reserved for. */
  readonly get: (target: string) => string | undefined
  readonly targetOf: (key: string) => string | undefined
  readonly reserve: (target: string, key: string) => void
  readonly release: (key: string) => void
  readonly all: () => Iterable<readonly [target: string, key: string]>
}

/**
 * Creates an empty set of reservations.
 *
 * @example
 * ```ts
 * const reservations = createReservations()
 * reservations.reserve('replica-1', 'a/1')
 * reservations.targetOf('a/1') // 'replica-1'
 * ```
 */
export function createReservations (): Reservations {
  const keys = new Map<string, string>()
  const targets = new Map<string, string>()
  return {
    get: (target) => keys.get(target),
    targetOf: (key) => targets.get(key),
    reserve (target, key) {
      const previous = keys.get(target)
      if (previous !== undefined) targets.delete(previous)
      keys.set(target, key)
      targets.set(key, target)
    },
    release (key) {
      const target = targets.get(key)
      if (target === undefined) return
      targets.delete(key)
      keys.delete(target)
    },
    all: () => keys.entries()
  }
}
