/**
 * Simulated cluster in virtual time: membership cores connected by a network that loses and delays messages.
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as float from 'pure-rand/distribution/uniformFloat64'
import * as generator from 'pure-rand/generator/xoroshiro128plus'
import * as event from '../src/event.js'
import * as membership from '../src/membership.js'

const STEP_MS = 10

export interface Options {
  readonly size: number
  readonly regions: number
  readonly zonesPerRegion: number
  readonly seed: number
  /** Share of messages lost, 0 to 1. */
  readonly loss: number
  /** Seeds that each daemon discovers at the start; with `all`, each has all members from the start. */
  readonly initialSeeds: number | 'all'
}

interface Delivery {
  readonly from: SimulatedDaemon
  readonly to: SimulatedDaemon
  readonly message: event.ReceivedMessage
}

/** One simulated daemon: its core and its recorded outputs. */
export class SimulatedDaemon {
  readonly core: membership.Membership
  readonly applied: Array<{ readonly atMs: number, readonly update: protocol.Update }> = []
  readonly counts = new Map<string, number>()
  readonly queuedInputs: Array<() => void> = []
  sentBytes = 0
  receivedBytes = 0
  maxMessageBytes = 0
  state: 'running' | 'paused' | 'dead' = 'running'

  constructor (readonly member: protocol.MemberUpdate, random: protocol.Random) {
    this.core = membership.createMembership({ localMember: member, random })
  }
}

/** Returns a seeded random source. */
export function seededRandom (seed: number): protocol.Random {
  const source = generator.xoroshiro128plus(seed)
  return () => float.uniformFloat64(source)
}

/** Describes one daemon; the index determines its region and availability zone. */
export function describe (index: number, regions: number, zonesPerRegion: number): protocol.MemberUpdate {
  const region = `region-${index % regions}`
  const zone = Math.floor(index / regions) % zonesPerRegion
  return {
    kind: 'member',
    incarnation: `d${String(index).padStart(12, '0')}`,
    address: `10.${index % regions}.${zone}.${index % 250}:7400`,
    peerAddress: `10.${index % regions}.${zone}.${index % 250}:7401`,
    availabilityZone: `${region}-${zone}`,
    region,
    beat: 0,
    state: 'alive',
    load: 0.25
  }
}

/** Returns the bytes of the JSON-RPC notification for a message, without the framing of lower layers. */
export function sizeOf (message: protocol.PeerMessage): number {
  const { kind, ...params } = message
  return JSON.stringify({ jsonrpc: '2.0', method: kind, params }).length
}

export class Network {
  readonly daemons: SimulatedDaemon[]
  nowMs = 0
  /** Whether sent and received bytes are counted. */
  isMeasuring = false
  /** Returns true for messages to drop on arrival. */
  isDropped: (from: SimulatedDaemon, to: SimulatedDaemon, message: event.ReceivedMessage) => boolean = () => false
  private readonly random: protocol.Random
  private readonly deliveries = new Map<number, Delivery[]>()
  private readonly byIncarnation: Map<string, SimulatedDaemon>

  constructor (private readonly options: Options) {
    this.random = seededRandom(options.seed)
    this.daemons = Array.from({ length: options.size }, (_, index) => this.createDaemon(index))
    this.byIncarnation = new Map(this.daemons.map((daemon) => [daemon.member.incarnation, daemon]))
    for (const daemon of this.daemons) this.addInitialSeeds(daemon, options.initialSeeds)
  }

  private createDaemon (index: number): SimulatedDaemon {
    const member = describe(index, this.options.regions, this.options.zonesPerRegion)
    return new SimulatedDaemon(member, seededRandom(this.options.seed * 10_007 + index))
  }

  private addInitialSeeds (daemon: SimulatedDaemon, count: number | 'all'): void {
    const others = this.daemons.map((other) => other.member)
    if (count === 'all') {
      this.handle(daemon, { kind: 'message', from: others[0]?.incarnation ?? '', message: { kind: 'probe', sequence: 0, news: others } })
      return
    }
    const members = Array.from({ length: count }, () => others[Math.floor(this.random() * others.length)] as protocol.MemberUpdate)
    this.handle(daemon, { kind: 'members-discovered', members })
  }

  /** Adds a daemon while the others are running. */
  add (index: number, members: readonly protocol.MemberUpdate[]): SimulatedDaemon {
    const daemon = this.createDaemon(index)
    this.daemons.push(daemon)
    this.byIncarnation.set(daemon.member.incarnation, daemon)
    this.handle(daemon, { kind: 'members-discovered', members })
    return daemon
  }

  handle (daemon: SimulatedDaemon, input: event.Event): void {
    if (daemon.state === 'paused' && input.kind !== 'tick') daemon.queuedInputs.push(() => { this.handle(daemon, input) })
    if (daemon.state !== 'running') return
    for (const output of daemon.core.handle(input, this.nowMs)) this.perform(daemon, output)
  }

  pause (daemon: SimulatedDaemon): void {
    daemon.state = 'paused'
  }

  /** Resumes a paused daemon, which then handles the inputs queued during the pause. */
  resume (daemon: SimulatedDaemon, isNotified: boolean): void {
    daemon.state = 'running'
    if (isNotified) this.handle(daemon, { kind: 'resumed' })
    for (const handleQueued of daemon.queuedInputs.splice(0)) handleQueued()
  }

  private perform (daemon: SimulatedDaemon, output: event.Output): void {
    if (output.kind === 'update-applied') daemon.applied.push({ atMs: this.nowMs, update: output.update })
    if (output.kind === 'count') daemon.counts.set(output.counter, (daemon.counts.get(output.counter) ?? 0) + output.value)
    if (output.kind === 'send') this.send(daemon, output.outbound)
  }

  private send (from: SimulatedDaemon, { to, message }: protocol.Outbound): void {
    const receiver = this.byIncarnation.get(to)
    if (receiver === undefined) return
    if (this.isMeasuring) this.measure(from, receiver, message)
    if (this.random() < this.options.loss) return
    const isLocal = from.member.region === receiver.member.region
    const delayMs = isLocal ? 1 + this.random() * 9 : 30 + this.random() * 50
    const dueMs = this.nowMs + Math.ceil(delayMs / STEP_MS) * STEP_MS
    const queue = this.deliveries.get(dueMs) ?? []
    queue.push({ from, to: receiver, message: message as event.ReceivedMessage })
    this.deliveries.set(dueMs, queue)
  }

  private measure (from: SimulatedDaemon, to: SimulatedDaemon, message: protocol.PeerMessage): void {
    const bytes = sizeOf(message)
    from.sentBytes += bytes
    if (to.state !== 'dead') to.receivedBytes += bytes
    from.maxMessageBytes = Math.max(from.maxMessageBytes, bytes)
  }

  private step (): void {
    this.nowMs += STEP_MS
    const due = this.deliveries.get(this.nowMs) ?? []
    this.deliveries.delete(this.nowMs)
    for (const { from, to, message } of due) {
      if (this.isDropped(from, to, message)) continue
      this.handle(to, { kind: 'message', from: from.member.incarnation, message })
    }
    const phase = (this.nowMs / STEP_MS) % (event.TICK_INTERVAL_MS / STEP_MS)
    for (const [index, daemon] of this.daemons.entries()) {
      if (index % (event.TICK_INTERVAL_MS / STEP_MS) === phase) this.handle(daemon, { kind: 'tick' })
    }
  }

  run (durationMs: number): void {
    const endMs = this.nowMs + durationMs
    while (this.nowMs < endMs) this.step()
  }

  /** Runs until the condition holds and returns the time that it took; undefined if it did not hold in time. */
  runUntil (isDone: () => boolean, timeoutMs: number): number | undefined {
    const startMs = this.nowMs
    while (this.nowMs - startMs <= timeoutMs) {
      if (isDone()) return this.nowMs - startMs
      this.run(event.TICK_INTERVAL_MS)
    }
    return undefined
  }

  running (): readonly SimulatedDaemon[] {
    return this.daemons.filter((daemon) => daemon.state === 'running')
  }

  /** Returns true if the live members of every running daemon are exactly the running daemons. */
  hasConverged (): boolean {
    const size = this.running().length
    return this.running().every((daemon) => {
      const members = daemon.core.members()
      return members.length === size && members.every((member) => this.byIncarnation.get(member.incarnation)?.state === 'running')
    })
  }

  totalCount (counter: string): number {
    return this.daemons.reduce((sum, daemon) => sum + (daemon.counts.get(counter) ?? 0), 0)
  }
}
