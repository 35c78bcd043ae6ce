/**
 * Flags of the commands that change a service's document.
 *
 * @module
 */
import * as document from '@persimmonhatch/document'
import * as clipanion from 'clipanion'
import * as neverthrow from 'neverthrow'
import type * as applyDocument from '../apply-document.js'
import * as failure from '../failure.js'
import * as baseCommand from './base-command.js'

const MAX_WAIT_S = 3_600
const MAX_REVISION = 999_999_999

/** A command that changes a document. */
export abstract class ChangeCommand extends baseCommand.BaseCommand {
  readonly wait = clipanion.Option.String('--wait', { description: 'Wait up to this many seconds until every live daemon has the change in force' })
  readonly expectRevision = clipanion.Option.String('--expect-revision', { description: 'Write only when this revision is stored; 0 when none may be' })
  readonly comment = clipanion.Option.String('--comment', '', { description: 'Why the change is made, for history' })
  readonly operator = clipanion.Option.String('--operator', { description: 'Name under which the change is recorded' })
  readonly replaceUnreadable = clipanion.Option.Boolean('--replace-unreadable', false, { description: 'Write over a stored value that cannot be read; its history is lost' })

  protected override operatorFlag (): string | undefined {
    return this.operator
  }

  /** The flags, checked. */
  protected changeOptions (): neverthrow.Result<applyDocument.Options, failure.Failure> {
    return neverthrow.safeTry<applyDocument.Options, failure.Failure>(function * (this: ChangeCommand) {
      const waitS = yield * baseCommand.parseCount('--wait', this.wait, { least: 0, most: MAX_WAIT_S })
      const expectedRevision = yield * baseCommand.parseCount('--expect-revision', this.expectRevision, { least: 0, most: MAX_REVISION })
      const most = document.storedDocument.MAX_COMMENT_CHARACTERS
      if (this.comment.length > most) return neverthrow.err(new failure.Failure('usage', 'comment-too-long', { most }))
      return neverthrow.ok({ waitS, expectedRevision, comment: this.comment, replaceUnreadable: this.replaceUnreadable })
    }.bind(this))
  }
}
