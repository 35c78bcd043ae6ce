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

type Verdict = document.changeFlow.ChangeOutcome

interface Wording {
  readonly exit: exitCode.ExitName
  readonly id: message.MessageId
  readonly figures: message.Figures
}

function showReplaced (replaced: document.storedDocument.StoredDocument | undefined): string {
  if (replaced === undefined) return 'nothing'
  return `revision ${replaced.revision} by ${replaced.change.operator}`
}

function wordStored (stored: document.storedDocument.StoredDocument): message.Figures {
  return { revision: stored.revision, operator: stored.change.operator, at: changeText.showTime(stored.change.atMs) }
}

function wordVerdict (verdict: Verdict): Wording {
  switch (verdict.kind) {
    case 'already-in-force':
      return { exit: 'done', id: verdict.stored.content === null ? 'already-deleted' : 'already-in-force', figures: wordStored(verdict.stored) }
    case 'took-effect':
      return { exit: 'done', id: verdict.answerLost ? 'took-effect-answer-lost' : 'took-effect', figures: { revision: verdict.revision, replaced: showReplaced(verdict.replaced) } }
    case 'superseded':
      return { exit: 'notInForce', id: 'superseded', figures: { revision: verdict.revision, changes: changeText.showChanges(verdict.since) } }
    case 'raced':
      return { exit: 'conflict', id: 'raced', figures: { changes: changeText.showChanges(verdict.since) } }
    case 'not-sent':
      return { exit: 'platformUnreachable', id: 'not-sent', figures: { detail: verdict.message } }
    case 'unknown':
      return { exit: 'unknown', id: 'unknown', figures: { detail: verdict.message } }
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
export function reportVerdict (request: document.changePlan.ChangeRequest, verdict: Verdict): neverthrow.Result<session.Report, failure.Failure> {
  const { exit, id, figures } = wordVerdict(verdict)
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
export function planFailure (error: document.changePlan.Failure): failure.Failure {
  if (error.kind !== 'changed-since-read') return new failure.Failure('invalid', 'unreadable-document', { detail: error.message })
  return new failure.Failure('conflict', 'changed-since-read', {
    service: error.service,
    expected: error.expectedRevision,
    revision: error.current?.revision ?? 0,
    changes: changeText.showChanges(error.since)
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
export function withoutStatedRevision (error: failure.Failure): failure.Failure {
  return error.id === 'changed-since-read' ? new failure.Failure('conflict', 'raced', error.figures) : error
}
