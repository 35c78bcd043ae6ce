/**
 * Flags of the commands that change the document of a service.
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

/** Command that changes a document. */
export abstract class ChangeCommand extends baseCommand.BaseCommand {
  readonly wait = clipanion.Option.String('--wait', { description: 'Wait up to this many seconds until the change is in force at every live daemon' })
  readonly expectRevision = clipanion.Option.String('--expect-revision', { description: 'Write only if this revision is stored; 0 if the service must not be stored yet' })
  readonly comment = clipanion.Option.String('--comment', '', { description: 'Reason for the change, shown by history' })
  readonly operator = clipanion.Option.String('--operator', { description: 'Operator recorded with the change' })
  readonly replaceUnreadable = clipanion.Option.Boolean('--replace-unreadable', false, { description: 'Write over a stored value that cannot be read; its history is lost' })

  protected override operatorFlag (): string | undefined {
    return this.operator
  }

  /** Validates the flags. */
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
