/**
 * Finds the version at which a stream began. The members of a cell report the beginnings of their streams to each
 * other; a daemon that has no record of a stream asks its cell and members of the other cells. If nobody has one, it reads
 * the store again, and only one version may have been in service while the stream can have begun.
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

/** A stream to find. */
export interface SoughtStream {
  readonly requestId: string
  /** The only service that can have begun it; undefined if there are several. */
  readonly service: string | undefined
}

/** How the version of a stream was found: in this daemon's records, in a peer's or in the store, or as the only one in service. */
export type BeginningSource = 'own' | 'peer' | 'stored' | 'only-version'

/** The beginning of a stream, and how it was found. */
export interface FoundBeginning {
  readonly beginning: routing.streamVersions.StreamBeginning
  readonly source: BeginningSource
}

/** Finds and records the beginnings of streams. */
export interface StreamDirectory {
  readonly record: (beginning: routing.streamVersions.StreamBeginning) => void
  /** Calls `done` once; undefined if no daemon is known to have a record of the stream. */
  readonly find: (stream: SoughtStream, done: (found: FoundBeginning | undefined) => void) => void
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
  /** Returns the only version of a service that is known to have been in service; undefined if there were several. */
  readonly onlyVersionOf: (service: string) => string | undefined
  /** Calls `done` once this daemon has loaded what the fleet has stored. */
  readonly afterLoading: (done: () => void) => void
  /**
   * Loads again what the fleet has stored and which versions are in service. Calls `done` with whether all of it is known
   * as of a time after this call.
   */
  readonly reload: (done: (isCurrent: boolean) => void) => void
  /** Lists the targets again, and calls `done` afterwards or after a short time. */
  readonly listTargets: (done: () => void) => void
}

/** Interval at which the question is repeated, as datagrams are lost, ms. */
const ASK_INTERVAL_MS = 100

const MAX_ASKS = 3

interface Search extends SoughtStream {
  readonly done: (found: FoundBeginning | undefined) => void
  /** Peers that have not answered yet. */
  readonly awaited: Set<string>
}

/**
 * Creates the directory of one daemon.
 *
 * @example
 * ```ts
 * directory.find({ requestId: 'r-1', service: 'support' }, (found) => { if (found === undefined) refuse('unknown-stream') })
 * ```
 */
export function createStreamDirectory (options: Options): StreamDirectory {
  const { address, now, streams, metrics } = options
  const searches = new Map<string, readonly Search[]>()

  function inferBeginning ({ requestId, service }: SoughtStream): routing.streamVersions.StreamBeginning | undefined {
    const version = service === undefined ? undefined : options.onlyVersionOf(service)
    if (service === undefined || version === undefined) return undefined
    // The record of the versions in service may lag behind those of streams, which other daemons write.
    const hasOther = [...streams.versionsOf(service, now())].some((other) => other !== version)
    return hasOther ? undefined : { requestId, service, version }
  }

  function finish (beginning: routing.streamVersions.StreamBeginning | undefined, source: BeginningSource, done: Search['done']): void {
    metrics.count('stream_lookups_total', { result: beginning === undefined ? 'unknown' : source })
    done(beginning === undefined ? undefined : { beginning, source })
  }

  /** Finishes once the targets are listed: one that has started again may have another version than the one that is known. */
  function finishListed (beginning: routing.streamVersions.StreamBeginning, source: BeginningSource, done: Search['done']): void {
    options.listTargets(() => { finish(beginning, source, done) })
  }

  function end (search: Search, answered: routing.streamVersions.StreamBeginning | undefined): void {
    const { requestId, done } = search
    const others = searches.get(requestId) ?? []
    if (!others.includes(search)) return
    searches.set(requestId, others.filter((other) => other !== search))
    if (others.length === 1) searches.delete(requestId)
    if (answered !== undefined) {
      finishListed(answered, 'peer', done)
      return
    }
    options.reload((isCurrent) => {
      const stored = streams.find(requestId, now())
      // The stream began before it was asked for, so a version that began it is in a view that was read since.
      if (stored === undefined && isCurrent) finish(inferBeginning(search), 'only-version', done)
      else finish(stored, 'stored', done)
    })
  }

  function ask (search: Search, asks: number): void {
    const { requestId } = search
    if (searches.get(requestId)?.includes(search) !== true) return
    const peers = asks < MAX_ASKS ? options.askedPeers() : []
    if (peers.length === 0) {
      end(search, undefined)
      return
    }
    for (const peer of peers) search.awaited.add(peer)
    options.ask(peers, { from: address, requestId })
    options.schedule(ASK_INTERVAL_MS, () => { ask(search, asks + 1) })
  }

  function findOwn (requestId: string, done: Search['done']): boolean {
    const beginning = streams.find(requestId, now())
    if (beginning === undefined) return false
    finishListed(beginning, 'own', done)
    return true
  }

  function find (stream: SoughtStream, done: Search['done']): void {
    const { requestId } = stream
    if (findOwn(requestId, done)) return
    options.afterLoading(() => {
      if (findOwn(requestId, done)) return
      const search = { ...stream, done, awaited: new Set<string>() }
      searches.set(requestId, [...searches.get(requestId) ?? [], search])
      ask(search, 0)
    })
  }

  function handleAnswer ({ from, requestId, beginning }: StreamAnswer): void {
    for (const search of searches.get(requestId) ?? []) {
      search.awaited.delete(from)
      if (beginning !== undefined || search.awaited.size === 0) end(search, beginning)
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
