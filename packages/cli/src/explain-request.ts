/**
 * Explains a past request from a daemon's record of it or from its receipt.
 *
 * @module
 */
import * as neverthrow from 'neverthrow'
import * as z from 'zod'
import * as daemons from './daemons.js'
import * as failure from './failure.js'
import * as receipt from './receipt.js'
import type * as session from './session.js'

const IDENTITY = /^([a-z0-9]{1,40})\.\d+\.[A-Za-z0-9_-]{1,40}$/
const HTTP_OK = 200

const responseSchema = z.object({ receipt: z.unknown(), sentences: z.array(z.string()).readonly().default([]) }).readonly()

interface RequestRecord {
  readonly receipt: receipt.Receipt
  readonly sentences: readonly string[]
}

/** One daemon's record of a request, or why there is none. */
interface LookupResult {
  readonly address: string
  readonly record: neverthrow.Result<RequestRecord, string>
}

const DECIMALS = 2

function formatFigure (value: string | number): string {
  return typeof value === 'number' ? String(Number(value.toFixed(DECIMALS))) : value
}

function report (record: RequestRecord): session.Report {
  const { sentences, remedy } = receipt.explainReceipt(record.receipt, record.sentences)
  const figures = Object.entries(record.receipt.figures).map(([name, value]) => `  ${name}: ${formatFigure(value)}`)
  const lines = [
    sentences.join(' '),
    ...(remedy === undefined ? [] : [`What to do: ${remedy}`]),
    ...(figures.length === 0 ? [] : ['Figures:', ...figures])
  ]
  return { exit: 'done', text: lines.join('\n'), json: { receipt: record.receipt, sentences, remedy } }
}

function parseRecord (body: unknown): neverthrow.Result<RequestRecord, string> {
  const parsed = responseSchema.safeParse(body)
  if (!parsed.success) return neverthrow.err('sent an unexpected response')
  return receipt.checkReceipt(parsed.data.receipt)
    .map((checked) => ({ receipt: checked, sentences: parsed.data.sentences }))
    .mapErr((error) => error.message)
}

async function fetchRecord (run: session.Session, address: string, identity: string): Promise<LookupResult> {
  const response = await run.ports.queryDaemon(address, `/v1/requests/${identity}`)
  const record = response
    .mapErr((error) => error.message)
    .andThen(({ status, body }) => status === HTTP_OK ? parseRecord(body) : neverthrow.err('has no record of it'))
  return { address, record }
}

function sortOwnerFirst (results: readonly daemons.StatusResult[], incarnation: string): readonly daemons.StatusResult[] {
  const isOwner = (daemon: daemons.StatusResult): boolean => daemon.status.isOk() && daemon.status.value.incarnation === incarnation
  return [...results.filter(isOwner), ...results.filter((daemon) => !isOwner(daemon))]
}

async function fetchInOrder (run: session.Session, identity: string, daemonsInOrder: readonly daemons.StatusResult[]): Promise<readonly LookupResult[]> {
  const lookups: LookupResult[] = []
  for (const daemon of daemonsInOrder) {
    const lookup = daemon.status.isOk()
      ? await fetchRecord(run, daemon.address, identity)
      : { address: daemon.address, record: neverthrow.err(daemon.status.error.message) }
    lookups.push(lookup)
    if (lookup.record.isOk()) break
  }
  return lookups
}

function notFoundFailure (identity: string, results: readonly daemons.StatusResult[], lookups: readonly LookupResult[]): failure.Failure {
  if (results.length === 0) return new failure.Failure('daemonUnreachable', 'no-daemon-known', {})
  const lines = lookups.flatMap(({ address, record }) => record.isErr() ? [`  ${address}: ${record.error}`] : []).join('\n')
  if (results.every((daemon) => daemon.status.isErr())) return new failure.Failure('daemonUnreachable', 'no-daemon-reached', { daemons: lines })
  return new failure.Failure('notFound', 'request-not-found', { identity, daemons: lines })
}

/**
 * Explains the request with an identity. Queries the daemon that owns the identity first, then the others.
 *
 * @example
 * ```ts
 * const report = await explainIdentity(session, 'k3v9x0q2m1abc.17.a1')
 * ```
 */
export function explainIdentity (run: session.Session, identity: string): session.Outcome {
  return neverthrow.safeTry<session.Report, failure.Failure>(async function * () {
    const incarnation = IDENTITY.exec(identity)?.[1]
    if (incarnation === undefined) return neverthrow.err(new failure.Failure('usage', 'identity-malformed', { identity }))
    const results = await daemons.fetchAllStatuses(run, daemons.ALL_DISCOVERED)
    const lookups = await fetchInOrder(run, identity, sortOwnerFirst(results, incarnation))
    const last = lookups.at(-1)?.record
    return last?.isOk() === true ? neverthrow.ok(report(last.value)) : neverthrow.err(notFoundFailure(identity, results, lookups))
  })
}

/**
 * Explains a receipt without querying any daemon.
 *
 * @example
 * ```ts
 * const report = await explainReceipt('eyJpZGVudGl0eSI6…')
 * ```
 */
export function explainReceipt (text: string): session.Outcome {
  return new neverthrow.ResultAsync(Promise.resolve(receipt.decodeReceipt(text).map((decoded) => report({ receipt: decoded, sentences: [] }))))
}
