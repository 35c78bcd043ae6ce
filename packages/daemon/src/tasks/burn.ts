/**
 * Counts the service levels of this daemon's requests and stores them as burn-rate records about once a
 * minute.
 *
 * @module
 */
import * as document from '@persimmonhatch/document'
import type * as entry from '@persimmonhatch/entry'
import * as backing from '@persimmonhatch/backing-services'
import type * as protocol from '@persimmonhatch/protocol'

const WRITE_INTERVAL_MS = 60_000

/** Maximum average rate of writing records, bytes per millisecond. */
const WRITE_BYTES_PER_MS = 2

/** Maximum interval between two writes, milliseconds, so that every window is written before it ends. */
const MAX_WRITE_INTERVAL_MS = document.burnRecord.WINDOW_MINUTES * 30_000

/** Reasons caused by the caller, by its mistake or disconnection, which don't count against the service. */
const UNCOUNTED_REASONS: ReadonlySet<protocol.Reason> = new Set(['caller-gone', 'caller-gone-dispatched', 'identity-reused', 'identity-expired', 'other-address'])

const CUT_REASONS: ReadonlySet<protocol.Reason> = new Set(['preempted', 'answer-incomplete', 'target-failed'])

/** Dependencies of the task. */
export interface Options {
  readonly keyValue: backing.keyValue.KeyValue
  readonly random: protocol.Random
  /** Milliseconds since the Unix epoch. */
  readonly wallClock: () => number
  readonly availabilityZone: string
  readonly incarnation: protocol.Incarnation
  readonly count: (counter: string, value: number) => void
}

/** The running task. */
export interface BurnRecorder {
  readonly updateDocuments: (documents: readonly document.serviceDocument.ServiceDocument[]) => void
  readonly recordReceipt: (receipt: entry.event.Receipt) => void
  /** Stores the records at intervals until `signal` aborts, then once more. */
  readonly storePeriodically: (signal: AbortSignal) => Promise<void>
}

/** A record as last stored; the text is empty when the last write did not succeed. */
interface WrittenRecord {
  readonly modRevision: number
  readonly text: string
}

function toOutcome (reason: protocol.Reason): document.classifyRequest.EndedRequest['outcome'] {
  if (reason === 'finished') return 'complete'
  if (reason === 'shed' || reason === 'daemon-full') return 'shed'
  return CUT_REASONS.has(reason) ? 'cut' : 'refused'
}

function toEndedRequest (receipt: entry.event.Receipt): document.classifyRequest.EndedRequest {
  const { end, waitedMs } = receipt
  const hasFirstToken = end !== undefined && end.firstTokenMs > 0
  const isStreamed = hasFirstToken && end.answerTokens > 1
  return {
    service: receipt.service,
    organisation: receipt.organisation,
    outcome: toOutcome(receipt.reason),
    waitedMs,
    firstTokenMs: hasFirstToken ? waitedMs + end.firstTokenMs : undefined,
    betweenTokensMs: isStreamed ? (end.totalMs - end.firstTokenMs) / (end.answerTokens - 1) : undefined,
    completionMs: waitedMs + (end?.totalMs ?? 0)
  }
}

/**
 * Creates the task with empty counters.
 *
 * @example
 * ```ts
 * const burn = startBurnRecorder(options)
 * burn.recordReceipt(receipt)
 * ```
 */
export function startBurnRecorder (options: Options): BurnRecorder {
  const { keyValue, wallClock, availabilityZone, incarnation } = options
  const counter = document.burnCounter.createBurnCounter({ availabilityZone, incarnation })
  const written = new Map<string, WrittenRecord>()
  let tiers: ReadonlyMap<string, document.serviceDocument.Tier> = new Map()
  let lease: string | undefined

  function updateDocuments (documents: readonly document.serviceDocument.ServiceDocument[]): void {
    tiers = new Map(documents.flatMap((serviceDocument) => serviceDocument.tiers.map((tier) => [`${serviceDocument.service} ${tier.name}`, tier])))
  }

  function recordReceipt (receipt: entry.event.Receipt): void {
    const tier = tiers.get(`${receipt.service} ${receipt.tier}`)
    if (tier === undefined || UNCOUNTED_REASONS.has(receipt.reason)) return
    counter.count(document.classifyRequest.classifyRequest(tier, toEndedRequest(receipt)), wallClock())
  }

  async function ensureLease (): Promise<string | undefined> {
    if (lease !== undefined) return lease
    const granted = await keyValue.grantLease(document.burnRecord.RETENTION_S)
    lease = granted.isOk() ? granted.value : undefined
    return lease
  }

  /** Writes a record when it has changed. Returns the number of bytes sent. */
  async function write (record: document.burnRecord.BurnRecord): Promise<number> {
    const key = document.burnRecord.recordKey(record)
    const text = document.burnRecord.writeRecord(record)
    const previous = written.get(key)
    if (previous?.text === text) return 0
    // A record expires with the lease of the first write in its window, so a new window needs a new lease.
    if (previous === undefined) lease = undefined
    const currentLease = await ensureLease()
    if (currentLease === undefined) return countNotStored(0)
    const swap = await keyValue.compareAndSwap({ key, expectedRevision: previous?.modRevision ?? 0, value: text, lease: currentLease })
    if (swap.isErr()) return countNotStored(text.length)
    // After a lost response the stored revision differs from the expected one; the next write expects the revision found here.
    written.set(key, { modRevision: swap.value.succeeded ? swap.value.revision : swap.value.current?.modRevision ?? 0, text: swap.value.succeeded ? text : '' })
    return text.length
  }

  function countNotStored (bytes: number): number {
    options.count('burn.notStored', 1)
    return bytes
  }

  async function storeOnce (): Promise<number> {
    const records = counter.records(wallClock())
    const current = new Set(records.map(document.burnRecord.recordKey))
    for (const key of written.keys()) if (!current.has(key)) written.delete(key)
    let bytes = 0
    for (const record of records) bytes += await write(record)
    return bytes
  }

  async function storePeriodically (signal: AbortSignal): Promise<void> {
    let intervalMs = WRITE_INTERVAL_MS
    while (!signal.aborted) {
      await backing.pause.pause(intervalMs * (0.5 + options.random()), signal)
      const bytes = await storeOnce()
      intervalMs = Math.min(MAX_WRITE_INTERVAL_MS, Math.max(WRITE_INTERVAL_MS, bytes / WRITE_BYTES_PER_MS))
    }
  }

  return { updateDocuments, recordReceipt, storePeriodically }
}
