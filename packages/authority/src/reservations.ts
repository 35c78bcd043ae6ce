/**
 * Targets that are reserved for suspect requests: drained for one that waits, or occupied by those that run there.
 * No other request is placed on them.
 *
 * @module
 */

/** Reservations by target. */
export interface Reservations {
  /** Whether the target is reserved for a request other than this one. */
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
 * reservations.reserve('engine-1', 'a/1')
 * reservations.isClosedTo('engine-1', 'b/7') // true
 * ```
 */
export function createReservations (): Reservations {
  const keysByTarget = new Map<string, Set<string>>()
  const targetByKey = new Map<string, string>()

  function release (key: string): void {
    const target = targetByKey.get(key)
    if (target === undefined) return
    targetByKey.delete(key)
    const keys = keysByTarget.get(target)
    keys?.delete(key)
    if (keys?.size === 0) keysByTarget.delete(target)
  }

  return {
    isClosedTo (target, key) {
      const keys = keysByTarget.get(target)
      return keys !== undefined && (keys.size > 1 || !keys.has(key))
    },
    isReserved: (target) => keysByTarget.has(target),
    targetOf: (key) => targetByKey.get(key),
    reserve (target, key) {
      release(key)
      targetByKey.set(key, target)
      const keys = keysByTarget.get(target) ?? new Set<string>()
      keysByTarget.set(target, keys.add(key))
    },
    release,
    keys: () => targetByKey.keys()
  }
}
