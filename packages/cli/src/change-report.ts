/**
 * The report on a change, from its verdict.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'
import * as neverthrow from 'neverthrow'
import * as changeText from './change-text.js'
import type * as exitCode from './exit-code.js'
import * as failure from './failure.js'
import * as message from './message.js'
import type * as session from './session.js'

type ChangeOutcome = document.changeFlow.Verdict

interface OutcomeMessage {
  readonly exit: exitCode.ExitName
  readonly id: message.MessageId
  readonly figures: message.Figures
}

function formatReplaced (replaced: document.storedDocument.StoredDocument | undefined): string {
  if (replaced === undefined) return 'nothing'
  return `revision ${replaced.revision} by ${replaced.change.operator}`
}

function storedFigures (stored: document.storedDocument.StoredDocument): message.Figures {
  return { revision: stored.revision, operator: stored.change.operator, at: changeText.formatTime(stored.change.atMs) }
}

function toOutcomeMessage (outcome: ChangeOutcome): OutcomeMessage {
  switch (outcome.kind) {
    case 'already-in-force':
      return { exit: 'done', id: outcome.stored.content === null ? 'already-deleted' : 'already-in-force', figures: storedFigures(outcome.stored) }
    case 'took-effect':
      return { exit: 'done', id: outcome.answerLost ? 'took-effect-answer-lost' : 'took-effect', figures: { revision: outcome.revision, replaced: formatReplaced(outcome.replaced) } }
    case 'superseded':
      return { exit: 'notInForce', id: 'superseded', figures: { revision: outcome.revision, changes: changeText.formatChanges(outcome.since) } }
    case 'raced':
      return { exit: 'conflict', id: 'raced', figures: { changes: changeText.formatChanges(outcome.since) } }
    case 'not-sent':
      return { exit: 'platformUnreachable', id: 'not-sent', figures: { detail: outcome.message } }
    case 'unknown':
      return { exit: 'unknown', id: 'unknown', figures: { detail: outcome.message } }
  }
}

/**
 * The report on a change whose truth is known, and on one where it is not.
 *
 * @example
 * ```ts
 * reportVerdict(request, verdict).map((report) => report.text)
 * ```
 */
export function reportOutcome (request: document.changePlan.Request, outcome: ChangeOutcome): neverthrow.Result<session.Report, failure.Failure> {
  const { exit, id, figures } = toOutcomeMessage(outcome)
  const complete = { service: request.service, changeId: request.change.id, ...figures }
  if (exit !== 'done' && exit !== 'notInForce') return neverthrow.err(new failure.Failure(exit, id, complete))
  return neverthrow.ok({ exit, text: message.formatMessage(id, complete), json: { outcome: id, ...complete } })
}

/**
 * The failure to report when a change could not be planned.
 *
 * @example
 * ```ts
 * planFailure(error).exit // 'conflict'
 * ```
 */
export function toPlanFailure (error: document.changePlan.Failure): failure.Failure {
  if (error.kind !== 'changed-since-read') return new failure.Failure('invalid', 'unreadable-document', { detail: error.message })
  return new failure.Failure('conflict', 'changed-since-read', {
    service: error.service,
    expected: error.expectedRevision,
    revision: error.current?.revision ?? 0,
    changes: changeText.formatChanges(error.since)
  })
}

/**
 * The failure to report when the operator stated no revision: the other change came while the tool ran.
 *
 * @example
 * ```ts
 * withoutStatedRevision(planFailure(error)).id // 'raced'
 * ```
 */
export function toRacedFailure (error: failure.Failure): failure.Failure {
  return error.id === 'changed-since-read' ? new failure.Failure('conflict', 'raced', error.figures) : error
}
