/**
 * Changes or deletes a service's document.
 *
 * @module
 */
import * as document from '@persimmonhatch/document'
import * as neverthrow from 'neverthrow'
import * as awaitRevision from './await-revision.js'
import * as changeReport from './change-report.js'
import * as changeText from './change-text.js'
import * as daemons from './daemons.js'
import * as failure from './failure.js'
import * as message from './message.js'
import * as performChange from './perform-change.js'
import type * as session from './session.js'
import * as store from './store.js'

/** Options of a change. */
export interface Options {
  readonly comment: string
  readonly expectedRevision: number | undefined
  readonly replaceUnreadable: boolean
  /** Maximum wait until the change is in force at the daemons, seconds; undefined not to wait. */
  readonly waitS: number | undefined
}

type ServiceDocument = document.serviceDocument.ServiceDocument
type ReportGenerator = AsyncGenerator<neverthrow.Err<never, failure.Failure>, neverthrow.Result<session.Report, failure.Failure>>

function formatProblems (problems: readonly document.problem.Problem[]): string {
  return problems.map((each) => `  ${document.problem.formatProblem(each)}`).join('\n')
}

function parseFile (file: string, content: string): neverthrow.Result<ServiceDocument, failure.Failure> {
  return document.parseServiceDocument.parseServiceDocument(content)
    .mapErr((error) => new failure.Failure('invalid', 'invalid-document', { file, problems: formatProblems(error.problems) }))
}

// Valid documents of the other services, and the names of services whose documents are not valid.
interface OtherServices {
  /** Stored revision of the service itself; undefined if it can't be read. */
  readonly ownRevision: number | undefined
  readonly documents: readonly ServiceDocument[]
  readonly invalid: readonly string[]
}

async function readOthers (run: session.Session, service: string): Promise<neverthrow.Result<OtherServices, failure.Failure>> {
  const listed = await store.listServices(run.ports)
  return listed.map((services) => {
    const stored = services.filter((each) => each.service !== service && !store.isDeleted(each))
    const parsed = stored.map((each) => ({ service: each.service, document: store.parseContent(each) }))
    return {
      ownRevision: store.revisionOf(services, service),
      documents: parsed.flatMap((each) => each.document === undefined ? [] : [each.document]),
      invalid: parsed.flatMap((each) => each.document === undefined ? [each.service] : [])
    }
  })
}

function checkOthers (file: string, checked: ServiceDocument, others: OtherServices): neverthrow.Result<void, failure.Failure> {
  const problems = document.checkAgainstOthers.checkAgainstOthers(checked, others.documents)
  if (problems.length === 0) return neverthrow.ok(undefined)
  return neverthrow.err(new failure.Failure('invalid', 'conflicting-documents', { file, problems: formatProblems(problems) }))
}

function checkOrigin (file: string, service: string, origin: changeText.Origin | undefined): neverthrow.Result<void, failure.Failure> {
  if (origin === undefined || origin.service === service) return neverthrow.ok(undefined)
  return neverthrow.err(new failure.Failure('invalid', 'origin-of-another-service', { file, service, origin: origin.service }))
}

// Two documents that are checked at the same time may both pass and still disagree once both are stored.
async function noteConflicts (run: session.Session, checked: ServiceDocument): Promise<readonly session.Note[]> {
  const others = await readOthers(run, checked.service)
  const problems = others.isOk() ? document.checkAgainstOthers.checkAgainstOthers(checked, others.value.documents) : []
  if (problems.length === 0) return []
  return [{ exit: 'notInForce', text: message.formatMessage('conflicting-since', { problems: formatProblems(problems) }) }]
}

// Validated new content, and remarks from its validation.
interface Edit {
  readonly content: string | null
  readonly document: ServiceDocument | undefined
  readonly notes: readonly session.Note[]
}

interface RevisionInForce {
  readonly revision: number
  readonly isReported: boolean
}

async function findRevisionInForce (run: session.Session, service: string): Promise<RevisionInForce> {
  const results = await daemons.fetchSampledStatuses(run)
  const services = results.flatMap((result) => result.status.isOk() ? result.status.value.services : [])
  const revisions = services.filter((each) => each.service === service).map((each) => each.revision)
  return { revision: Math.max(0, ...revisions), isReported: results.some((result) => result.status.isOk()) }
}

function toAwaitedRevision (request: document.changePlan.ChangeRequest, outcome: document.changeFlow.ChangeOutcome): awaitRevision.StoredRevision | undefined {
  const service = request.service
  if (outcome.kind === 'took-effect') return { service, revision: outcome.revision, changeId: request.change.id }
  if (outcome.kind === 'already-in-force') return { service, revision: outcome.stored.revision, changeId: outcome.stored.change.id }
  return undefined
}

function joinReports (stored: session.Report, notes: readonly session.Note[], waited: session.Report | undefined): session.Report {
  const reports = waited === undefined ? [stored, ...notes] : [stored, ...notes, waited]
  const exit = reports.find((part) => part.exit !== 'done')?.exit ?? 'done'
  const json = { ...stored.json as object, notes: notes.map((note) => note.text) }
  const text = reports.map((part) => part.text).join('\n')
  return { exit, text, json: waited === undefined ? json : { ...json, daemons: waited.json } }
}

async function * changeDocument (run: session.Session, service: string, edit: Edit, options: Options): ReportGenerator {
  const inForce = await findRevisionInForce(run, service)
  const request = {
    service,
    content: edit.content,
    change: { id: run.ports.createChangeId(), operator: run.operator, atMs: run.ports.nowMs(), comment: options.comment },
    expectedRevision: options.expectedRevision,
    revisionInForce: inForce.revision,
    replaceUnreadable: options.replaceUnreadable,
    hash: run.ports.hash
  }
  const outcome = yield * (await performChange.performChange(run.ports, request)).mapErr(changeReport.toPlanFailure)
  const report = yield * changeReport.reportOutcome(request, outcome)
  const notes: session.Note[] = [...edit.notes]
  if (!inForce.isReported) notes.push({ exit: 'done', text: message.formatMessage('revision-unchecked', {}) })
  if (edit.document !== undefined) notes.push(...await noteConflicts(run, edit.document))
  const awaited = toAwaitedRevision(request, outcome)
  const waited = options.waitS === undefined || awaited === undefined ? undefined : await awaitRevision.awaitRevision(run, awaited, options.waitS)
  return neverthrow.ok(joinReports(report, notes, waited))
}

function noteInvalidServices (others: OtherServices): readonly session.Note[] {
  if (others.invalid.length === 0) return []
  return [{ exit: 'done', text: message.formatMessage('others-unreadable', { services: others.invalid.join(', ') }) }]
}

/**
 * Validates a file and stores it as the document of its service.
 *
 * @example
 * ```ts
 * const report = await applyDocument(session, 'listings.jsonc', options)
 * ```
 */
export function applyDocument (run: session.Session, file: string, options: Options): session.Outcome {
  return neverthrow.safeTry<session.Report, failure.Failure>(async function * () {
    const { content, origin } = changeText.splitRevisionLine(yield * run.files.read(file))
    const checked = yield * parseFile(file, content)
    yield * checkOrigin(file, checked.service, origin)
    const others = yield * await readOthers(run, checked.service)
    yield * checkOthers(file, checked, others)
    const edit = { content, document: checked, notes: noteInvalidServices(others) }
    const statedRevision = options.expectedRevision ?? origin?.revision
    if (statedRevision !== undefined) return yield * changeDocument(run, checked.service, edit, { ...options, expectedRevision: statedRevision })
    // The checks are valid only for the listed documents, so a change made since then counts as concurrent.
    const listedOptions = { ...options, expectedRevision: others.ownRevision }
    const changed = await neverthrow.safeTry(() => changeDocument(run, checked.service, edit, listedOptions))
    return changed.mapErr(changeReport.toRacedFailure)
  })
}

async function canDelete (run: session.Session, service: string, error: failure.Failure, options: Options): Promise<boolean> {
  if (error.exit === 'notFound') return (await findRevisionInForce(run, service)).revision > 0
  return error.exit === 'invalid' && options.replaceUnreadable
}

/**
 * Deletes a service but keeps its revision number and history. A service that the platform has lost but
 * that is still in force at daemons can be deleted too.
 *
 * @example
 * ```ts
 * const report = await deleteDocument(session, 'listings', options)
 * ```
 */
export function deleteDocument (run: session.Session, service: string, options: Options): session.Outcome {
  return neverthrow.safeTry<session.Report, failure.Failure>(async function * () {
    const stored = await store.readService(run.ports, service)
    if (stored.isErr() && !await canDelete(run, service, stored.error, options)) return neverthrow.err(stored.error)
    return yield * changeDocument(run, service, { content: null, document: undefined, notes: [] }, options)
  })
}
