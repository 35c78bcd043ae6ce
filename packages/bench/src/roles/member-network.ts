/**
 * Simulates membership cores that exchange messages in virtual time. As in a daemon, messages are serialized, and
 * validated on arrival.
 *
 * @module
 */
import * as membership from '@persimmonhatch/membership'
import * as protocol from '@persimmonhatch/protocol'
import * as wire from '../wire.js'
import * as workload from '../workload.js'

const STEP_MS = 20
const MESSAGE_DELAY_MS = 20
const MAX_RECENT_MESSAGES = 400

interface Delivery {
  readonly from: protocol.Incarnation
  readonly to: protocol.Incarnation
  readonly text: string
}

/** Simulated members and counters of their traffic. */
export class MemberNetwork {
  nowMs = 0
  sentBytes = 0
  sentMessages = 0
  /** The most recent messages, up to `MAX_RECENT_MESSAGES`. */
  readonly recentMessages: string[] = []
  private readonly cores = new Map<protocol.Incarnation, membership.membership.Membership>()
  private readonly deliveries = new Map<number, Delivery[]>()

  constructor (members: number) {
    const allMembers = Array.from({ length: members }, (_, index) => workload.createMember(index))
    for (const [index, localMember] of allMembers.entries()) {
      this.cores.set(localMember.incarnation, membership.membership.createMembership({ localMember: { ...localMember, beat: 0 }, random: workload.seededRandom(index + 1) }))
    }
    for (const localMember of allMembers) this.handleEvent(localMember.incarnation, { kind: 'members-discovered', members: allMembers.map((member) => ({ ...member, beat: 0 })) })
  }

  /** Returns how many members the first member sees. */
  firstMemberViewSize (): number {
    return this.cores.get(workload.incarnationOf(0))?.members().length ?? 0
  }

  handleEvent (to: protocol.Incarnation, input: membership.event.Event): void {
    const core = this.cores.get(to)
    if (core === undefined) return
    for (const output of core.handle(input, this.nowMs)) if (output.kind === 'send') this.send(to, output.outbound)
  }

  private send (from: protocol.Incarnation, outbound: protocol.Outbound): void {
    const text = wire.notificationText(outbound.message)
    this.sentBytes += wire.networkBytes(text.length)
    this.sentMessages += 1
    this.recentMessages[this.sentMessages % MAX_RECENT_MESSAGES] = text
    const dueMs = this.nowMs + MESSAGE_DELAY_MS
    const dueDeliveries = this.deliveries.get(dueMs) ?? []
    dueDeliveries.push({ from, to: outbound.to, text })
    this.deliveries.set(dueMs, dueDeliveries)
  }

  private receive (delivery: Delivery): void {
    const { method, params } = JSON.parse(delivery.text) as { readonly method: string, readonly params: object }
    const message = protocol.peerMessage.parse({ ...params, kind: method }) as membership.event.ReceivedMessage
    this.handleEvent(delivery.to, { kind: 'message', from: delivery.from, message })
  }

  run (durationMs: number): void {
    const stepsPerTick = membership.event.TICK_INTERVAL_MS / STEP_MS
    for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
      this.nowMs += STEP_MS
      for (const delivery of this.deliveries.get(this.nowMs) ?? []) this.receive(delivery)
      this.deliveries.delete(this.nowMs)
      let index = 0
      for (const incarnation of this.cores.keys()) {
        if (index % stepsPerTick === (this.nowMs / STEP_MS) % stepsPerTick) this.handleEvent(incarnation, { kind: 'tick' })
        index += 1
      }
    }
  }

  /** Applies an update at one member. */
  applyUpdate (index: number, update: protocol.Update): void {
    this.handleEvent(workload.incarnationOf(index), { kind: 'update', update })
  }
}
