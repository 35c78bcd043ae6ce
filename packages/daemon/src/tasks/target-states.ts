/**
 * Which targets are leaving, from the platform's lagging list of VMs. A target's leaving is believed
 * at once; its return only after the list has shown it live for a while.
 *
 * @module
 */
import type * as backing from '@persimmonhatch/backing-services'
import type * as protocol from '@persimmonhatch/protocol'

/** Time for which the list must show a target live again, milliseconds: longer than the list lags. */
export const MIN_LIVE_MS = 30_000

/** What the daemon knows of targets' states. */
export interface TargetStates {
  /** Takes one reading of the list; gives the news that it brings. An empty or short list brings none. */
  readonly applyVmList: (vms: readonly backing.vmList.Vm[], nowMs: number) => Generator<protocol.TargetNews, void>
  /** Takes news from other daemons. */
  readonly applyUpdate: (update: protocol.TargetNews) => void
  readonly leaving: () => readonly string[]
}

interface TrackedTarget {
  readonly update: protocol.TargetNews
  /** When the list began to show the target live; undefined while it does not. */
  readonly liveSinceMs: number | undefined
}

/**
 * Starts with every target serving.
 *
 * @example
 * ```ts
 * for (const news of states.read(vms, nowMs)) membership.post({ kind: 'news', news })
 * ```
 */
export function createTargetStates (): TargetStates {
  const tracked = new Map<string, TrackedTarget>()

  function * observeLeaving (vm: backing.vmList.Vm): Generator<protocol.TargetNews, void> {
    const existing = tracked.get(vm.name)
    if (existing?.update.state === 'leaving') {
      tracked.set(vm.name, { update: existing.update, liveSinceMs: undefined })
      return
    }
    const update: protocol.TargetNews = { kind: 'target', target: vm.name, version: (existing?.update.version ?? 0) + 1, state: 'leaving' }
    tracked.set(vm.name, { update, liveSinceMs: undefined })
    yield update
  }

  function * observeLive (vm: backing.vmList.Vm, nowMs: number): Generator<protocol.TargetNews, void> {
    const existing = tracked.get(vm.name)
    if (existing === undefined || existing.update.state === 'serving') return
    const liveSinceMs = existing.liveSinceMs ?? nowMs
    if (nowMs - liveSinceMs < MIN_LIVE_MS) {
      tracked.set(vm.name, { update: existing.update, liveSinceMs })
      return
    }
    const update: protocol.TargetNews = { kind: 'target', target: vm.name, version: existing.update.version + 1, state: 'serving' }
    tracked.set(vm.name, { update, liveSinceMs: undefined })
    yield update
  }

  function * applyVmList (vms: readonly backing.vmList.Vm[], nowMs: number): Generator<protocol.TargetNews, void> {
    const leaving = new Set(vms.filter((vm) => vm.state === 'leaving').map((vm) => vm.name))
    for (const vm of vms) {
      // A list that shows a target both live and leaving is taken as leaving.
      if (leaving.has(vm.name)) yield * observeLeaving(vm)
      else yield * observeLive(vm, nowMs)
    }
  }

  function applyUpdate (update: protocol.TargetNews): void {
    const existing = tracked.get(update.target)
    if (existing !== undefined && existing.update.version >= update.version) return
    tracked.set(update.target, { update, liveSinceMs: undefined })
  }

  return {
    applyVmList,
    applyUpdate,
    leaving: () => [...tracked.values()].filter((target) => target.update.state === 'leaving').map((target) => target.update.target)
  }
}
