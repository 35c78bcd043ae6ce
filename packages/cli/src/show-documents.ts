/**
 * Shows stored documents and their changes.
 *
 * @module
 */
import * as neverthrow from 'neverthrow'
import * as changeText from './change-text.js'
import * as failure from './failure.js'
import * as message from './message.js'
import type * as session from './session.js'
import * as store from './store.js'

function formatService (service: store.StoredService): string {
  if (service.stored.isErr()) return `${service.service}: ${service.stored.error.message}`
  const { revision, change, content } = service.stored.value
  const state = content === null ? 'deleted' : 'changed'
  return `${service.service}: revision ${revision}, ${state} by ${change.operator} at ${changeText.formatTime(change.atMs)}`
}

function toJson (service: store.StoredService): unknown {
  if (service.stored.isErr()) return { service: service.service, problem: service.stored.error.message }
  const { revision, change, content } = service.stored.value
  return { service: service.service, revision, change, deleted: content === null }
}

/**
 * Lists all services with their revisions.
 *
 * @example
 * ```ts
 * const report = await listDocuments(session)
 * ```
 */
export function listDocuments (run: session.Session): session.Outcome {
  return store.listServices(run.ports).map((services) => ({
    exit: 'done',
    text: services.length === 0 ? message.formatMessage('no-services', {}) : services.map(formatService).join('\n'),
    json: services.map(toJson)
  }))
}

/**
 * Shows the document of one service below a line with its revision.
 *
 * @example
 * ```ts
 * const report = await showDocument(session, 'listings')
 * ```
 */
export function showDocument (run: session.Session, service: string): session.Outcome {
  return store.readService(run.ports, service).andThen((stored) => {
    const { revision, change, content } = stored
    const at = changeText.formatTime(change.atMs)
    if (content === null) return neverthrow.err(new failure.Failure('notFound', 'deleted-service', { service, operator: change.operator, at, revision }))
    const json = { service, revision, change, content }
    return neverthrow.ok({ exit: 'done' as const, text: changeText.addRevisionLine(service, revision, content).trimEnd(), json })
  })
}

/**
 * Lists the recent changes of a service, newest first.
 *
 * @example
 * ```ts
 * const report = await showHistory(session, 'listings')
 * ```
 */
export function showHistory (run: session.Session, service: string): session.Outcome {
  return store.readService(run.ports, service).map((stored) => ({
    exit: 'done',
    text: `${service}, newest change first:\n${changeText.formatChanges(stored.recent)}`,
    json: { service, revision: stored.revision, recent: stored.recent }
  }))
}
