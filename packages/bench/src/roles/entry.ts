/**
 * Measures the cost of the entry and the network bytes of its messages.
 *
 * @module
 */
import * as entry from '@persimmonhatch/entry'
import type * as protocol from '@persimmonhatch/protocol'
import * as resources from '../resources.js'
import type * as series from '../series.js'
import * as wire from '../wire.js'
import * as workload from '../workload.js'

const ROLE = 'entry'
const AUTHORITY = workload.incarnationOf(999)
const REQUESTS = 3_000
const WARM_UP_REQUESTS = 3_000
const TICKS = 300
const STEP_MS = 0.0517
const GRANT_FIGURES = { service: workload.SERVICE, target: 'replica-007', waitedMs: 0, expectedMs: 15_217, queueTokens: 0, tokensInFlight: 4_800, cachedTokens: 256, slowdown: 1.02 }

/** Total network bytes of messages, by kind. */
type BytesByKind = Map<protocol.PeerMessage['kind'], number>

/** Drives one entry. */
class EntryDriver {
  readonly core: entry.entry.Entry
  readonly bytes: BytesByKind = new Map()
  nowMs = 10_000.737
  private readonly heartbeat = 1
  private lastRequest = 0

  constructor (private readonly prefixes: number, private readonly countsBytes = false) {
    this.core = entry.entry.createEntry({ incarnation: workload.incarnationOf(0), random: workload.seededRandom(3), findMember: () => undefined, requestLimit: 100_000 })
    this.handle({ kind: 'heartbeat', heartbeat: this.heartbeat })
    this.handle({ kind: 'documents', documents: [workload.createDocument({ targets: 10, organisations: 300 })] })
    this.handle({ kind: 'authorities', authorities: new Map([[workload.POOL, AUTHORITY]]), reconnected: [] })
  }

  private countBytes (message: protocol.PeerMessage): void {
    if (this.countsBytes) this.bytes.set(message.kind, (this.bytes.get(message.kind) ?? 0) + wire.messageBytes(message))
  }

  handle (input: entry.event.Event): protocol.SlotRequest | undefined {
    let slotRequest: protocol.SlotRequest | undefined
    for (const output of this.core.handle(input, this.nowMs)) {
      if (output.kind !== 'send') continue
      if (output.outbound.message.kind === 'ask') slotRequest = output.outbound.message
      this.countBytes(output.outbound.message)
    }
    return slotRequest
  }

  arrive (): protocol.SlotRequest | undefined {
    this.nowMs += STEP_MS
    this.lastRequest += 1
    return this.handle({ kind: 'arrival', arrival: workload.createArrival(this.lastRequest, this.prefixes, this.heartbeat) })
  }

  /** Runs one request from its arrival to its end. */
  serve (): void {
    const slotRequest = this.arrive()
    if (slotRequest === undefined) throw new Error('the entry sent no slot request')
    this.nowMs += STEP_MS
    const grant: protocol.Grant = { kind: 'grant', ask: slotRequest.ask, target: 'replica-007', round: slotRequest.round, figures: GRANT_FIGURES }
    this.countBytes(grant)
    this.handle({ kind: 'message', from: AUTHORITY, message: grant })
    this.handle({ kind: 'ended', request: this.lastRequest, end: workload.FINISHED_DISPATCH })
    this.handle({ kind: 'caller-gone', request: this.lastRequest })
  }

  tick (): void {
    this.nowMs += 100
    this.handle({ kind: 'tick' })
  }
}

function createDriver (waiting: number): EntryDriver {
  const driver = new EntryDriver(4)
  for (let index = 0; index < waiting; index++) driver.arrive()
  return driver
}

function cpuPerRequest (waiting: number): number {
  const driver = createDriver(waiting)
  for (let index = 0; index < WARM_UP_REQUESTS; index++) driver.serve()
  return resources.cpuMicrosPer(REQUESTS, () => { for (let index = 0; index < REQUESTS; index++) driver.serve() })
}

function cpuPerTick (waiting: number): number {
  const driver = createDriver(waiting)
  return resources.cpuMicrosPer(TICKS, () => { for (let index = 0; index < TICKS; index++) driver.tick() })
}

function heapOfIdentities (identities: number): number {
  return resources.heapBytesOf(() => {
    const driver = new EntryDriver(4)
    for (let index = 0; index < identities; index++) driver.serve()
    return driver
  })
}

function bytesPer (kind: protocol.PeerMessage['kind'], prefixes: number): number {
  const driver = new EntryDriver(prefixes, true)
  const requests = 1_000
  for (let index = 0; index < requests; index++) driver.serve()
  return (driver.bytes.get(kind) ?? 0) / requests
}

function bytesPlan (kind: protocol.PeerMessage['kind']): series.Plan {
  return { role: 'messages', quantity: `network bytes of one ${kind}`, unit: 'bytes', sizeOf: 'prefix hashes', sizes: [0, 2, 4, 6, 8], sample: (prefixes) => bytesPer(kind, prefixes) }
}

/** Measurements of the entry. */
export const PLANS: readonly series.Plan[] = [
  { role: ROLE, quantity: 'CPU per request, core only', unit: 'us', sizeOf: 'waiting asks', sizes: [0, 100, 400, 1_600], sample: cpuPerRequest },
  { role: ROLE, quantity: 'CPU per tick', unit: 'us', sizeOf: 'waiting asks', sizes: [0, 100, 400, 1_600], sample: cpuPerTick },
  { role: ROLE, quantity: 'heap of waiting requests, core only', unit: 'bytes', sizeOf: 'waiting asks', sizes: [1_000, 2_000, 4_000, 8_000], sample: (waiting) => resources.heapBytesOf(() => createDriver(waiting)) },
  { role: ROLE, quantity: 'heap of remembered identities, core only', unit: 'bytes', sizeOf: 'identities', sizes: [5_000, 10_000, 20_000, 40_000], sample: heapOfIdentities },
  bytesPlan('ask'),
  bytesPlan('grant'),
  bytesPlan('release'),
  { role: 'messages', quantity: 'network bytes of one round', unit: 'bytes', sizeOf: 'digits', sizes: [1, 2, 4, 6], sample: (digits) => wire.messageBytes({ kind: 'round', round: 10 ** (digits - 1) }) }
]
