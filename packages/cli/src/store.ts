/**
 * Reads service documents from the platform.
 *
 * @module
 */
import * as document from '@persimmonhatch/document'
import type * as backing from '@persimmonhatch/backing-services'
import * as neverthrow from 'neverthrow'
import * as failure from './failure.js'
import type * as ports from './ports.js'

type StoredDocument = document.storedDocument.StoredDocument

/** Stored service: its document, or why it can't be read. */
export interface StoredService {
  readonly service: string
  readonly stored: neverthrow.Result<StoredDocument, document.storedDocument.UnreadableDocument>
}

/**
 * Converts the failure of a read to a failure of the command.
 *
 * @example
 * ```ts
 * keyValue.get(key).mapErr(toReadFailure)
 * ```
 */
export function toReadFailure (error: backing.keyValue.PlatformFailure): failure.Failure {
  return new failure.Failure('platformUnreachable', 'platform-unreachable', { detail: error.message })
}

function toStoredService (entry: backing.keyValue.Entry): StoredService {
  const service = entry.key.slice(document.storedDocument.KEY_PREFIX.length)
  return { service, stored: document.storedDocument.readStoredDocument(service, entry.value) }
}

/**
 * Lists all services, including deleted ones, sorted by name.
 *
 * @example
 * ```ts
 * const services = await listServices(ports)
 * ```
 */
export function listServices (dependencies: ports.Ports): neverthrow.ResultAsync<readonly StoredService[], failure.Failure> {
  const byName = (left: StoredService, right: StoredService): number => document.resolveTargets.compareNames(left.service, right.service)
  return dependencies.keyValue.list(document.storedDocument.KEY_PREFIX)
    .mapErr(toReadFailure)
    .map((listing) => listing.entries.map(toStoredService).sort(byName))
}

/**
 * Returns whether a service is stored as deleted.
 *
 * @example
 * ```ts
 * services.filter((service) => !isDeleted(service))
 * ```
 */
export function isDeleted (service: StoredService): boolean {
  return service.stored.isOk() && service.stored.value.content === null
}

/**
 * Returns the stored revision of a service: 0 if it is not stored, undefined if it can't be read.
 *
 * @example
 * ```ts
 * revisionOf(services, 'listings') // 4
 * ```
 */
export function revisionOf (services: readonly StoredService[], service: string): number | undefined {
  const found = services.find((each) => each.service === service)
  if (found === undefined) return 0
  return found.stored.isOk() ? found.stored.value.revision : undefined
}

/**
 * Parses the document of a stored service. Returns undefined if the service is deleted or its document is not valid.
 *
 * @example
 * ```ts
 * const documents = services.map(parseContent)
 * ```
 */
export function parseContent (service: StoredService): document.serviceDocument.ServiceDocument | undefined {
  const content = service.stored.isOk() ? service.stored.value.content : null
  return content === null ? undefined : document.parseServiceDocument.parseServiceDocument(content).unwrapOr(undefined)
}

/**
 * Reads the stored document of one service.
 *
 * @example
 * ```ts
 * const stored = await readService(ports, 'listings')
 * ```
 */
export function readService (dependencies: ports.Ports, service: string): neverthrow.ResultAsync<StoredDocument, failure.Failure> {
  return dependencies.keyValue.get(document.storedDocument.documentKey(service))
    .mapErr(toReadFailure)
    .andThen((entry) => entry === undefined
      ? neverthrow.err(new failure.Failure('notFound', 'unknown-service', { service }))
      : document.storedDocument.readStoredDocument(service, entry.value)
        .mapErr((error) => new failure.Failure('invalid', 'unreadable-document', { detail: error.message })))
}
