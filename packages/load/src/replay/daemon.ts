/**
 * Simulated daemon of a replay: an entry, and an authority for each pool.
 *
 * @module
 */
import * as authority from '@persimmonhatch/authority'
import * as entry from '@persimmonhatch/entry'
import type * as protocol from '@persimmonhatch/protocol'

/** Handlers for the outputs of the cores. */
export interface OutputHandlers {
  readonly send: (outbound: protocol.Outbound) => void
  readonly disseminate: (update: protocol.Update) => void
  readonly count: (counter: string, value: number) => void
  readonly dispatch: (request: number, target: string) => void
  readonly cancel: (request: number) => void
  readonly refuse: (request: number, receipt: entry.event.Receipt) => void
}

/** A daemon without sockets. */
export interface Daemon {
  readonly incarnation: protocol.Incarnation
  readonly toEntry: (event: entry.event.Event, nowMs: number) => void
  readonly toAuthority: (pool: string, event: authority.event.Event, nowMs: number) => void
  readonly toAuthorities: (event: authority.event.Event, nowMs: number) => void
  /** Handles a message from a peer. */
  readonly receive: (from: protocol.Incarnation, message: protocol.PeerMessage, nowMs: number) => void
  readonly status: (pool: string) => authority.authority.Status | undefined
}

/** Options of a simulated daemon. */
export interface Options {
  readonly incarnation: protocol.Incarnation
  readonly pools: readonly string[]
  readonly random: protocol.Random
  readonly outputHandlers: OutputHandlers
}

const MAX_REQUESTS = 100_000

function performEntryOutput (outputHandlers: OutputHandlers, output: entry.event.Output): void {
  switch (output.kind) {
    case 'send': return outputHandlers.send(output.outbound)
    case 'dispatch': return outputHandlers.dispatch(output.request, output.placement.target)
    case 'cancel': return outputHandlers.cancel(output.request)
    case 'refuse': return outputHandlers.refuse(output.request, output.receipt)
    case 'count': return outputHandlers.count(output.counter, output.value)
    case 'join':
    case 'redirect':
    case 'settled':
    case 'forget':
    case 'drained':
  }
}

function performAuthorityOutput (outputHandlers: OutputHandlers, output: authority.event.Output): void {
  switch (output.kind) {
    case 'send': return outputHandlers.send(output.outbound)
    case 'update': return outputHandlers.disseminate(output.update)
    case 'count': return outputHandlers.count(output.counter, output.value)
  }
}

/**
 * Creates a simulated daemon.
 *
 * @example
 * ```ts
 * const daemon = createDaemon({ incarnation: 'entry00000001', pools: ['engines'], random, ports })
 * daemon.toEntry({ kind: 'heartbeat', heartbeat: 1 }, 0)
 * ```
 */
export function createDaemon ({ incarnation, pools, random, outputHandlers }: Options): Daemon {
  const entryCore = entry.entry.createEntry({ incarnation, random, findMember: () => undefined, requestLimit: MAX_REQUESTS })
  const authorities = new Map(pools.map((pool) => [pool, authority.authority.createAuthority({ pool, incarnation, random })]))
  const poolBySlotRequest = new Map<string, string>()

  function toEntry (event: entry.event.Event, nowMs: number): void {
    for (const output of [...entryCore.handle(event, nowMs)]) performEntryOutput(outputHandlers, output)
  }

  function toAuthority (pool: string, event: authority.event.Event, nowMs: number): void {
    const authorityCore = authorities.get(pool)
    if (authorityCore === undefined) return
    for (const output of [...authorityCore.handle(event, nowMs)]) performAuthorityOutput(outputHandlers, output)
  }

  function toAuthorities (event: authority.event.Event, nowMs: number): void {
    for (const pool of pools) toAuthority(pool, event, nowMs)
  }

  function receiveForSlotRequest (from: protocol.Incarnation, message: protocol.Withdraw | protocol.Release, nowMs: number): void {
    const key = `${from}/${message.ask}`
    const pool = poolBySlotRequest.get(key)
    poolBySlotRequest.delete(key)
    if (pool !== undefined) toAuthority(pool, { kind: 'message', from, message }, nowMs)
  }

  function receive (from: protocol.Incarnation, message: protocol.PeerMessage, nowMs: number): void {
    switch (message.kind) {
      case 'grant':
      case 'refusal':
      case 'revocation':
      case 'collect':
        return toEntry({ kind: 'message', from, message }, nowMs)
      case 'ask':
        poolBySlotRequest.set(`${from}/${message.ask}`, message.pool)
        return toAuthority(message.pool, { kind: 'message', from, message }, nowMs)
      case 'withdraw':
      case 'release':
        return receiveForSlotRequest(from, message, nowMs)
      case 'holdings':
      case 'floor':
      case 'floor-reached':
        return toAuthority(message.pool, { kind: 'message', from, message }, nowMs)
      case 'round':
        return toAuthorities({ kind: 'message', from, message }, nowMs)
      default:
    }
  }

  return { incarnation, toEntry, toAuthority, toAuthorities, receive, status: (pool) => authorities.get(pool)?.status() }
}
