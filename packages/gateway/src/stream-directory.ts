/**
 * Finds the version at which a stream began. The members of a cell report the beginnings of their streams to each
 * other; a daemon that has no record of a stream asks its cell and members of the other cells.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import type * as metricsModule from './metrics.js'

/** Asks a peer for the beginning of a stream. */
export interface StreamQuestion {
  /** Endpoint to which the peer sends its answer. */
  readonly from: string
  readonly requestId: string
}

/** The answer of a peer; `beginning` is missing if it has no record of the stream. */
export interface StreamAnswer {
  readonly from: string
  readonly requestId: string
  readonly beginning?: routing.streamVersions.StreamBeginning | undefined
}

/** Finds and records the beginnings of streams. */
export interface StreamDirectory {
  readonly record: (beginning: routing.streamVersions.StreamBeginning) => void
  /** Calls `done` once, immediately if this daemon has a record; undefined if no daemon is known to have one. */
  readonly find: (requestId: string, done: (beginning: routing.streamVersions.StreamBeginning | undefined) => void) => void
  readonly handleQuestion: (question: StreamQuestion) => void
  readonly handleAnswer: (answer: StreamAnswer) => void
}

/** Dependencies of the directory. */
export interface Options {
  /** Endpoint of this daemon. */
  readonly address: string
  readonly now: () => number
  readonly streams: routing.streamVersions.StreamVersions
  readonly metrics: metricsModule.Metrics
  /** Returns the peers to ask, other ones each time if there are many. */
  readonly askedPeers: () => readonly string[]
  readonly ask: (addresses: readonly string[], question: StreamQuestion) => void
  readonly answer: (address: string, answer: StreamAnswer) => void
  /** Calls `run` after a time. */
  readonly schedule: (delayMs: number, run: () => void) => void
  /** Called when there are new beginnings to report. */
  readonly changed: () => void
}

/** Interval at which the question is repeated, as datagrams are lost, ms. */
const ASK_INTERVAL_MS = 100

const MAX_ASKS = 3

interface Search {
  readonly done: (beginning: routing.streamVersions.StreamBeginning | undefined) => void
  /** Peers that have not answered yet. */
  readonly awaited: Set<string>
}

/**
 * Creates the directory of one daemon.
 *
 * @example
 * ```ts
 * directory.find('r-1', (beginning) => { if (beginning === undefined) refuse('unknown-stream') })
 * ```
 */
export function createStreamDirectory (options: Options): StreamDirectory {
  const { address, now, streams, metrics } = options
  const searches = new Map<string, readonly Search[]>()

  function end (search: Search, requestId: string, beginning: routing.streamVersions.StreamBeginning | undefined): void {
    const others = searches.get(requestId) ?? []
    if (!others.includes(search)) return
    searches.set(requestId, others.filter((other) => other !== search))
    if (others.length === 1) searches.delete(requestId)
    metrics.count('stream_lookups_total', { result: beginning === undefined ? 'unknown' : 'peer' })
    search.done(beginning)
  }

  function ask (search: Search, requestId: string, asks: number): void {
    if (searches.get(requestId)?.includes(search) !== true) return
    const peers = asks < MAX_ASKS ? options.askedPeers() : []
    if (peers.length === 0) {
      end(search, requestId, undefined)
      return
    }
    for (const peer of peers) search.awaited.add(peer)
    options.ask(peers, { from: address, requestId })
    options.schedule(ASK_INTERVAL_MS, () => { ask(search, requestId, asks + 1) })
  }

  function find (requestId: string, done: Search['done']): void {
    const beginning = streams.find(requestId, now())
    if (beginning !== undefined) {
      metrics.count('stream_lookups_total', { result: 'own' })
      done(beginning)
      return
    }
    const search = { done, awaited: new Set<string>() }
    searches.set(requestId, [...searches.get(requestId) ?? [], search])
    ask(search, requestId, 0)
  }

  function handleAnswer ({ from, requestId, beginning }: StreamAnswer): void {
    for (const search of searches.get(requestId) ?? []) {
      search.awaited.delete(from)
      if (beginning !== undefined || search.awaited.size === 0) end(search, requestId, beginning)
    }
  }

  return {
    record: (beginning) => {
      streams.record(beginning, now())
      options.changed()
    },
    find,
    handleQuestion: ({ from, requestId }) => { options.answer(from, { from: address, requestId, beginning: streams.find(requestId, now()) }) },
    handleAnswer
  }
}
