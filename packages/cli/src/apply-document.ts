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

/** How a change is to be made. */
export interface Choices {
  readonly comment: string
  readonly expectedRevision: number | undefined
  readonly replaceUnreadable: boolean
  /** Longest wait for the daemons; undefined not to wait. */
  readonly waitS: number | undefined
}

type ServiceDocument = document.serviceDocument.ServiceDocument
type Failures = AsyncGenerator<neverthrow.Err<never, failure.Failure>, neverthrow.Result<session.Report, failure.Failure>>

function showProblems (problems: readonly document.problem.Problem[]): string {
  return problems.map((each) => `  ${document.problem.formatProblem(each)}`).join('\n')
}

function parse (file: string, content: string): neverthrow.Result<ServiceDocument, failure.Failure> {
  return document.parseServiceDocument.parseServiceDocument(content)
    .mapErr((error) => new failure.Failure('invalid', 'invalid-document', { file, problems: showProblems(error.problems) }))
}

// Valid documents of other services, and the names of those that are not valid.
interface Others {
  /** Revision of the service itself; undefined when it can't be read. */
  readonly ownRevision: number | undefined
  readonly documents: readonly ServiceDocument[]
  readonly invalid: readonly string[]
}

async function readOthers (run: session.Session, service: string): Promise<neverthrow.Result<Others, failure.Failure>> {
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

function checkOthers (file: string, checked: ServiceDocument, others: Others): neverthrow.Result<void, failure.Failure> {
  const problems = document.checkAgainstOthers.checkAgainstOthers(checked, others.documents)
  if (problems.length === 0) return neverthrow.ok(undefined)
  return neverthrow.err(new failure.Failure('invalid', 'conflicting-documents', { file, problems: showProblems(problems) }))
}

function checkOrigin (file: string, service: string, origin: changeText.Origin | undefined): neverthrow.Result<void, failure.Failure> {
  if (origin === undefined || origin.service === service) return neverthrow.ok(undefined)
  return neverthrow.err(new failure.Failure('invalid', 'origin-of-another-service', { file, service, origin: origin.service }))
}

// Two documents may pass their checks at one time and still disagree once both are stored.
async function noteConflicts (run: session.Session, checked: ServiceDocument): Promise<readonly session.Note[]> {
  const others = await readOthers(run, checked.service)
  const problems = others.isOk() ? document.checkAgainstOthers.checkAgainstOthers(checked, others.value.documents) : []
  if (problems.length === 0) return []
  return [{ exit: 'notInForce', text: message.formatMessage('conflicting-since', { problems: showProblems(problems) }) }]
}

// The new content, checked, and what there is to say about the checks.
interface Edit {
  readonly content: string | null
  readonly document: ServiceDocument | undefined
  readonly notes: readonly session.Note[]
}

interface InForce {
  readonly revision: number
  readonly asked: boolean
}

async function findInForce (run: session.Session, service: string): Promise<InForce> {
  const some = await daemons.askSome(run)
  const known = some.flatMap((asked) => asked.status.isOk() ? asked.status.value.services : [])
  const revisions = known.filter((each) => each.service === service).map((each) => each.revision)
  return { revision: Math.max(0, ...revisions), asked: some.some((asked) => asked.status.isOk()) }
}

function toWanted (request: document.changePlan.ChangeRequest, verdict: document.changeFlow.ChangeOutcome): awaitRevision.StoredRevision | undefined {
  const service = request.service
  if (verdict.kind === 'took-effect') return { service, revision: verdict.revision, changeId: request.change.id }
  if (verdict.kind === 'already-in-force') return { service, revision: verdict.stored.revision, changeId: verdict.stored.change.id }
  return undefined
}

function join (stored: session.Report, notes: readonly session.Note[], waited: session.Report | undefined): session.Report {
  const parts = waited === undefined ? [stored, ...notes] : [stored, ...notes, waited]
  const exit = parts.find((part) => part.exit !== 'done')?.exit ?? 'done'
  const json = { ...stored.json as object, notes: notes.map((note) => note.text) }
  const text = parts.map((part) => part.text).join('\n')
  return { exit, text, json: waited === undefined ? json : { ...json, daemons: waited.json } }
}

async function * change (run: session.Session, service: string, edited: Edit, choices: Choices): Failures {
  const inForce = await findInForce(run, service)
  const request = {
    service,
    content: edited.content,
    change: { id: run.ports.createChangeId(), operator: run.operator, atMs: run.ports.nowMs(), comment: choices.comment },
    expectedRevision: choices.expectedRevision,
    revisionInForce: inForce.revision,
    replaceUnreadable: choices.replaceUnreadable,
    hash: run.ports.hash
  }
  const verdict = yield * (await performChange.performChange(run.ports, request)).mapErr(changeReport.planFailure)
  const report = yield * changeReport.reportVerdict(request, verdict)
  const notes: session.Note[] = [...edited.notes]
  if (!inForce.asked) notes.push({ exit: 'done', text: message.formatMessage('revision-unchecked', {}) })
  if (edited.document !== undefined) notes.push(...await noteConflicts(run, edited.document))
  const wanted = toWanted(request, verdict)
  const waited = choices.waitS === undefined || wanted === undefined ? undefined : await awaitRevision.awaitRevision(run, wanted, choices.waitS)
  return neverthrow.ok(join(report, notes, waited))
}

function noteInvalid (others: Others): readonly session.Note[] {
  if (others.invalid.length === 0) return []
  return [{ exit: 'done', text: message.formatMessage('others-unreadable', { services: others.invalid.join(', ') }) }]
}

/**
 * Checks a file and makes it its service's document.
 *
 * @example
 * ```ts
 * const report = await applyDocument(session, 'listings.jsonc', choices)
 * ```
 */
export function applyDocument (run: session.Session, file: string, choices: Choices): session.Outcome {
  return neverthrow.safeTry<session.Report, failure.Failure>(async function * () {
    const { content, origin } = changeText.takeRevisionLine(yield * run.files.read(file))
    const checked = yield * parse(file, content)
    yield * checkOrigin(file, checked.service, origin)
    const others = yield * await readOthers(run, checked.service)
    yield * checkOthers(file, checked, others)
    const edited = { content, document: checked, notes: noteInvalid(others) }
    const stated = choices.expectedRevision ?? origin?.revision
    if (stated !== undefined) return yield * change(run, checked.service, edited, { ...choices, expectedRevision: stated })
    // The checks hold for what was listed; a change made since then came at the same moment.
    const unstated = { ...choices, expectedRevision: others.ownRevision }
    const changed = await neverthrow.safeTry(() => change(run, checked.service, edited, unstated))
    return changed.mapErr(changeReport.withoutStatedRevision)
  })
}

async function mayDelete (run: session.Session, service: string, error: failure.Failure, choices: Choices): Promise<boolean> {
  if (error.exit === 'notFound') return (await findInForce(run, service)).revision > 0
  return error.exit === 'invalid' && choices.replaceUnreadable
}

/**
 * Deletes a service; its revisions and chain of changes are kept. A service that the platform has
 * lost, but daemons have in force, can be deleted too.
 *
 * @example
 * ```ts
 * const report = await deleteDocument(session, 'listings', choices)
 * ```
 */
export function deleteDocument (run: session.Session, service: string, choices: Choices): session.Outcome {
  return neverthrow.safeTry<session.Report, failure.Failure>(async function * () {
    const stored = await store.readService(run.ports, service)
    if (stored.isErr() && !await mayDelete(run, service, stored.error, choices)) return neverthrow.err(stored.error)
    return yield * change(run, service, { content: null, document: undefined, notes: [] }, choices)
  })
}
