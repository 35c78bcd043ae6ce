/**
 * Facts about service documents: what the platform accepted, and by what daemons act.
 *
 * @module
 */
import * as document from '@persimmonhatch/document'
import type * as history from '@persimmonhatch/history'
import type * as recorderModule from './recorder.js'
import type * as systemModule from './system.js'

const OBSERVE_INTERVAL_MS = 200
const STATUS_TIMEOUT_MS = 1_000

interface Write {
  readonly atMs: number
  readonly type: 'PUT' | 'DELETE'
  readonly key: string
  readonly value: string
}

interface StatusAnswer {
  readonly services: readonly { readonly service: string, readonly revision: number }[]
}

/** Observes by which revisions the daemons act. */
export interface Observation {
  readonly stop: () => Promise<void>
}

/**
 * The changes that the platform accepted, in its own order.
 *
 * @example
 * ```ts
 * for (const fact of await acceptedFacts(system)) recorder.recordAt(fact)
 * ```
 */
export async function acceptedFacts (system: systemModule.System): Promise<readonly history.history.DocumentAccepted[]> {
  const response = await fetch(`http://${system.standin('key-value').controlAddress}/standin/log`)
  const { writes } = await response.json() as { readonly writes: readonly Write[] }
  return writes.flatMap(({ atMs, type, key, value }) => {
    if (type === 'DELETE' || !key.startsWith(document.storedDocument.KEY_PREFIX)) return []
    const service = key.slice(document.storedDocument.KEY_PREFIX.length)
    const { revision, change } = document.storedDocument.readStoredDocument(service, value)._unsafeUnwrap()
    return [{ kind: 'document-accepted' as const, atMs, service, revision, change: change.id }]
  })
}

/**
 * Starts observing all daemons; those that do not answer are not observed.
 *
 * @example
 * ```ts
 * const observation = observeRevisions(system, recorder)
 * await observation.stop()
 * ```
 */
export function observeRevisions (system: systemModule.System, recorder: recorderModule.Recorder): Observation {
  const stopping = new AbortController()

  async function observe (): Promise<void> {
    await Promise.all(system.daemons().map(async ({ address, name }) => {
      try {
        const response = await fetch(`http://${address}/v1/status`, { signal: AbortSignal.timeout(STATUS_TIMEOUT_MS) })
        const { services } = await response.json() as StatusAnswer
        for (const { service, revision } of services) recorder.record({ kind: 'document-observed', service, revision, daemon: name })
      } catch {
        // A daemon that is stopped, frozen or starting acts by nothing.
      }
    }))
  }

  async function run (): Promise<void> {
    while (!stopping.signal.aborted) {
      await observe()
      await new Promise((resolve) => setTimeout(resolve, OBSERVE_INTERVAL_MS))
    }
  }

  const running = run()
  return {
    stop: async () => {
      stopping.abort()
      await running
    }
  }
}
