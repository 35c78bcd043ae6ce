/**
 * Watches a prefix through the etcd v3 JSON gateway.
 *
 * @module
 */
import * as undici from 'undici'
import * as etcdSchema from './etcd-schema.js'
import * as jsonCall from './json-call.js'
import * as jsonLines from './json-lines.js'
import * as keyValue from './key-value.js'

/** Endpoint, prefix and timeouts of a watch. */
export interface Options {
  readonly client: undici.Dispatcher
  readonly endpoint: string
  readonly prefix: string
  readonly afterRevision: number
  /** Maximum wait for the watch to start. */
  readonly startTimeoutMs: number
  /** Idle time after which the watch fails. */
  readonly idleTimeoutMs: number
  readonly signal: AbortSignal
}

function watchLost (url: string, detail: string): keyValue.PlatformFailure {
  return new keyValue.PlatformFailure('unavailable', `The watch at ${url} ended: ${detail}. List the prefix again and watch from its revision.`)
}

async function open (url: string, options: Options): Promise<undici.Dispatcher.ResponseData> {
  const body = {
    create_request: {
      key: etcdSchema.encodeBytes(options.prefix),
      range_end: etcdSchema.prefixEnd(options.prefix),
      start_revision: String(options.afterRevision + 1)
    }
  }
  return await undici.request(url, {
    dispatcher: options.client,
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
    headersTimeout: options.startTimeoutMs,
    bodyTimeout: options.idleTimeoutMs,
    signal: options.signal
  })
}

// A store that was restored from a backup may be behind the caller's revision. A watch from that
// revision would miss all changes up to it.
function storeRolledBack (url: string, revision: number, afterRevision: number): keyValue.PlatformFailure {
  return new keyValue.PlatformFailure('compacted', `${url} is at revision ${revision}, behind the last seen revision ${afterRevision}. List the prefix again and watch from its revision.`)
}

function readMessage (url: string, line: string, afterRevision: number): etcdSchema.WatchMessage {
  const json = jsonCall.parseJson(line).unwrapOr(undefined)
  const message = etcdSchema.WATCH_MESSAGE.safeParse(json)
  if (!message.success) throw jsonCall.toFailure('read', url, 200, line)
  const { result } = message.data
  if (result.compact_revision > 0) throw new keyValue.PlatformFailure('compacted', `${url} no longer holds changes before revision ${result.compact_revision}. List the prefix again and watch from its revision.`)
  if (result.header.revision < afterRevision) throw storeRolledBack(url, result.header.revision, afterRevision)
  if (result.canceled) throw watchLost(url, result.cancel_reason || 'cancelled by the service')
  return result
}

function toChanges (message: etcdSchema.WatchMessage): readonly keyValue.Change[] {
  return message.events.map((event) => ({
    key: event.kv.key,
    value: event.type === 'DELETE' ? undefined : event.kv.value,
    modRevision: event.kv.mod_revision
  }))
}

/**
 * Yields the changes under a prefix. Returns when the signal aborts, and otherwise ends by throwing a `PlatformFailure`.
 *
 * @example
 * ```ts
 * for await (const changes of etcdWatch({ client, endpoint, prefix: '/a/', afterRevision: 7, startTimeoutMs: 500, idleTimeoutMs: 60_000, signal })) apply(changes)
 * ```
 */
export async function * etcdWatch (options: Options): AsyncGenerator<readonly keyValue.Change[]> {
  const url = `${options.endpoint}/v3/watch`
  try {
    const response = await open(url, options)
    if (response.statusCode !== 200) throw jsonCall.toFailure('read', url, response.statusCode, await response.body.text())
    for await (const line of jsonLines.jsonLines(response.body)) {
      const changes = toChanges(readMessage(url, line, options.afterRevision))
      if (changes.length > 0) yield changes
    }
    throw watchLost(url, 'the connection closed')
  } catch (error) {
    if (options.signal.aborted) return
    throw error instanceof keyValue.PlatformFailure ? error : watchLost(url, String(error))
  }
}
