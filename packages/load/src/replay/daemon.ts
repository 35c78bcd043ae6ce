/**
 * One daemon of a replay: an entry and an authority for each pool.
 *
 * @module
 */
import * as authority from '@persimmonhatch/authority'
import * as entry from '@persimmonhatch/entry'
import type * as protocol from '@persimmonhatch/protocol'

/** Performs what the cores ask for. */
export interface Ports {
  readonly send: (outbound: protocol.Outbound) => void
  readonly news: (news: protocol.Update) => void
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
  /** Takes a message of a peer. */
  readonly receive: (from: protocol.Incarnation, message: protocol.PeerMessage, nowMs: number) => void
  readonly status: (pool: string) => authority.authority.Status | undefined
}

/** Settings of a daemon. */
export interface Options {
  readonly incarnation: protocol.Incarnation
  readonly pools: readonly string[]
  readonly random: protocol.Random
  readonly ports: Ports
}

const REQUEST_LIMIT = 100_000

function performEntry (ports: Ports, output: entry.event.Output): void {
  switch (output.kind) {
    case 'send': return ports.send(output.outbound)
    case 'dispatch': return ports.dispatch(output.request, output.placement.target)
    case 'cancel': return ports.cancel(output.request)
    case 'refuse': return ports.refuse(output.request, output.receipt)
    case 'count': return ports.count(output.counter, output.value)
    case 'join':
    case 'redirect':
    case 'settled':
    case 'forget':
    case 'drained':
  }
}

function performAuthority (ports: Ports, output: authority.event.Output): void {
  switch (output.kind) {
    case 'send': return ports.send(output.outbound)
    case 'news': return ports.news(output.news)
    case 'count': return ports.count(output.counter, output.value)
  }
}

/**
 * Creates a daemon.
 *
 * @example
 * ```ts
 * const daemon = createDaemon({ incarnation: 'entry00000001', pools: ['engines'], random, ports })
 * daemon.toEntry({ kind: 'beat', beat: 1 }, 0)
 * ```
 */
export function createDaemon ({ incarnation, pools, random, ports }: Options): Daemon {
  const own = entry.entry.createEntry({ incarnation, random, findMember: () => undefined, requestLimit: REQUEST_LIMIT })
  const authorities = new Map(pools.map((pool) => [pool, authority.authority.createAuthority({ pool, incarnation, random })]))
  const poolOfAsk = new Map<string, string>()

  function toEntry (event: entry.event.Event, nowMs: number): void {
    for (const output of [...own.handle(event, nowMs)]) performEntry(ports, output)
  }

  function toAuthority (pool: string, event: authority.event.Event, nowMs: number): void {
    const core = authorities.get(pool)
    if (core === undefined) return
    for (const output of [...core.handle(event, nowMs)]) performAuthority(ports, output)
  }

  function toAuthorities (event: authority.event.Event, nowMs: number): void {
    for (const pool of pools) toAuthority(pool, event, nowMs)
  }

  function receiveOfAsk (from: protocol.Incarnation, message: protocol.Withdraw | protocol.Release, nowMs: number): void {
    const key = `${from}/${message.ask}`
    const pool = poolOfAsk.get(key)
    poolOfAsk.delete(key)
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
        poolOfAsk.set(`${from}/${message.ask}`, message.pool)
        return toAuthority(message.pool, { kind: 'message', from, message }, nowMs)
      case 'withdraw':
      case 'release':
        return receiveOfAsk(from, message, nowMs)
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
