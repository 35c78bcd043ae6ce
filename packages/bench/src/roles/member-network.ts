/**
 * Membership cores joined by links in virtual time. Messages pass as text and are checked on arrival as in a daemon.
 *
 * @module
 */
import * as membership from '@persimmonhatch/membership'
import * as protocol from '@persimmonhatch/protocol'
import * as wire from '../wire.js'
import * as workload from '../workload.js'

const STEP_MS = 20
const DELAY_MS = 20
const KEPT_MESSAGES = 400

interface Delivery {
  readonly from: protocol.Incarnation
  readonly to: protocol.Incarnation
  readonly text: string
}

/** Some daemons and what they sent. */
export class MemberNetwork {
  nowMs = 0
  sentBytes = 0
  sentMessages = 0
  /** The latest messages, a few hundred. */
  readonly latest: string[] = []
  private readonly cores = new Map<protocol.Incarnation, membership.membership.Membership>()
  private readonly deliveries = new Map<number, Delivery[]>()

  constructor (members: number) {
    const all = Array.from({ length: members }, (_, index) => workload.memberOf(index))
    for (const [index, self] of all.entries()) {
      this.cores.set(self.incarnation, membership.membership.createMembership({ localMember: { ...self, beat: 0 }, random: workload.createRandom(index + 1) }))
    }
    for (const self of all) this.give(self.incarnation, { kind: 'introduced', members: all.map((member) => ({ ...member, beat: 0 })) })
  }

  /** Members of the first daemon's view. */
  view (): number {
    return this.cores.get(workload.incarnationOf(0))?.members().length ?? 0
  }

  give (to: protocol.Incarnation, input: membership.event.Event): void {
    const core = this.cores.get(to)
    if (core === undefined) return
    for (const output of core.handle(input, this.nowMs)) if (output.kind === 'send') this.send(to, output.outbound)
  }

  private send (from: protocol.Incarnation, outbound: protocol.Outbound): void {
    const text = wire.notificationText(outbound.message)
    this.sentBytes += wire.networkBytes(text.length)
    this.sentMessages += 1
    this.latest[this.sentMessages % KEPT_MESSAGES] = text
    const dueMs = this.nowMs + DELAY_MS
    const due = this.deliveries.get(dueMs) ?? []
    due.push({ from, to: outbound.to, text })
    this.deliveries.set(dueMs, due)
  }

  private receive (delivery: Delivery): void {
    const { method, params } = JSON.parse(delivery.text) as { readonly method: string, readonly params: object }
    const message = protocol.peerMessage.parse({ ...params, kind: method }) as membership.event.ReceivedMessage
    this.give(delivery.to, { kind: 'message', from: delivery.from, message })
  }

  run (durationMs: number): void {
    const phases = membership.event.TICK_INTERVAL_MS / STEP_MS
    for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
      this.nowMs += STEP_MS
      for (const delivery of this.deliveries.get(this.nowMs) ?? []) this.receive(delivery)
      this.deliveries.delete(this.nowMs)
      let index = 0
      for (const incarnation of this.cores.keys()) {
        if (index % phases === (this.nowMs / STEP_MS) % phases) this.give(incarnation, { kind: 'tick' })
        index += 1
      }
    }
  }

  /** One daemon learns a piece of news. */
  tell (index: number, news: protocol.Update): void {
    this.give(workload.incarnationOf(index), { kind: 'news', news })
  }
}
