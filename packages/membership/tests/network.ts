/**
 * A few membership cores joined by lossy, delayed links in virtual time.
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
  /** Share of messages lost. */
  readonly loss: number
  /** Members that each daemon is introduced to at the start; with `all`, each knows all from the start. */
  readonly introductions: number | 'all'
}

interface Delivery {
  readonly from: Node
  readonly to: Node
  readonly message: event.Received
}

/** One daemon: its core and what was seen of it. */
export class Node {
  readonly core: membership.Membership
  readonly learned: Array<{ readonly atMs: number, readonly news: protocol.Update }> = []
  readonly counts = new Map<string, number>()
  readonly waiting: Array<() => void> = []
  sentBytes = 0
  receivedBytes = 0
  maxMessageBytes = 0
  state: 'running' | 'paused' | 'dead' = 'running'

  constructor (readonly news: protocol.MemberUpdate, random: protocol.Random) {
    this.core = membership.createMembership({ self: news, random })
  }
}

/** Seeded random numbers. */
export function createRandom (seed: number): protocol.Random {
  const source = generator.xoroshiro128plus(seed)
  return () => float.uniformFloat64(source)
}

/** Describes one daemon; the region and the availability zone follow from the index. */
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

/** Bytes of the JSON-RPC notification that carries a message; without the frames below it. */
export function sizeOf (message: protocol.PeerMessage): number {
  const { kind, ...params } = message
  return JSON.stringify({ jsonrpc: '2.0', method: kind, params }).length
}

export class Network {
  readonly nodes: Node[]
  nowMs = 0
  /** Counts bytes while true. */
  isMeasuring = false
  /** True for messages that do not arrive. */
  isCut: (from: Node, to: Node, message: event.Received) => boolean = () => false
  private readonly random: protocol.Random
  private readonly deliveries = new Map<number, Delivery[]>()
  private readonly byIncarnation: Map<string, Node>

  constructor (private readonly options: Options) {
    this.random = createRandom(options.seed)
    this.nodes = Array.from({ length: options.size }, (_, index) => this.createNode(index))
    this.byIncarnation = new Map(this.nodes.map((node) => [node.news.incarnation, node]))
    for (const node of this.nodes) this.introduce(node, options.introductions)
  }

  private createNode (index: number): Node {
    const news = describe(index, this.options.regions, this.options.zonesPerRegion)
    return new Node(news, createRandom(this.options.seed * 10_007 + index))
  }

  private introduce (node: Node, count: number | 'all'): void {
    const others = this.nodes.map((other) => other.news)
    if (count === 'all') {
      this.give(node, { kind: 'message', from: others[0]?.incarnation ?? '', message: { kind: 'probe', sequence: 0, news: others } })
      return
    }
    const members = Array.from({ length: count }, () => others[Math.floor(this.random() * others.length)] as protocol.MemberUpdate)
    this.give(node, { kind: 'introduced', members })
  }

  /** Adds a daemon while the others run. */
  add (index: number, members: readonly protocol.MemberUpdate[]): Node {
    const node = this.createNode(index)
    this.nodes.push(node)
    this.byIncarnation.set(node.news.incarnation, node)
    this.give(node, { kind: 'introduced', members })
    return node
  }

  give (node: Node, input: event.Event): void {
    if (node.state === 'paused' && input.kind !== 'tick') node.waiting.push(() => { this.give(node, input) })
    if (node.state !== 'running') return
    for (const output of node.core.handle(input, this.nowMs)) this.perform(node, output)
  }

  pause (node: Node): void {
    node.state = 'paused'
  }

  /** Lets a paused daemon go on; it first handles what came in meanwhile. */
  wake (node: Node, tellsResumed: boolean): void {
    node.state = 'running'
    if (tellsResumed) this.give(node, { kind: 'resumed' })
    for (const deliver of node.waiting.splice(0)) deliver()
  }

  private perform (node: Node, output: event.Output): void {
    if (output.kind === 'learned') node.learned.push({ atMs: this.nowMs, news: output.news })
    if (output.kind === 'count') node.counts.set(output.counter, (node.counts.get(output.counter) ?? 0) + output.value)
    if (output.kind === 'send') this.send(node, output.outbound)
  }

  private send (from: Node, { to, message }: protocol.Outbound): void {
    const receiver = this.byIncarnation.get(to)
    if (receiver === undefined) return
    if (this.isMeasuring) this.measure(from, receiver, message)
    if (this.random() < this.options.loss) return
    const isLocal = from.news.region === receiver.news.region
    const delayMs = isLocal ? 1 + this.random() * 9 : 30 + this.random() * 50
    const dueMs = this.nowMs + Math.ceil(delayMs / STEP_MS) * STEP_MS
    const queue = this.deliveries.get(dueMs) ?? []
    queue.push({ from, to: receiver, message: message as event.Received })
    this.deliveries.set(dueMs, queue)
  }

  private measure (from: Node, to: Node, message: protocol.PeerMessage): void {
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
      if (this.isCut(from, to, message)) continue
      this.give(to, { kind: 'message', from: from.news.incarnation, message })
    }
    const phase = (this.nowMs / STEP_MS) % (event.TICK_INTERVAL_MS / STEP_MS)
    for (const [index, node] of this.nodes.entries()) {
      if (index % (event.TICK_INTERVAL_MS / STEP_MS) === phase) this.give(node, { kind: 'tick' })
    }
  }

  run (durationMs: number): void {
    const endMs = this.nowMs + durationMs
    while (this.nowMs < endMs) this.step()
  }

  /** Runs until the condition holds, and gives the time that it took; undefined if it did not hold in time. */
  runUntil (isDone: () => boolean, limitMs: number): number | undefined {
    const startMs = this.nowMs
    while (this.nowMs - startMs <= limitMs) {
      if (isDone()) return this.nowMs - startMs
      this.run(event.TICK_INTERVAL_MS)
    }
    return undefined
  }

  running (): readonly Node[] {
    return this.nodes.filter((node) => node.state === 'running')
  }

  /** True if every running daemon holds exactly the running ones for live. */
  agrees (): boolean {
    const size = this.running().length
    return this.running().every((node) => {
      const members = node.core.members()
      return members.length === size && members.every((member) => this.byIncarnation.get(member.incarnation)?.state === 'running')
    })
  }

  total (counter: string): number {
    return this.nodes.reduce((sum, node) => sum + (node.counts.get(counter) ?? 0), 0)
  }
}
