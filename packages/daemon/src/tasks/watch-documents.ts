/**
 * Watches the service documents on the platform: reads a listing, watches from its revision, and starts
 * over when the watch ends.
 *
 * @module
 */
import * as document from '@persimmonhatch/document'
import * as backing from '@persimmonhatch/backing-services'
import type * as protocol from '@persimmonhatch/protocol'

const INITIAL_RETRY_CEILING_MS = 200
const MAX_RETRY_CEILING_MS = 10_000

/** Dependencies of the watch. */
export interface Options {
  readonly keyValue: backing.keyValue.KeyValue
  readonly random: protocol.Random
  /** Returns the services that have had a document. */
  readonly knownServices: () => readonly string[]
  readonly onCopies: (copies: readonly document.adoption.Copy[]) => void
  /** Called after a listing was passed to `onCopies`. */
  readonly onListing: () => void
  readonly onFailure: (failure: backing.keyValue.FailureKind) => void
}

function toCopy (key: string, text: string | undefined): document.adoption.Copy {
  return { service: key.slice(document.storedDocument.KEY_PREFIX.length), text, source: 'platform' }
}

async function readListing (options: Options): Promise<backing.keyValue.Position> {
  const listing = await options.keyValue.list(document.storedDocument.KEY_PREFIX)
  if (listing.isErr()) throw listing.error
  const present = new Set(listing.value.entries.map((entry) => entry.key))
  const missing = options.knownServices().map(document.storedDocument.documentKey).filter((key) => !present.has(key))
  options.onCopies([
    ...listing.value.entries.map((entry) => toCopy(entry.key, entry.value)),
    ...missing.map((key) => toCopy(key, undefined))
  ])
  options.onListing()
  return listing.value
}

async function watchChanges (options: Options, after: backing.keyValue.Position, signal: AbortSignal): Promise<void> {
  for await (const changes of options.keyValue.watch(document.storedDocument.KEY_PREFIX, after, signal)) {
    options.onCopies(changes.map((change) => toCopy(change.key, change.value)))
  }
}

/**
 * Watches until `signal` aborts.
 *
 * @example
 * ```ts
 * await watchDocuments(options, stop.signal)
 * ```
 */
export async function watchDocuments (options: Options, signal: AbortSignal): Promise<void> {
  const delays = backing.backoff.createBackoff({ initialCeilingMs: INITIAL_RETRY_CEILING_MS, maxCeilingMs: MAX_RETRY_CEILING_MS, random: options.random })
  while (!signal.aborted) {
    try {
      const position = await readListing(options)
      delays.reset()
      await watchChanges(options, position, signal)
    } catch (error) {
      options.onFailure(error instanceof backing.keyValue.PlatformFailure ? error.failure : 'malformed')
    }
    await backing.pause.pause(delays.next(), signal)
  }
}
