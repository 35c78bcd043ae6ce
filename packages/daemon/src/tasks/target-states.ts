/**
 * Which targets are leaving, from the platform's lagging list of VMs. A target's leaving is believed
 * at once; its return only after the list has shown it live for a while.
 *
 * @module
 */
import type * as backing from '@persimmonhatch/backing-services'
import type * as protocol from '@persimmonhatch/protocol'

/** Time for which the list must show a target live again, milliseconds: longer than the list lags. */
export const RETURN_MS = 30_000

/** What the daemon knows of targets' states. */
export interface TargetStates {
  /** Takes one reading of the list; gives the news that it brings. An empty or short list brings none. */
  readonly read: (vms: readonly backing.vmList.Vm[], nowMs: number) => Generator<protocol.TargetUpdate, void>
  /** Takes news from other daemons. */
  readonly learn: (news: protocol.TargetUpdate) => void
  readonly leaving: () => readonly string[]
}

interface Known {
  readonly news: protocol.TargetUpdate
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
  const known = new Map<string, Known>()

  function * leave (vm: backing.vmList.Vm): Generator<protocol.TargetUpdate, void> {
    const before = known.get(vm.name)
    if (before?.news.state === 'leaving') {
      known.set(vm.name, { news: before.news, liveSinceMs: undefined })
      return
    }
    const news: protocol.TargetUpdate = { kind: 'target', target: vm.name, version: (before?.news.version ?? 0) + 1, state: 'leaving' }
    known.set(vm.name, { news, liveSinceMs: undefined })
    yield news
  }

  function * live (vm: backing.vmList.Vm, nowMs: number): Generator<protocol.TargetUpdate, void> {
    const before = known.get(vm.name)
    if (before === undefined || before.news.state === 'serving') return
    const liveSinceMs = before.liveSinceMs ?? nowMs
    if (nowMs - liveSinceMs < RETURN_MS) {
      known.set(vm.name, { news: before.news, liveSinceMs })
      return
    }
    const news: protocol.TargetUpdate = { kind: 'target', target: vm.name, version: before.news.version + 1, state: 'serving' }
    known.set(vm.name, { news, liveSinceMs: undefined })
    yield news
  }

  function * read (vms: readonly backing.vmList.Vm[], nowMs: number): Generator<protocol.TargetUpdate, void> {
    const leaving = new Set(vms.filter((vm) => vm.state === 'leaving').map((vm) => vm.name))
    for (const vm of vms) {
      // A list that shows a target both live and leaving is taken as leaving.
      if (leaving.has(vm.name)) yield * leave(vm)
      else yield * live(vm, nowMs)
    }
  }

  function learn (news: protocol.TargetUpdate): void {
    const before = known.get(news.target)
    if (before !== undefined && before.news.version >= news.version) return
    known.set(news.target, { news, liveSinceMs: undefined })
  }

  return {
    read,
    learn,
    leaving: () => [...known.values()].filter((target) => target.news.state === 'leaving').map((target) => target.news.target)
  }
}
