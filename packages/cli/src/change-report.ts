/**
 * Builds the report on a change from its outcome.
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

type ChangeOutcome = document.changeFlow.ChangeOutcome

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
 * Builds the report, or the failure, for the outcome of a change.
 *
 * @example
 * ```ts
 * reportOutcome(request, outcome).map((report) => report.text)
 * ```
 */
export function reportOutcome (request: document.changePlan.ChangeRequest, outcome: ChangeOutcome): neverthrow.Result<session.Report, failure.Failure> {
  const { exit, id, figures } = toOutcomeMessage(outcome)
  const complete = { service: request.service, changeId: request.change.id, ...figures }
  if (exit !== 'done' && exit !== 'notInForce') return neverthrow.err(new failure.Failure(exit, id, complete))
  return neverthrow.ok({ exit, text: message.formatMessage(id, complete), json: { outcome: id, ...complete } })
}

/**
 * Converts the failure to plan a change to a failure of the command.
 *
 * @example
 * ```ts
 * toPlanFailure(error).exit // 'conflict'
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
 * Converts `changed-since-read` to `raced` for an operator who stated no revision: the other change was made
 * while the tool ran.
 *
 * @example
 * ```ts
 * toRacedFailure(toPlanFailure(error)).id // 'raced'
 * ```
 */
export function toRacedFailure (error: failure.Failure): failure.Failure {
  return error.id === 'changed-since-read' ? new failure.Failure('conflict', 'raced', error.figures) : error
}
