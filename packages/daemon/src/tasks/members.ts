/**
 * Runs the membership core and passes its updates to the other tasks.
 *
 * @module
 */
import * as membership from '@persimmonhatch/membership'
import type * as protocol from '@persimmonhatch/protocol'
import * as task from './task.js'

/** Dependencies of the task. */
export interface Options {
  readonly localMember: protocol.MemberUpdate
  readonly clock: protocol.Clock
  readonly random: protocol.Random
  readonly beforeEvent: () => void
  readonly send: (outbound: protocol.Outbound) => void
  readonly onUpdate: (update: protocol.Update) => void
  readonly onMembers: (members: readonly protocol.MemberUpdate[]) => void
  readonly onHeartbeat: (heartbeat: number) => void
  /** Called when the other daemons have declared this incarnation dead, which can't be undone. */
  readonly onEvicted: () => void
  readonly count: (counter: string, value: number) => void
}

/** The running task. */
export interface Members {
  readonly post: (event: membership.event.Event) => void
  readonly core: membership.membership.Membership
  /** Returns this daemon's own member update, as it is disseminated. */
  readonly localMember: () => protocol.MemberUpdate
  /** Returns a member that is alive or leaving. */
  readonly findLive: (incarnation: protocol.Incarnation) => protocol.MemberUpdate | undefined
  /** Returns the live members other than this one. */
  readonly peers: () => readonly protocol.Incarnation[]
}

/**
 * Starts the task.
 *
 * @example
 * ```ts
 * const members = startMembers(options)
 * members.post({ kind: 'tick' })
 * ```
 */
export function startMembers (options: Options): Members {
  const { incarnation } = options.localMember
  const core = membership.membership.createMembership({ localMember: options.localMember, random: options.random })

  function perform (output: membership.event.Output): void {
    switch (output.kind) {
      case 'send': return options.send(output.outbound)
      case 'update-applied': return options.onUpdate(output.update)
      case 'members': return options.onMembers(output.members)
      case 'evicted': return options.onEvicted()
      case 'heartbeat': return options.onHeartbeat(output.heartbeat)
      case 'count': return options.count(output.counter, output.value)
    }
  }

  function findLive (peer: protocol.Incarnation): protocol.MemberUpdate | undefined {
    const found = core.findMember(peer)
    return found === undefined || found.state === 'gone' ? undefined : found
  }

  const started = task.startTask({ core, clock: options.clock, beforeEvent: options.beforeEvent, perform })
  return {
    post: started.post,
    core,
    localMember: () => core.findMember(incarnation) ?? options.localMember,
    findLive,
    peers: () => core.members().map((member) => member.incarnation).filter((other) => other !== incarnation)
  }
}
