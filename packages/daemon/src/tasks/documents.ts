/**
 * Keeps the service documents up to date: from a watch on the platform, and from other daemons while
 * the platform is unavailable.
 *
 * @module
 */
import * as document from '@persimmonhatch/document'
import type * as backing from '@persimmonhatch/backing-services'
import type * as protocol from '@persimmonhatch/protocol'
import type * as log from '../adapters/log.js'
import * as watchDocuments from './watch-documents.js'

/** Maximum wait for the watch to deliver a revision that a peer announced, before a peer is queried for it, milliseconds. */
const PEER_REQUEST_DELAY_MS = 500

/** Dependencies of the task. */
export interface Options {
  readonly keyValue: backing.keyValue.KeyValue
  readonly clock: protocol.Clock
  readonly random: protocol.Random
  readonly send: (outbound: protocol.Outbound) => void
  /** Returns the other live daemons. */
  readonly peers: () => readonly protocol.Incarnation[]
  readonly onDocuments: (documents: readonly document.serviceDocument.ServiceDocument[]) => void
  readonly onRevision: (update: protocol.RevisionUpdate) => void
  readonly count: (counter: string, value: number) => void
  readonly log: log.Log
}

/** State of the connection to the platform. */
export type PlatformState = 'unknown' | 'reachable' | 'unreachable'

/** The running task. */
export interface Documents {
  /** Watches the platform until `signal` aborts. */
  readonly watch: (signal: AbortSignal) => Promise<void>
  /** Handles the announcement that a peer has a revision in force. */
  readonly handleRevision: (update: protocol.RevisionUpdate) => void
  readonly handleMessage: (from: protocol.Incarnation, message: protocol.DocumentRequest | protocol.DocumentCopy) => void
  readonly tick: () => void
  /** Whether a listing was read from the platform, or peers sent every document that they announced. */
  readonly ready: () => boolean
  readonly inForce: () => readonly document.serviceDocument.ServiceDocument[]
  readonly status: () => readonly document.adoption.Status[]
  readonly platformState: () => PlatformState
}

interface PendingFetch {
  readonly revision: number
  readonly fetchAtMs: number
}

/**
 * Starts the task.
 *
 * @example
 * ```ts
 * const documents = startDocuments(options)
 * await documents.watch(stop.signal)
 * ```
 */
export function startDocuments (options: Options): Documents {
  const adoption = document.adoption.createAdoption()
  const pendingFetches = new Map<string, PendingFetch>()
  let state: PlatformState = 'unknown'
  let ready = false

  function reportEvent (event: document.adoption.Event): void {
    options.count(`documents.${event.kind}`, 1)
    if (event.kind === 'adopted') {
      pendingFetches.delete(event.service)
      options.log.info('document in force', { service: event.service, revision: event.revision, changeId: event.changeId })
      options.onRevision({ kind: 'revision', service: event.service, revision: event.revision })
    } else {
      options.log.warn(`document ${event.kind}`, { ...event })
    }
  }

  function applyCopies (copies: readonly document.adoption.Copy[]): void {
    let changed = false
    for (const copy of copies) {
      for (const event of adoption.handle(copy)) {
        reportEvent(event)
        changed ||= event.kind === 'adopted'
      }
    }
    if (changed) options.onDocuments(adoption.resolution().documents)
  }

  function setPlatformState (next: PlatformState): void {
    if (state === next) return
    state = next
    options.log.info(`platform ${next}`)
  }

  function watch (signal: AbortSignal): Promise<void> {
    return watchDocuments.watchDocuments({
      keyValue: options.keyValue,
      random: options.random,
      knownServices: () => adoption.status().map((serviceStatus) => serviceStatus.service),
      onCopies: applyCopies,
      onListing: () => {
        ready = true
        setPlatformState('reachable')
      },
      onFailure: (failure) => {
        options.count(`platform.${failure}`, 1)
        if (failure === 'unavailable' || failure === 'unanswered') setPlatformState('unreachable')
      }
    }, signal)
  }

  function handleRevision (update: protocol.RevisionUpdate): void {
    const inForce = adoption.find(update.service)?.revision ?? 0
    if (update.revision <= inForce || update.revision <= (pendingFetches.get(update.service)?.revision ?? 0)) return
    pendingFetches.set(update.service, { revision: update.revision, fetchAtMs: options.clock() + options.random() * PEER_REQUEST_DELAY_MS })
  }

  function tick (): void {
    for (const [service, pendingFetch] of pendingFetches) {
      if (pendingFetch.fetchAtMs > options.clock()) continue
      const peers = options.peers()
      const peer = peers[Math.floor(options.random() * peers.length)]
      pendingFetches.set(service, { revision: pendingFetch.revision, fetchAtMs: options.clock() + PEER_REQUEST_DELAY_MS })
      if (peer !== undefined) options.send({ to: peer, message: { kind: 'document-request', service, revision: pendingFetch.revision } })
    }
  }

  function handleMessage (from: protocol.Incarnation, message: protocol.DocumentRequest | protocol.DocumentCopy): void {
    if (message.kind === 'document-copy') {
      applyCopies([{ service: message.service, text: message.content, source: 'peer' }])
      ready ||= pendingFetches.size === 0
      return
    }
    const found = adoption.find(message.service)
    if (found === undefined || found.revision < message.revision) return
    options.send({ to: from, message: { kind: 'document-copy', service: found.service, revision: found.revision, content: found.text } })
  }

  return { watch, handleRevision, handleMessage, tick, ready: () => ready, inForce: () => adoption.resolution().documents, status: adoption.status, platformState: () => state }
}
