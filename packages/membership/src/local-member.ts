/**
 * The entry of the local daemon in the member list.
 *
 * @module
 */
import * as protocol from '@persimmonhatch/protocol'

/** The local member; its heartbeat counter follows the injected clock. */
export interface LocalMember {
  readonly incarnation: protocol.Incarnation
  readonly toUpdate: (nowMs: number) => protocol.MemberUpdate
  /** Returns the heartbeat counter if it rose since the last call. */
  readonly advanceHeartbeat: (nowMs: number) => number | undefined
  readonly setLoad: (load: number) => void
  /** Moves the state forward only: alive, leaving, gone. */
  readonly setState: (state: 'leaving' | 'gone') => void
  /** Raises the heartbeat counter above the one at which others consider this daemon dead. */
  readonly refute: (heartbeat: number, nowMs: number) => void
}

/**
 * Creates the local member.
 *
 * @example
 * ```ts
 * const local = createLocalMember(member)
 * local.toUpdate(1_000).beat
 * ```
 */
export function createLocalMember (initial: protocol.MemberUpdate): LocalMember {
  let startedMs: number | undefined
  let initialHeartbeat = initial.beat
  let lastHeartbeat = initial.beat
  let load = initial.load
  let state = initial.state

  function heartbeatAt (nowMs: number): number {
    startedMs ??= nowMs
    return initialHeartbeat + Math.floor((nowMs - startedMs) / protocol.HEARTBEAT_INTERVAL_MS)
  }

  function advanceHeartbeat (nowMs: number): number | undefined {
    const heartbeat = heartbeatAt(nowMs)
    if (heartbeat <= lastHeartbeat) return undefined
    lastHeartbeat = heartbeat
    return heartbeat
  }

  function refute (heartbeat: number, nowMs: number): void {
    const missing = heartbeat + 1 - heartbeatAt(nowMs)
    if (missing > 0) initialHeartbeat += missing
  }

  return {
    incarnation: initial.incarnation,
    toUpdate: (nowMs) => ({ ...initial, beat: heartbeatAt(nowMs), load, state }),
    advanceHeartbeat,
    refute,
    setLoad: (value) => { load = Math.round(Math.min(1, Math.max(0, value)) * 100) / 100 },
    setState: (value) => { if (state !== 'gone') state = value }
  }
}
