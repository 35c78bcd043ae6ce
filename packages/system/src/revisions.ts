/**
 * Collects facts about service documents: changes that the platform accepted, and revisions in force at daemons.
 *
 * @module
 */
import * as document from '@persimmonhatch/document'
import type * as history from '@persimmonhatch/history'
import type * as recorderModule from './recorder.js'
import type * as systemModule from './system.js'

const POLL_INTERVAL_MS = 200
const STATUS_TIMEOUT_MS = 1_000

interface LoggedWrite {
  readonly atMs: number
  readonly type: 'PUT' | 'DELETE'
  readonly key: string
  readonly value: string
}

interface StatusResponse {
  readonly services: readonly { readonly service: string, readonly revision: number }[]
}

/** A running observation of the revisions in force at the daemons. */
export interface Observation {
  readonly stop: () => Promise<void>
}

/**
 * Reads the changes that the platform accepted, in its order.
 *
 * @example
 * ```ts
 * for (const fact of await readAcceptedChanges(system)) recorder.recordAt(fact)
 * ```
 */
export async function readAcceptedChanges (system: systemModule.System): Promise<readonly history.history.DocumentAccepted[]> {
  const response = await fetch(`http://${system.standin('key-value').controlAddress}/standin/log`)
  const { writes } = await response.json() as { readonly writes: readonly LoggedWrite[] }
  return writes.flatMap(({ atMs, type, key, value }) => {
    if (type === 'DELETE' || !key.startsWith(document.storedDocument.KEY_PREFIX)) return []
    const service = key.slice(document.storedDocument.KEY_PREFIX.length)
    const { revision, change } = document.storedDocument.readStoredDocument(service, value)._unsafeUnwrap()
    return [{ kind: 'document-accepted' as const, atMs, service, revision, change: change.id }]
  })
}

/**
 * Starts polling the revisions in force at all daemons; daemons that do not respond are skipped.
 *
 * @example
 * ```ts
 * const observation = observeRevisions(system, recorder)
 * await observation.stop()
 * ```
 */
export function observeRevisions (system: systemModule.System, recorder: recorderModule.Recorder): Observation {
  const stopping = new AbortController()

  async function recordRevisions (): Promise<void> {
    await Promise.all(system.daemons().map(async ({ address, name }) => {
      try {
        const response = await fetch(`http://${address}/v1/status`, { signal: AbortSignal.timeout(STATUS_TIMEOUT_MS) })
        const { services } = await response.json() as StatusResponse
        for (const { service, revision } of services) recorder.record({ kind: 'document-observed', service, revision, daemon: name })
      } catch {
        // A daemon that is stopped, suspended or starting has no document in force.
      }
    }))
  }

  async function poll (): Promise<void> {
    while (!stopping.signal.aborted) {
      await recordRevisions()
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
    }
  }

  const polling = poll()
  return {
    stop: async () => {
      stopping.abort()
      await polling
    }
  }
}
