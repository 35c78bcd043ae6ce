/**
 * Membership of this daemon: runs the core and tells the other tasks what it learns.
 *
 * @module
 */
import * as membership from '@persimmonhatch/membership'
import type * as protocol from '@persimmonhatch/protocol'
import * as task from './task.js'

/** What the task needs of its surroundings. */
export interface Options {
  readonly self: protocol.MemberUpdate
  readonly clock: protocol.Clock
  readonly random: protocol.Random
  readonly beforeEvent: () => void
  readonly send: (outbound: protocol.Outbound) => void
  readonly onLearned: (news: protocol.Update) => void
  readonly onMembers: (members: readonly protocol.MemberUpdate[]) => void
  readonly onBeat: (beat: number) => void
  /** The others hold this daemon for gone and its incarnation can't go on. */
  readonly onEvicted: () => void
  readonly count: (counter: string, value: number) => void
}

/** The running task. */
export interface Members {
  readonly post: (event: membership.event.Event) => void
  readonly core: membership.membership.Membership
  /** This daemon as the others should see it. */
  readonly self: () => protocol.MemberUpdate
  /** Finds a member that is alive or leaving. */
  readonly findLive: (incarnation: protocol.Incarnation) => protocol.MemberUpdate | undefined
  /** Live members other than this one. */
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
  const { incarnation } = options.self
  const core = membership.membership.createMembership({ localMember: options.self, random: options.random })

  function perform (output: membership.event.Output): void {
    switch (output.kind) {
      case 'send': return options.send(output.outbound)
      case 'learned': return options.onLearned(output.news)
      case 'members': return options.onMembers(output.members)
      case 'evicted': return options.onEvicted()
      case 'beat': return options.onBeat(output.beat)
      case 'count': return options.count(output.counter, output.value)
    }
  }

  function findLive (wanted: protocol.Incarnation): protocol.MemberUpdate | undefined {
    const found = core.findMember(wanted)
    return found === undefined || found.state === 'gone' ? undefined : found
  }

  const started = task.startTask({ core, clock: options.clock, beforeEvent: options.beforeEvent, perform })
  return {
    post: started.post,
    core,
    self: () => core.findMember(incarnation) ?? options.self,
    findLive,
    peers: () => core.members().map((member) => member.incarnation).filter((other) => other !== incarnation)
  }
}
