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
  return problems.map((each) => `  ${document.problem.describeProblem(each)}`).join('\n')
}

function parse (file: string, content: string): neverthrow.Result<ServiceDocument, failure.Failure> {
  return document.parseServiceDocument.parseServiceDocument(content)
    .mapErr((error) => new failure.Failure('invalid', 'invalid-document', { file, problems: showProblems(error.problems) }))
}

function parseStored (service: store.StoredService): readonly ServiceDocument[] {
  const content = service.stored.isOk() ? service.stored.value.content : null
  const parsed = content === null ? undefined : document.parseServiceDocument.parseServiceDocument(content)
  return parsed?.isOk() === true ? [parsed.value] : []
}

function checkOthers (file: string, checked: ServiceDocument, services: readonly store.StoredService[]): neverthrow.Result<void, failure.Failure> {
  const problems = document.checkAgainstOthers.checkAgainstOthers(checked, services.flatMap(parseStored))
  if (problems.length === 0) return neverthrow.ok(undefined)
  return neverthrow.err(new failure.Failure('invalid', 'conflicting-documents', { file, problems: showProblems(problems) }))
}

interface InForce {
  readonly revision: number
  readonly asked: boolean
}

async function findInForce (run: session.Session, service: string): Promise<InForce> {
  const everyone = await daemons.askEveryone(run)
  const known = everyone.flatMap((asked) => asked.status.isOk() ? asked.status.value.services : [])
  const revisions = known.filter((each) => each.service === service).map((each) => each.revision)
  return { revision: Math.max(0, ...revisions), asked: everyone.some((asked) => asked.status.isOk()) }
}

function toWanted (request: document.changePlan.Request, verdict: document.changeFlow.Verdict): awaitRevision.Wanted | undefined {
  const service = request.service
  if (verdict.kind === 'took-effect') return { service, revision: verdict.revision, changeId: request.change.id }
  if (verdict.kind === 'already-in-force') return { service, revision: verdict.stored.revision, changeId: verdict.stored.change.id }
  return undefined
}

function join (stored: session.Report, notes: readonly string[], waited: session.Report | undefined): session.Report {
  if (waited === undefined) return { ...stored, text: [stored.text, ...notes].join('\n') }
  const text = [stored.text, ...notes, waited.text].join('\n')
  return { exit: waited.exit, text, json: { ...stored.json as object, daemons: waited.json } }
}

async function * change (run: session.Session, service: string, content: string | null, choices: Choices): Failures {
  const inForce = await findInForce(run, service)
  const request = {
    service,
    content,
    change: { id: run.ports.createChangeId(), operator: run.operator, atMs: run.ports.nowMs(), comment: choices.comment },
    expectedRevision: choices.expectedRevision,
    revisionInForce: inForce.revision,
    replaceUnreadable: choices.replaceUnreadable,
    hash: run.ports.hash
  }
  const verdict = yield * (await performChange.performChange(run.ports, request)).mapErr(changeReport.planFailure)
  const report = yield * changeReport.reportVerdict(request, verdict)
  const wanted = choices.waitS === undefined ? undefined : toWanted(request, verdict)
  const waited = wanted === undefined ? undefined : await awaitRevision.awaitRevision(run, wanted, choices.waitS ?? 0)
  const notes = inForce.asked ? [] : [message.formatMessage('revision-unchecked', {})]
  return neverthrow.ok(join(report, notes, waited))
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
    const edited = changeText.takeRevisionLine(yield * run.files.read(file))
    const checked = yield * parse(file, edited.content)
    const services = yield * store.listServices(run.ports)
    yield * checkOthers(file, checked, services)
    const expectedRevision = choices.expectedRevision ?? edited.revision
    return yield * change(run, checked.service, edited.content, { ...choices, expectedRevision })
  })
}

/**
 * Deletes a service; its revisions and chain of changes are kept.
 *
 * @example
 * ```ts
 * const report = await deleteDocument(session, 'listings', choices)
 * ```
 */
export function deleteDocument (run: session.Session, service: string, choices: Choices): session.Outcome {
  return neverthrow.safeTry<session.Report, failure.Failure>(async function * () {
    yield * store.readService(run.ports, service)
    return yield * change(run, service, null, choices)
  })
}
