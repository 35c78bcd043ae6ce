/**
 * Measures for how long a daemon has known that its document is outdated.
 *
 * @module
 */

/** The versions that peers hold and this daemon does not, and when it first heard of each. */
export interface VersionLag {
  /** Records the version that a peer reports. */
  readonly hear: (version: number, nowMs: number) => void
  /** Records the adoption of a version; returns the time since the first report of a version up to it, ms; undefined if there was none. */
  readonly adopt: (version: number, nowMs: number) => number | undefined
}

/**
 * Creates the measurement for a daemon without a document.
 *
 * @example
 * ```ts
 * const lag = createVersionLag()
 * lag.hear(7, 1_000)
 * lag.adopt(7, 1_300) // 300
 * ```
 */
export function createVersionLag (): VersionLag {
  const heardMs = new Map<number, number>()
  let adopted = 0
  return {
    hear: (version, nowMs) => {
      if (version > adopted && !heardMs.has(version)) heardMs.set(version, nowMs)
    },
    adopt: (version, nowMs) => {
      adopted = version
      const included = [...heardMs].filter(([heard]) => heard <= version)
      for (const [heard] of included) heardMs.delete(heard)
      return included.length === 0 ? undefined : nowMs - Math.min(...included.map(([, atMs]) => atMs))
    }
  }
}
