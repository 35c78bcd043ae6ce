import * as assert from 'uvu/assert'
import * as fc from 'fast-check'
import * as uvu from 'uvu'
import type * as protocol from '@persimmonhatch/protocol'
import * as fixture from './fixture.js'

const order = uvu.suite('order of grants')

const SEED = 7_411
const RUNS = 1_500
const ROUND_VALIDITY_MS = 1_000
const TARGETS: Readonly<Record<string, readonly string[]>> = { listings: ['t1', 't2'], prices: ['t2'] }
/** Tokens that each organisation keeps waiting or running, several times the limit of a target. */
const BACKLOG_TOKENS = 150_000

interface Placed {
  readonly request: protocol.SlotRequest
  readonly entry: string
  readonly target: string
}

const step = fc.oneof(
  { weight: 10, arbitrary: fc.record({ kind: fc.constant('ask' as const), entry: fc.constantFrom('e1', 'e2'), service: fc.constantFrom('listings', 'listings', 'prices'), tier: fc.nat(2), organisation: fc.constantFrom('north', 'south', 'west'), promptTokens: fc.integer({ min: 10, max: 20_000 }), content: fc.nat(400) }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('release' as const), index: fc.nat(1_000), outcome: fc.constantFrom('finished' as const, 'finished' as const, 'finished' as const, 'unused' as const, 'failed' as const, 'crashed' as const, 'unreachable' as const), firstTokenMs: fc.integer({ min: 1, max: 5_000 }) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('pass' as const), ms: fc.constantFrom(50, 300, 1_200), isFresh: fc.boolean() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('target' as const), target: fc.constantFrom('t1', 't2'), state: fc.constantFrom('leaving' as const, 'serving' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('load' as const), target: fc.constantFrom('t1', 't2'), ageMs: fc.nat(5_000), tokensInProgress: fc.nat(40_000) }) }
)

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never

/** Drives one authority and checks each grant as it is sent. */
class Observer {
  readonly driver = new fixture.Driver(Object.entries(TARGETS).map(([service, targets]) => fixture.documentOf(service, { targets, maxWaitMs: 3_600_000 }))).replyToCollects()
  readonly waiting = new Map<number, { readonly request: protocol.SlotRequest, readonly entry: string }>()
  readonly running: Placed[] = []
  private readonly leaving = new Set<string>()
  private readonly suspectFingerprints = new Set<string>()
  private readonly roundAtMs = new Map<string, number>()
  private nextNumber = 1
  private version = 1
  private updatesSeen = 0

  perform (item: Step): void {
    switch (item.kind) {
      case 'ask': return this.submit(item.entry, { service: item.service, tier: item.tier, organisation: item.organisation, promptTokens: item.promptTokens, fingerprint: `c${item.content}` })
      case 'release': return this.release(item.index, item.outcome, item.firstTokenMs)
      case 'pass': return this.advance(item.ms, item.isFresh)
      case 'target':
        if (item.state === 'leaving') this.leaving.add(item.target)
        else this.leaving.delete(item.target)
        return this.check(this.driver.handle({ kind: 'target', update: { kind: 'target', target: item.target, version: this.version++, state: item.state } }))
      case 'load': return this.check(this.driver.handle({ kind: 'load', report: { target: item.target, ageMs: item.ageMs, runningRequests: 0, queuedRequests: 0, tokensInProgress: item.tokensInProgress } }))
    }
  }

  private submit (entry: string, fields: Partial<protocol.SlotRequest>): void {
    const request = fixture.slotRequestOf(this.nextNumber++, { ...fields, deadlineMs: 3_600_000, round: this.driver.nowMs })
    this.roundAtMs.set(entry, this.driver.nowMs)
    this.waiting.set(request.ask, { request, entry })
    this.check(this.driver.deliver(entry, request))
  }

  private release (index: number, outcome: protocol.SlotOutcome, firstTokenMs: number): void {
    const [placed] = this.running.splice(index % Math.max(1, this.running.length), 1)
    if (placed === undefined) return
    const { ask: number, promptTokens } = placed.request
    this.check(this.driver.deliver(placed.entry, fixture.releaseOf(number, { outcome, promptTokens, firstTokenMs, totalMs: firstTokenMs + 500 })))
  }

  advance (ms: number, isFresh: boolean): void {
    this.driver.nowMs += ms
    for (const entry of isFresh ? ['e1', 'e2'] : ['e1']) {
      this.roundAtMs.set(entry, this.driver.nowMs)
      this.check(this.driver.deliver(entry, { kind: 'round', round: this.driver.nowMs }))
    }
    this.check(this.driver.handle({ kind: 'tick' }))
  }

  private readUpdates (): void {
    for (; this.updatesSeen < this.driver.updates.length; this.updatesSeen++) {
      const update = this.driver.updates[this.updatesSeen]
      if (update?.kind !== 'suspect') continue
      if (update.state === 'suspect') this.suspectFingerprints.add(update.fingerprint)
      else this.suspectFingerprints.delete(update.fingerprint)
    }
  }

  private check (sent: readonly protocol.Outbound[]): void {
    this.readUpdates()
    for (const { to, message } of sent) {
      if (message.kind === 'refusal') this.waiting.delete(message.ask)
      if (message.kind !== 'grant') continue
      const granted = this.waiting.get(message.ask)
      assert.ok(granted !== undefined && granted.entry === to, `grant of ${message.ask}, which is not waiting`)
      assert.ok(this.isFresh(to), `grant to ${to} on a stale round`)
      this.checkOrder(granted.request, message)
      this.waiting.delete(message.ask)
      this.running.push({ ...granted, target: message.target })
      this.checkCoRunning(granted.request, message.target)
    }
    for (const target of this.driver.core.status().targets) this.checkCount(target.target, target.requestsInFlight, target.tokensInFlight)
  }

  private isFresh (entry: string): boolean {
    return this.driver.nowMs - (this.roundAtMs.get(entry) ?? -Infinity) <= ROUND_VALIDITY_MS
  }

  private isGrantable (other: { readonly request: protocol.SlotRequest, readonly entry: string }): boolean {
    return this.isFresh(other.entry) && !this.suspectFingerprints.has(other.request.fingerprint)
  }

  private checkOrder (request: protocol.SlotRequest, grant: protocol.Grant): void {
    assert.not.ok(this.leaving.has(grant.target), `grant on leaving ${grant.target}`)
    for (const other of this.waiting.values()) {
      if (!this.isGrantable(other) || TARGETS[other.request.service]?.includes(grant.target) !== true) continue
      assert.ok(other.request.tier >= request.tier, `tier ${request.tier} granted while ${other.request.ask} of tier ${other.request.tier} waited`)
      const isEarlier = other.request.tier === request.tier && other.request.service === request.service && other.request.organisation === request.organisation && other.request.ask < request.ask
      assert.not.ok(isEarlier && !this.suspectFingerprints.has(request.fingerprint), `${request.ask} granted before ${other.request.ask}`)
    }
  }

  private checkCoRunning (request: protocol.SlotRequest, target: string): void {
    const coRunning = this.running.filter((placed) => placed.target === target && placed.request !== request)
    const isSuspected = this.suspectFingerprints.has(request.fingerprint) || coRunning.some((placed) => this.suspectFingerprints.has(placed.request.fingerprint))
    assert.not.ok(isSuspected && coRunning.length > 0, `${request.ask} runs with a suspect on ${target}`)
    const status = this.driver.core.status().targets.find((other) => other.target === target)
    assert.ok(status !== undefined && (status.requestsInFlight <= 1 || status.tokensInFlight <= status.limitTokens + 1), `over the limit on ${target}`)
  }

  private checkCount (target: string, requests: number, tokens: number): void {
    assert.is(requests, this.running.filter((placed) => placed.target === target).length, `count on ${target}`)
    assert.is(requests === 0, tokens === 0)
  }
}

order('respects tiers, arrival order, limits and isolation of suspects, and ends every request', () => {
  fc.assert(fc.property(fc.array(step, { minLength: 10, maxLength: 150 }), (steps) => {
    const observer = new Observer()
    for (const item of steps) observer.perform(item)
    for (const target of ['t1', 't2'] as const) observer.perform({ kind: 'target', target, state: 'serving' })
    for (let turns = 0; turns < 2_000 && (observer.waiting.size > 0 || observer.running.length > 0); turns++) {
      observer.perform({ kind: 'release', index: turns, outcome: 'finished', firstTokenMs: 50 })
      observer.advance(300, true)
    }
    assert.is(observer.waiting.size, 0, `${observer.waiting.size} requests starve`)
  }), { seed: SEED, numRuns: RUNS, endOnFailure: true, includeErrorInReport: true })
})

/** Returns the tokens granted to each organisation while all of them always have requests waiting. */
function measureShares (costs: Readonly<Record<string, number>>, turns: number): ReadonlyMap<string, number> {
  const driver = new fixture.Driver([fixture.documentOf('listings', { targets: ['t1'], maxWaitMs: 3_600_000 })]).replyToCollects()
  const organisationByNumber = new Map<number, string>()
  const granted = new Map<string, number>()
  let nextNumber = 1
  const submit = (organisation: string): void => {
    organisationByNumber.set(nextNumber, organisation)
    driver.deliver('e1', fixture.slotRequestOf(nextNumber++, { organisation, promptTokens: costs[organisation] ?? 0, answerTokens: 0, deadlineMs: 3_600_000, round: driver.nowMs }))
  }
  for (const [organisation, cost] of Object.entries(costs)) for (let queued = 0; queued < BACKLOG_TOKENS; queued += cost) submit(organisation)
  const before = fixture.messagesOf(driver.sent, 'grant').length
  for (let turn = 0; turn < turns; turn++) {
    const running = fixture.messagesOf(driver.sent, 'grant')[turn]
    if (running === undefined) break
    const organisation = organisationByNumber.get(running.ask) ?? ''
    const promptTokens = costs[organisation] ?? 0
    driver.deliver('e1', fixture.releaseOf(running.ask, { promptTokens, answerTokens: 0, firstTokenMs: 5_000 }))
    submit(organisation)
  }
  for (const grant of fixture.messagesOf(driver.sent, 'grant').slice(before)) {
    const organisation = organisationByNumber.get(grant.ask) ?? ''
    granted.set(organisation, (granted.get(organisation) ?? 0) + (costs[organisation] ?? 0))
  }
  return granted
}

order('shares a tier by cost in tokens, in proportion to the shares of the document', () => {
  const costs = { north: 4_000, south: 100, west: 1_000 }
  const granted = measureShares(costs, 6_000)
  const [north = 0, south = 0, west = 0] = ['north', 'south', 'west'].map((name) => granted.get(name) ?? 0)
  const bound = 2 * (costs.north + costs.west)
  assert.ok(Math.abs(north - west) <= bound, `north ${north}, west ${west}`)
  assert.ok(Math.abs(south / 2 - west) <= bound, `south ${south}, west ${west}`)
  assert.ok(west > 10 * bound, `west ${west} is too little to tell`)
})

order.run()
