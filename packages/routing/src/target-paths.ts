/**
 * Paths from a daemon to targets: directly, or through a peer that still reaches a target.
 *
 * A target that can't be connected to may be down, or this daemon may be cut off from it. What peers report tells the
 * two apart: a target that some peer reaches is used through that peer. Lost paths are probed by the daemon itself, not by
 * requests of callers.
 *
 * @module
 */

/** Interval of the probes of a lost path, ms. */
const PROBE_INTERVAL_MS = 400

/** Minimum interval of the probes of a path that is only suspected, ms. */
const SUSPICION_INTERVAL_MS = 1_000

/** Time since the last request for which a target is probed when the path to another one is lost, ms. */
const USE_RETENTION_MS = 10_000

/** Time for which a peer that could not connect to a target is not asked for that target again, ms. */
const RELAY_RETRY_MS = 1_000

/** Settings of the paths. */
export interface Options {
  readonly random: () => number
  /** Called when a direct path is lost or regained. */
  readonly onChange: (target: string, isLost: boolean) => void
}

/** The paths of one daemon. */
export interface TargetPaths {
  /** Returns the peer through which a request goes, of those that can be used; undefined for the direct path. */
  readonly choose: (target: string, peers: () => readonly string[], nowMs: number) => string | undefined
  readonly isLost: (target: string) => boolean
  /** Records that a connection could not be opened; `via` is the peer, undefined for the direct path. */
  readonly recordUnreachable: (target: string, via: string | undefined, nowMs: number) => void
  /** Records that a target with requests in flight has sent nothing for a while. */
  readonly suspect: (target: string) => void
  /** Returns the targets to probe now; each probe must be ended. */
  readonly takeDueProbes: (nowMs: number) => readonly string[]
  readonly endProbe: (target: string, isReached: boolean, nowMs: number) => void
  /** Returns the targets whose direct path is lost. */
  readonly lost: () => readonly string[]
  /** Returns whether at least half of the targets in use are reached by some of the peers and not directly. */
  readonly isCutOff: (peers: readonly string[], nowMs: number) => boolean
  /** Applies the lost paths of a peer. */
  readonly applyReport: (peer: string, lost: readonly string[]) => void
  /** Forgets the targets that are not in the set. */
  readonly retain: (targets: ReadonlySet<string>) => void
}

/**
 * Creates the paths; none is lost.
 *
 * @example
 * ```ts
 * paths.recordUnreachable('i-1', undefined, nowMs)
 * const via = paths.choose('i-1', () => ['10.1.0.25:7600'], nowMs)
 * ```
 */
export function createTargetPaths ({ random, onChange }: Options): TargetPaths {
  const lost = new Set<string>()
  const suspected = new Set<string>()
  const probing = new Set<string>()
  const lastProbeMs = new Map<string, number>()
  const lastUseMs = new Map<string, number>()
  const lostAtPeers = new Map<string, ReadonlySet<string>>()
  /** When a peer could not connect to a target, by both. */
  const relayFailureMs = new Map<string, number>()

  const relayKey = (target: string, peer: string): string => `${target} ${peer}`
  const isLostAt = (peer: string, target: string): boolean => lostAtPeers.get(peer)?.has(target) === true

  function inUse (nowMs: number): readonly string[] {
    return [...lastUseMs].filter(([, atMs]) => nowMs - atMs < USE_RETENTION_MS).map(([target]) => target)
  }

  function choose (target: string, peers: () => readonly string[], nowMs: number): string | undefined {
    lastUseMs.set(target, nowMs)
    if (!lost.has(target)) return undefined
    const usable = peers().filter((peer) => !isLostAt(peer, target) && nowMs - (relayFailureMs.get(relayKey(target, peer)) ?? -Infinity) >= RELAY_RETRY_MS)
    return usable[Math.floor(random() * usable.length)]
  }

  function lose (target: string, nowMs: number): void {
    suspected.delete(target)
    if (lost.has(target)) return
    lost.add(target)
    lastProbeMs.set(target, nowMs)
    // Paths are usually lost together.
    for (const other of inUse(nowMs)) if (!lost.has(other)) suspected.add(other)
    onChange(target, true)
  }

  function recordUnreachable (target: string, via: string | undefined, nowMs: number): void {
    if (via === undefined) lose(target, nowMs)
    else relayFailureMs.set(relayKey(target, via), nowMs)
  }

  function isDue (target: string, nowMs: number): boolean {
    const intervalMs = lost.has(target) ? PROBE_INTERVAL_MS : SUSPICION_INTERVAL_MS
    return !probing.has(target) && nowMs - (lastProbeMs.get(target) ?? -Infinity) >= intervalMs
  }

  function takeDueProbes (nowMs: number): readonly string[] {
    const due = [...lost, ...suspected].filter((target) => isDue(target, nowMs))
    for (const target of due) {
      probing.add(target)
      suspected.delete(target)
      lastProbeMs.set(target, nowMs)
    }
    return due
  }

  function endProbe (target: string, isReached: boolean, nowMs: number): void {
    if (!probing.delete(target)) return
    if (!isReached) lose(target, nowMs)
    else if (lost.delete(target)) onChange(target, false)
  }

  function isCutOff (peers: readonly string[], nowMs: number): boolean {
    if (lost.size === 0) return false
    const used = inUse(nowMs)
    const reachedByPeers = used.filter((target) => lost.has(target) && peers.some((peer) => !isLostAt(peer, target)))
    return reachedByPeers.length * 2 >= used.length && reachedByPeers.length > 0
  }

  function retain (targets: ReadonlySet<string>): void {
    for (const target of [...lastUseMs.keys(), ...lost]) {
      if (targets.has(target)) continue
      for (const known of [lost, suspected, probing, lastProbeMs, lastUseMs]) known.delete(target)
    }
    for (const key of relayFailureMs.keys()) if (!targets.has(key.split(' ')[0] ?? '')) relayFailureMs.delete(key)
  }

  return {
    choose,
    isLost: (target) => lost.has(target),
    recordUnreachable,
    suspect: (target) => { if (!lost.has(target)) suspected.add(target) },
    takeDueProbes,
    endProbe,
    lost: () => [...lost],
    isCutOff,
    applyReport: (peer, targets) => { lostAtPeers.set(peer, new Set(targets)) },
    retain
  }
}
