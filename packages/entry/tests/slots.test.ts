/**
 * Tests an entry against correct authorities: every request is served and no slot leaks, even if connections
 * break and the daemons disagree about which one is the authority.
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as fc from 'fast-check'
import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as fixtures from './fixtures.js'
import type * as index from '../src/index.js'

const POOL = 'north'
const DOCUMENT = { ...fixtures.STOCK, targets: fixtures.STOCK.targets.filter((target) => target.pool === POOL) }
const DELIVERY_ROUNDS = 60

/** Grants each slot request at once and tracks the granted slots. */
class Authority {
  active = false
  hasHoldings = false
  round = 0
  readonly waiting = new Set<number>()
  readonly granted = new Set<number>()

  activate (): readonly index.event.ReceivedMessage[] {
    this.active = true
    this.hasHoldings = false
    this.waiting.clear()
    this.granted.clear()
    return [{ kind: 'collect', pool: POOL }]
  }

  receive (message: protocol.PeerMessage): readonly index.event.ReceivedMessage[] {
    switch (message.kind) {
      case 'round': this.round = message.round; break
      case 'ask':
        if (!this.active) return [{ kind: 'refusal', ask: message.ask, reason: 'no-authority', retryAfterMs: 0, figures: {} }]
        this.round = message.round
        if (this.granted.has(message.ask)) return [this.#grant(message.ask)]
        this.waiting.add(message.ask)
        break
      case 'withdraw': this.waiting.delete(message.ask); break
      case 'release': this.granted.delete(message.ask); break
      case 'holdings':
        this.hasHoldings = true
        this.granted.clear()
        for (const holding of message.holdings) this.granted.add(holding.ask)
        break
      default:
    }
    return this.active && this.hasHoldings ? this.#grantAll() : []
  }

  #grant (slotRequestId: number): protocol.Grant {
    this.waiting.delete(slotRequestId)
    this.granted.add(slotRequestId)
    return { kind: 'grant', ask: slotRequestId, target: 'stock-1', round: this.round, figures: {} }
  }

  #grantAll (): readonly index.event.ReceivedMessage[] {
    return [...this.waiting].map((slotRequestId) => this.#grant(slotRequestId))
  }
}

class Simulation {
  readonly driver = new fixtures.Driver()
  readonly finished = new Set<number>()
  sent = 0
  #assigned = 0
  readonly #authorities = [new Authority(), new Authority()]
  readonly #toAuthority: protocol.PeerMessage[][] = [[], []]
  readonly #toEntry: index.event.ReceivedMessage[][] = [[], []]
  readonly #running: number[] = []

  constructor () {
    this.driver.handle({ kind: 'heartbeat', heartbeat: 10 })
    this.driver.handle({ kind: 'documents', documents: [DOCUMENT] })
    this.assign(0)
    this.announceAuthority(false)
  }

  get grantedSlots (): readonly number[] {
    return [...this.#authorities[this.#assigned]?.granted ?? []]
  }

  send (): void {
    this.sent += 1
    this.#perform(this.driver.arrive({ request: this.sent, identity: `${fixtures.ENTRY}.10.r${this.sent}`, deadlineMs: 1_000_000 }))
  }

  /** Makes a daemon the authority in its own view; the entry is not informed. */
  assign (authority: number): void {
    this.#authorities.forEach((each) => { each.active = false })
    this.#assigned = authority
    this.#toEntry[authority]?.push(...this.#authorities[authority]?.activate() ?? [])
  }

  /** Informs the entry of the current authority. */
  announceAuthority (reconnected: boolean): void {
    const name = this.#name(this.#assigned)
    this.#perform(this.driver.handle({ kind: 'authorities', authorities: new Map([[POOL, name]]), reconnected: reconnected ? [name] : [] }))
  }

  /** Breaks the connection to an authority; the messages in transit are lost. */
  disconnect (authority: number): void {
    this.#toAuthority[authority]?.splice(0)
    this.#toEntry[authority]?.splice(0)
    const collecting = this.#authorities[authority]
    if (collecting?.active === true && !collecting.hasHoldings) this.#toEntry[authority]?.push({ kind: 'collect', pool: POOL })
    if (authority === this.#assigned) this.announceAuthority(true)
  }

  deliverToAuthority (authority: number): void {
    const message = this.#toAuthority[authority]?.shift()
    if (message !== undefined) this.#toEntry[authority]?.push(...this.#authorities[authority]?.receive(message) ?? [])
  }

  deliverToEntry (authority: number): void {
    const message = this.#toEntry[authority]?.shift()
    if (message !== undefined) this.#perform(this.driver.receive(message, this.#name(authority)))
  }

  end (): void {
    const request = this.#running.shift()
    if (request === undefined) return
    this.finished.add(request)
    this.#perform(this.driver.end('finished', request))
  }

  resume (): void {
    this.#perform(this.driver.handle({ kind: 'resumed' }))
  }

  wait (durationMs: number): void {
    this.#perform(this.driver.wait(durationMs))
  }

  /** Runs on without faults: connections hold, the entry knows the authority, and all messages arrive. */
  finish (): void {
    this.announceAuthority(false)
    for (let round = 0; round < DELIVERY_ROUNDS; round++) {
      for (const authority of [0, 1]) {
        while (this.#toAuthority[authority]?.length !== 0) this.deliverToAuthority(authority)
        while (this.#toEntry[authority]?.length !== 0) this.deliverToEntry(authority)
      }
      this.#compareSlots()
      this.end()
      this.wait(100)
    }
  }

  /** Checks, once no messages are in transit, that the authority counts the slots on which requests run. */
  #compareSlots (): void {
    const isAllDelivered = [...this.#toAuthority, ...this.#toEntry].every((queue) => queue.length === 0)
    if (isAllDelivered) assert.is(this.grantedSlots.length, this.#running.length, 'slots that the authority counts as granted')
  }

  #name (authority: number): protocol.Incarnation {
    return authority === 0 ? fixtures.AUTHORITY : fixtures.OTHER_AUTHORITY
  }

  #perform (outputs: readonly fixtures.Output[]): void {
    for (const output of outputs) {
      if (output.kind === 'send') this.#toAuthority[output.outbound.to === fixtures.AUTHORITY ? 0 : 1]?.push(output.outbound.message)
      if (output.kind === 'dispatch') this.#running.push(output.request)
    }
  }
}

interface Step {
  readonly name: string
  readonly perform: (simulation: Simulation) => void
}

const AUTHORITY_STEPS: ReadonlyArray<readonly [number, 'deliverToAuthority' | 'deliverToEntry' | 'disconnect' | 'assign']> = [
  [6, 'deliverToAuthority'], [6, 'deliverToEntry'], [1, 'disconnect'], [1, 'assign']
]

const ENTRY_STEPS: ReadonlyArray<readonly [number, 'send' | 'end' | 'resume']> = [[3, 'send'], [2, 'end'], [1, 'resume']]

const steps: fc.Arbitrary<Step> = fc.oneof(
  ...AUTHORITY_STEPS.map(([weight, name]) => ({
    weight, arbitrary: fc.nat({ max: 1 }).map((authority): Step => ({ name: `${name} ${authority}`, perform: (simulation) => simulation[name](authority) }))
  })),
  ...ENTRY_STEPS.map(([weight, name]) => ({ weight, arbitrary: fc.constant<Step>({ name, perform: (simulation) => simulation[name]() }) })),
  { weight: 1, arbitrary: fc.constant<Step>({ name: 'announceAuthority', perform: (simulation) => simulation.announceAuthority(false) }) },
  { weight: 2, arbitrary: fc.constantFrom(100, 500, 2_500).map((durationMs): Step => ({ name: `wait ${durationMs}`, perform: (simulation) => simulation.wait(durationMs) })) }
)

const test = uvu.suite('slots')

for (const seed of [20261203, 4, 1989]) {
  test(`every request is served and every slot is released, seed ${seed}`, () => {
    fc.assert(fc.property(fc.array(steps, { maxLength: 60, size: 'max' }), (chosen) => {
      const simulation = new Simulation()
      for (const step of chosen) step.perform(simulation)
      simulation.finish()
      assert.is(simulation.finished.size, simulation.sent)
      assert.equal(simulation.grantedSlots, [])
    }), { seed, numRuns: 3_000, includeErrorInReport: true })
  })
}

test.run()
