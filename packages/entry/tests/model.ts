/**
 * A model of two entries with callers, targets, and authorities that grant slots arbitrarily. A generator
 * provides its commands; its history consists of what callers and targets observe.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'
import type * as history from '@persimmonhatch/history'
import type * as protocol from '@persimmonhatch/protocol'
import * as index from '../src/index.js'
import * as fixtures from './fixtures.js'
import type * as modelCommand from './model-command.js'
import type * as modelState from './model-state.js'

const AUTHORITIES = [fixtures.AUTHORITY, fixtures.OTHER_AUTHORITY]

const TARGETS = fixtures.STOCK.targets.map((target) => target.name)

const DOCUMENTS: ReadonlyArray<readonly document.serviceDocument.ServiceDocument[]> = [
  [fixtures.STOCK],
  [{ ...fixtures.STOCK, targets: fixtures.STOCK.targets.slice(1) }],
  [{ ...fixtures.STOCK, tiers: fixtures.STOCK.tiers.map((tier) => ({ ...tier, rank: tier.rank + 1 })) }],
  []
]

const REQUESTS = [
  { owner: 0, path: '/reserve' },
  { owner: 1, path: '/reserve' },
  { owner: 0, path: '/tag' },
  { owner: 1, path: '/tag' },
  { owner: undefined, path: '/tag' }
]

const MAX_DEADLINE_MS = 200_000

function pickLatest<T> (items: readonly T[], choice: number): T | undefined {
  return items[items.length - 1 - choice % Math.max(1, items.length)]
}

function pick<T> (items: readonly T[], choice: number): T | undefined {
  return items[choice % Math.max(1, items.length)]
}

class Process {
  readonly entry: index.entry.Entry
  readonly leaving = new Set<string>()
  readonly queued: index.event.Event[] = []
  authorities: ReadonlyMap<string, protocol.Incarnation> = new Map()
  heartbeat = 10
  paused = false

  constructor (readonly incarnation: protocol.Incarnation, options: Pick<index.entry.Options, 'findMember' | 'random'>) {
    this.entry = index.entry.createEntry({ incarnation, requestLimit: 4, identityLimit: 6, ...options })
  }
}

/** The entries and their environment. */
export class Model {
  nowMs = 0
  readonly facts: history.history.Fact[] = []
  /** Errors that no caller or target can observe. */
  readonly errors: string[] = []
  readonly counts = new Map<string, number>()
  readonly #calls = new Map<number, modelState.Call>()
  readonly #joined = new Map<number, number[]>()
  readonly #responses = new Map<number, string>()
  readonly #identities = new Map<number, string>()
  readonly #slotRequests: modelState.ReceivedSlotRequest[] = []
  readonly #latestRound = new Map<string, number>()
  readonly #messages: modelState.Message[] = []
  #dispatches: readonly modelState.Dispatch[] = []
  #processes: readonly Process[] = []
  readonly #leaving = new Set<string>()
  /** Calls whose connection is closed; their callers observe nothing more. */
  readonly #closed = new Set<number>()
  #lastCall = 0
  #started = 0
  #runs = 0
  #isTargetReachable = true

  constructor () {
    this.#processes = [this.#start(), this.#start()]
  }

  history (): history.history.History {
    return { facts: this.facts, targets: new Map([['stock', TARGETS]]) }
  }

  perform (command: modelCommand.Command): void {
    switch (command.kind) {
      case 'send': return this.#send(command.request, command.toOtherEntry)
      case 'caller-gone': return this.#disconnectCaller(pick([...this.#calls.values()], command.call))
      case 'end': return this.#end(pick(this.#dispatches, command.dispatch), command.outcome)
      case 'leaving': return this.#announceLeaving(TARGETS[command.target] ?? '')
      case 'wait': return this.#wait(command.durationMs)
      case 'grant':
      case 'refusal':
      case 'revocation':
      case 'deliver':
      case 'lose': return this.#performMessage(command)
      default: return this.#performProcess(command, this.#process(command.entry))
    }
  }

  #performMessage (command: Extract<modelCommand.Command, { readonly kind: 'grant' | 'refusal' | 'revocation' | 'deliver' | 'lose' }>): void {
    switch (command.kind) {
      case 'grant': return this.#grant(command)
      case 'refusal': return this.#replyToSlotRequest(command.slotRequest, (id) => ({ kind: 'refusal', ask: id, reason: command.reason, retryAfterMs: 500, figures: {} }))
      case 'revocation': return this.#replyToSlotRequest(command.slotRequest, (id) => ({ kind: 'revocation', ask: id, cause: command.cause }))
      case 'deliver': return this.#deliver(command)
      case 'lose': this.#messages.splice(command.message, 1)
    }
  }

  #performProcess (command: Extract<modelCommand.Command, { readonly entry: number }>, process: Process): void {
    switch (command.kind) {
      case 'authority': return this.#assign(process, AUTHORITIES[command.authority], command.reconnected)
      case 'collect': return this.#handle(process, { kind: 'message', from: AUTHORITIES[command.authority] ?? '', message: { kind: 'collect', pool: 'north' } })
      case 'pause': process.paused = true; return
      case 'resume': return this.#resume(process, command.isNotified)
      case 'crash': return this.#crash(process)
      case 'drain': return this.#handle(process, { kind: 'drain' })
      case 'documents': return this.#handle(process, { kind: 'documents', documents: DOCUMENTS[command.variant] ?? [] })
      case 'heartbeat': return this.#advanceHeartbeat(process, command.by)
    }
  }

  /** Ends all requests: running ones finish, waiting ones reach their deadlines. */
  finish (): void {
    for (const process of this.#processes) this.#resume(process, true)
    for (let round = 0; round < 2; round++) {
      for (const dispatch of this.#dispatches) this.#end(dispatch, 'finished')
      this.#wait(MAX_DEADLINE_MS)
    }
    for (const { entry } of this.#processes) {
      const { waiting, running } = entry.status()
      if (waiting + running > 0) this.errors.push(`${waiting} requests still wait and ${running} run`)
    }
  }

  #start (): Process {
    this.#started += 1
    const process = new Process(`entry${String(this.#started).padStart(8, '0')}`, {
      random: fixtures.createRandom(),
      findMember: (incarnation) => this.#findMember(incarnation)
    })
    this.#processes = [...this.#processes, process]
    this.#handle(process, { kind: 'heartbeat', heartbeat: process.heartbeat })
    this.#handle(process, { kind: 'documents', documents: DOCUMENTS[0] ?? [] })
    this.#assign(process, fixtures.AUTHORITY, false)
    for (const target of this.#leaving) this.#notifyLeaving(process, target)
    return process
  }

  #process (choice: number): Process {
    const process = this.#processes[choice]
    if (process === undefined) throw new Error(`no entry ${choice}`)
    return process
  }

  #findMember (incarnation: protocol.Incarnation): protocol.MemberUpdate | undefined {
    if (this.#processes.every((process) => process.incarnation !== incarnation)) return undefined
    const address = `10.0.0.1:${incarnation.length}`
    return { kind: 'member', incarnation, address, peerAddress: address, availabilityZone: 'a', region: 'r', beat: 0, state: 'alive', load: 0 }
  }

  /** Passes an event to a process. A paused process receives it when it resumes. */
  #handle (process: Process, input: index.event.Event): void {
    if (process.paused) {
      process.queued.push(input)
      return
    }
    if (input.kind === 'authorities') process.authorities = input.authorities
    if (input.kind === 'target') process.leaving.add(input.update.target)
    const outputs = [...process.entry.handle(input, this.nowMs)]
    if (input.kind === 'message' && input.message.kind === 'grant') this.#checkGrant(process, input.from, input.message, outputs)
    for (const output of outputs) this.#handleOutput(process, output)
  }

  /** Checks that a grant leads to a dispatch, is released to its sender, or duplicates the grant in use. */
  #checkGrant (process: Process, from: protocol.Incarnation, grant: protocol.Grant, outputs: readonly index.event.Output[]): void {
    const isUsed = outputs.some((output) => output.kind === 'dispatch')
    if (isUsed && process.authorities.get('north') !== from) this.errors.push(`used a grant of ${from}, which is not the authority`)
    const isReleased = fixtures.releases(outputs).includes(`${grant.ask} unused ${from}`)
    const isDuplicate = outputs.some((output) => output.kind === 'count' && output.counter === 'entry.grants-repeated')
    if ([isUsed, isReleased, isDuplicate].filter(Boolean).length !== 1) this.errors.push(`grant of slot request ${grant.ask} was not exactly one of: used, released, duplicate`)
  }

  #handleOutput (process: Process, output: index.event.Output): void {
    this.counts.set(output.kind, (this.counts.get(output.kind) ?? 0) + 1)
    switch (output.kind) {
      case 'send': return this.#recordSent(process, output.outbound)
      case 'dispatch': return this.#dispatch(process, output.request, output.placement.target)
      case 'cancel':
        this.#dispatches = this.#dispatches.map((each) => each.entry === process.incarnation && each.request === output.request ? { ...each, cancelled: true } : each)
        return
      case 'refuse': return this.#refuse(output.request, output.receipt)
      case 'join': return this.#join(output.request, output.original)
      case 'redirect': return this.#endCall({ kind: 'redirected', atMs: this.nowMs, call: output.request })
      case 'forget': this.#responses.delete(output.request); return
      case 'drained': return this.#checkDrained(process)
      default:
    }
  }

  #checkDrained (process: Process): void {
    const { waiting, running } = process.entry.status()
    if (waiting + running > 0) this.errors.push('reported drained while requests wait or run')
  }

  #recordSent (process: Process, outbound: protocol.Outbound): void {
    const { to, message } = outbound
    if (message.kind === 'ask') this.#slotRequests.push({ entry: process.incarnation, authority: to, slotRequest: message })
    if (message.kind === 'ask' || message.kind === 'round') this.#latestRound.set(`${process.incarnation} ${to}`, message.round)
  }

  /** Sends a request to the owner of its identity or, if `toOtherEntry`, to the other entry. */
  #send (choice: number, toOtherEntry: boolean): void {
    const request = REQUESTS[choice % REQUESTS.length]
    if (request === undefined) return
    const process = this.#process(((request.owner ?? 0) + Number(toOtherEntry)) % 2)
    const call = this.#nextCall()
    const identity = request.owner === undefined ? undefined : this.#identity(choice, this.#process(request.owner))
    const name = identity ?? `unnamed ${call}`
    const nonIdempotent = request.path === '/reserve'
    this.#calls.set(call, { call, request: name, daemon: process.incarnation })
    this.facts.push({
      kind: 'sent', atMs: this.nowMs, call, request: name, service: 'stock', rank: nonIdempotent ? 0 : 3, nonIdempotent, daemon: process.incarnation, deadlineMs: undefined
    })
    const arrival = { ...fixtures.ARRIVAL, request: call, identity, path: request.path, fingerprint: `f${choice % REQUESTS.length}` }
    this.#handle(process, { kind: 'arrival', arrival })
  }

  #nextCall (): number {
    this.#lastCall += 1
    return this.#lastCall
  }

  /** Returns the identity of a request; each choice stands for one request. */
  #identity (choice: number, owner: Process): string {
    const identity = this.#identities.get(choice) ?? `${owner.incarnation}.${owner.heartbeat}.r${choice}`
    this.#identities.set(choice, identity)
    return identity
  }

  #disconnectCaller (call: modelState.Call | undefined): void {
    if (call === undefined) return
    this.#endCall({ kind: 'disconnected', atMs: this.nowMs, call: call.call, by: 'caller' })
    this.#closed.add(call.call)
    const process = this.#processes.find((each) => each.incarnation === call.daemon)
    if (process !== undefined) this.#handle(process, { kind: 'caller-gone', request: call.call })
  }

  #grant (command: Extract<modelCommand.Command, { readonly kind: 'grant' }>): void {
    const received = pickLatest(this.#slotRequests, command.slotRequest)
    if (received === undefined) return
    const from = command.fromOtherAuthority ? AUTHORITIES.find((each) => each !== received.authority) ?? '' : received.authority
    const latest = this.#latestRound.get(`${received.entry} ${from}`)
    const round = command.inLatestRound && latest !== undefined ? latest : received.slotRequest.round
    const eligible = fixtures.STOCK.targets.filter((target) => command.fromOtherAuthority || target.pool === received.slotRequest.pool)
    const target = pick(eligible, command.target)?.name ?? ''
    this.#messages.push({ to: received.entry, from, message: { kind: 'grant', ask: received.slotRequest.ask, target, round, figures: {} } })
    if (command.isImmediate) this.#deliver({ kind: 'deliver', message: 0, willRepeat: false, reachable: true })
  }

  #replyToSlotRequest (choice: number, message: (id: number) => index.event.ReceivedMessage): void {
    const received = pickLatest(this.#slotRequests, choice)
    if (received !== undefined) this.#messages.push({ to: received.entry, from: received.authority, message: message(received.slotRequest.ask) })
  }

  #deliver (command: Extract<modelCommand.Command, { readonly kind: 'deliver' }>): void {
    const chosen = pickLatest(this.#messages, command.message)
    if (chosen === undefined) return
    if (!command.willRepeat) this.#messages.splice(this.#messages.indexOf(chosen), 1)
    const process = this.#processes.find((each) => each.incarnation === chosen.to)
    this.#isTargetReachable = command.reachable
    if (process !== undefined) this.#handle(process, { kind: 'message', from: chosen.from, message: chosen.message })
    this.#isTargetReachable = true
  }

  #dispatch (process: Process, request: number, target: string): void {
    const call = this.facts.find((fact) => fact.kind === 'sent' && fact.call === request)
    if (call?.kind !== 'sent') throw new Error(`nobody sent ${request}`)
    this.#runs += 1
    this.#dispatches = [...this.#dispatches, { entry: process.incarnation, request, run: this.#runs, reached: this.#isTargetReachable, cancelled: false }]
    if (process.leaving.has(target)) this.errors.push(`dispatched to ${target}, which the entry knows to be leaving`)
    if (!this.#isTargetReachable) return
    const { service, rank, nonIdempotent } = call
    this.facts.push({ kind: 'run-started', atMs: this.nowMs, run: this.#runs, target, request: call.request, service, rank, nonIdempotent })
  }

  #end (dispatch: modelState.Dispatch | undefined, chosenOutcome: index.event.DispatchEnd['outcome']): void {
    const process = this.#processes.find((each) => each.incarnation === dispatch?.entry)
    if (dispatch === undefined || process === undefined) return
    this.#dispatches = this.#dispatches.filter((each) => each !== dispatch)
    const outcome = this.#possibleOutcome(dispatch, chosenOutcome)
    const answer = `answer to ${dispatch.run}`
    if (dispatch.reached) {
      const seen = outcome === 'finished' || outcome === 'cancelled' ? outcome : 'broken'
      this.facts.push({ kind: 'run-ended', atMs: this.nowMs, run: dispatch.run, outcome: seen, answer })
    }
    if (outcome === 'finished') this.#finishRequest(dispatch.request, answer)
    this.#handle(process, { kind: 'ended', request: dispatch.request, end: { ...fixtures.END, outcome } })
  }

  #possibleOutcome (dispatch: modelState.Dispatch, chosenOutcome: index.event.DispatchEnd['outcome']): index.event.DispatchEnd['outcome'] {
    if (!dispatch.reached) return 'unreachable'
    if (dispatch.cancelled && chosenOutcome !== 'finished') return 'cancelled'
    return chosenOutcome === 'unreachable' || chosenOutcome === 'cancelled' ? 'finished' : chosenOutcome
  }

  #finishRequest (request: number, answer: string): void {
    this.#responses.set(request, answer)
    for (const call of [request, ...this.#joined.get(request) ?? []]) this.#respond(call, answer)
  }

  #respond (call: number, answer: string): void {
    if (!this.#closed.has(call)) this.facts.push({ kind: 'received', atMs: this.nowMs, call, text: answer })
    this.#endCall({ kind: 'answered', atMs: this.nowMs, call })
  }

  #endCall (outcome: history.calls.CallOutcome): void {
    this.#calls.delete(outcome.call)
    if (!this.#closed.has(outcome.call)) this.facts.push(outcome)
  }

  #join (call: number, original: number): void {
    const answer = this.#responses.get(original)
    if (answer !== undefined) this.#respond(call, answer)
    else this.#joined.set(original, [...this.#joined.get(original) ?? [], call])
  }

  #refuse (call: number, receipt: index.event.Receipt): void {
    this.#endCall({ kind: 'refused', atMs: this.nowMs, call, reason: receipt.reason, execution: receipt.execution })
  }

  #assign (process: Process, authority: protocol.Incarnation | undefined, reconnected: boolean): void {
    const authorities = new Map(authority === undefined ? [] : [['north', authority], ['south', authority]])
    this.#handle(process, { kind: 'authorities', authorities, reconnected: reconnected && authority !== undefined ? [authority] : [] })
  }

  #resume (process: Process, isNotified: boolean): void {
    if (!process.paused) return
    process.paused = false
    for (const input of process.queued.splice(0)) this.#handle(process, input)
    if (isNotified) this.#handle(process, { kind: 'resumed' })
  }

  /** Crashes a process with its connections, and starts a replacement. */
  #crash (crashed: Process): void {
    this.facts.push({ kind: 'process-ended', atMs: this.nowMs, daemon: crashed.incarnation, code: undefined })
    for (const call of this.#calls.values()) {
      if (call.daemon !== crashed.incarnation) continue
      this.#endCall({ kind: 'disconnected', atMs: this.nowMs, call: call.call, by: 'daemon' })
      this.#closed.add(call.call)
    }
    for (const dispatch of this.#dispatches) {
      if (dispatch.entry === crashed.incarnation && dispatch.reached) this.facts.push({ kind: 'run-ended', atMs: this.nowMs, run: dispatch.run, outcome: 'cancelled', answer: '' })
    }
    this.#dispatches = this.#dispatches.filter((each) => each.entry !== crashed.incarnation)
    const survivors = this.#processes.map((each) => each === crashed ? undefined : each)
    const replacement = this.#start()
    this.#processes = survivors.map((each) => each ?? replacement)
  }

  #announceLeaving (target: string): void {
    this.facts.push({ kind: 'target-leaving', atMs: this.nowMs, target })
    this.#leaving.add(target)
    for (const process of this.#processes) this.#notifyLeaving(process, target)
  }

  #notifyLeaving (process: Process, target: string): void {
    this.#handle(process, { kind: 'target', update: { kind: 'target', target, version: 1, state: 'leaving' } })
  }

  #advanceHeartbeat (process: Process, by: number): void {
    process.heartbeat += by
    this.#handle(process, { kind: 'heartbeat', heartbeat: process.heartbeat })
  }

  #wait (durationMs: number): void {
    this.nowMs += durationMs
    for (const process of this.#processes) this.#handle(process, { kind: 'tick' })
  }
}
