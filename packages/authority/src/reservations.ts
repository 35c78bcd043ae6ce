/**
 * Targets that are kept for suspected requests: drained for one that waits, or occupied by those that
 * run there. Nothing else is placed on them.
 *
 * @module
 */

/** Reservations by target. */
export interface Reservations {
  /** Whether the target is kept for another ask than this one. */
  readonly isClosedTo: (target: string, key: string) => boolean
  readonly isReserved: (target: string) => boolean
  readonly targetOf: (key: string) => string | undefined
  readonly reserve: (target: string, key: string) => void
  readonly release: (key: string) => void
  readonly keys: () => Iterable<string>
}

/**
 * Creates an empty set of reservations.
 *
 * @example
 * ```ts
 * const reservations = createReservations()
 * reservations.reserve('replica-1', 'a/1')
 * reservations.isClosedTo('replica-1', 'b/7') // true
 * ```
 */
export function createReservations (): Reservations {
  const holders = new Map<string, Set<string>>()
  const targets = new Map<string, string>()

  function release (key: string): void {
    const target = targets.get(key)
    if (target === undefined) return
    targets.delete(key)
    const keys = holders.get(target)
    keys?.delete(key)
    if (keys?.size === 0) holders.delete(target)
  }

  return {
    isClosedTo (target, key) {
      const keys = holders.get(target)
      return keys !== undefined && (keys.size > 1 || !keys.has(key))
    },
    isReserved: (target) => holders.has(target),
    targetOf: (key) => targets.get(key),
    reserve (target, key) {
      release(key)
      targets.set(key, target)
      const keys = holders.get(target) ?? new Set<string>()
      holders.set(target, keys.add(key))
    },
    release,
    keys: () => targets.keys()
  }
}
