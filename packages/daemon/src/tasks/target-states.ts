/**
 * Determines from the platform's VM list, which lags, which targets are leaving. A target counts as
 * leaving at once, but as serving again only after the list has shown it live for `MIN_LIVE_MS`.
 *
 * @module
 */
import type * as backing from '@persimmonhatch/backing-services'
import type * as protocol from '@persimmonhatch/protocol'

/** Time for which the list must show a leaving target live before it serves again, milliseconds: longer than the list lags. */
export const MIN_LIVE_MS = 30_000

/** Last known states of the targets. */
export interface TargetStates {
  /** Applies one reading of the list and yields the resulting updates. Targets missing from the list keep their state. */
  readonly applyVmList: (vms: readonly backing.vmList.Vm[], nowMs: number) => Generator<protocol.TargetUpdate, void>
  /** Applies an update from another daemon. */
  readonly applyUpdate: (update: protocol.TargetUpdate) => void
  readonly leaving: () => readonly string[]
}

interface TrackedTarget {
  readonly update: protocol.TargetUpdate
  /** When the list began to show a leaving target live; undefined while it does not. */
  readonly liveSinceMs: number | undefined
}

/**
 * Creates the states; every target starts as serving.
 *
 * @example
 * ```ts
 * for (const update of states.applyVmList(vms, nowMs)) membership.post({ kind: 'update', update })
 * ```
 */
export function createTargetStates (): TargetStates {
  const tracked = new Map<string, TrackedTarget>()

  function * observeLeaving (vm: backing.vmList.Vm): Generator<protocol.TargetUpdate, void> {
    const existing = tracked.get(vm.name)
    if (existing?.update.state === 'leaving') {
      tracked.set(vm.name, { update: existing.update, liveSinceMs: undefined })
      return
    }
    const update: protocol.TargetUpdate = { kind: 'target', target: vm.name, version: (existing?.update.version ?? 0) + 1, state: 'leaving' }
    tracked.set(vm.name, { update, liveSinceMs: undefined })
    yield update
  }

  function * observeLive (vm: backing.vmList.Vm, nowMs: number): Generator<protocol.TargetUpdate, void> {
    const existing = tracked.get(vm.name)
    if (existing === undefined || existing.update.state === 'serving') return
    const liveSinceMs = existing.liveSinceMs ?? nowMs
    if (nowMs - liveSinceMs < MIN_LIVE_MS) {
      tracked.set(vm.name, { update: existing.update, liveSinceMs })
      return
    }
    const update: protocol.TargetUpdate = { kind: 'target', target: vm.name, version: existing.update.version + 1, state: 'serving' }
    tracked.set(vm.name, { update, liveSinceMs: undefined })
    yield update
  }

  function * applyVmList (vms: readonly backing.vmList.Vm[], nowMs: number): Generator<protocol.TargetUpdate, void> {
    const leaving = new Set(vms.filter((vm) => vm.state === 'leaving').map((vm) => vm.name))
    for (const vm of vms) {
      // A target that the list shows both live and leaving counts as leaving.
      if (leaving.has(vm.name)) yield * observeLeaving(vm)
      else yield * observeLive(vm, nowMs)
    }
  }

  function applyUpdate (update: protocol.TargetUpdate): void {
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
