/**
 * Follows the service documents on the platform: a listing, then a watch from its revision, again
 * and again.
 *
 * @module
 */
import * as document from '@persimmonhatch/document'
import * as backing from '@persimmonhatch/backing-services'
import type * as protocol from '@persimmonhatch/protocol'
import * as pause from '../util/pause.js'

const FIRST_RETRY_MS = 200
const LAST_RETRY_MS = 10_000

/** What following needs of its surroundings. */
export interface Options {
  readonly keyValue: backing.keyValue.KeyValue
  readonly random: protocol.Random
  /** Services that a document was seen of. */
  readonly known: () => readonly string[]
  readonly onCopies: (copies: readonly document.adoption.Copy[]) => void
  /** A whole listing was taken in. */
  readonly onListed: () => void
  readonly onFailure: (failure: backing.keyValue.FailureKind) => void
}

function copyOf (key: string, text: string | undefined): document.adoption.Copy {
  return { service: key.slice(document.storedDocument.KEY_PREFIX.length), text, source: 'platform' }
}

async function list (options: Options): Promise<number> {
  const listing = await options.keyValue.list(document.storedDocument.KEY_PREFIX)
  if (listing.isErr()) throw listing.error
  const present = new Set(listing.value.entries.map((entry) => entry.key))
  const missing = options.known().map(document.storedDocument.documentKey).filter((key) => !present.has(key))
  options.onCopies([
    ...listing.value.entries.map((entry) => copyOf(entry.key, entry.value)),
    ...missing.map((key) => copyOf(key, undefined))
  ])
  options.onListed()
  return listing.value.revision
}

async function watch (options: Options, revision: number, signal: AbortSignal): Promise<void> {
  for await (const changes of options.keyValue.watch(document.storedDocument.KEY_PREFIX, revision, signal)) {
    options.onCopies(changes.map((change) => copyOf(change.key, change.value)))
  }
}

/**
 * Follows until `signal` aborts.
 *
 * @example
 * ```ts
 * await followDocuments(options, stop.signal)
 * ```
 */
export async function followDocuments (options: Options, signal: AbortSignal): Promise<void> {
  const delays = backing.backoff.backoff({ initialCeilingMs: FIRST_RETRY_MS, maxCeilingMs: LAST_RETRY_MS, random: options.random })
  while (!signal.aborted) {
    try {
      const revision = await list(options)
      delays.reset()
      await watch(options, revision, signal)
    } catch (error) {
      options.onFailure(error instanceof backing.keyValue.PlatformFailure ? error.failure : 'malformed')
    }
    await pause.pause(delays.next(), signal)
  }
}
