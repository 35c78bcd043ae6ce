/**
 * `persimmonhatch delete`.
 *
 * @module
 */
import * as clipanion from 'clipanion'
import * as applyDocument from '../apply-document.js'
import type * as session from '../session.js'
import * as changeCommand from './change-command.js'

/** Deletes a service. */
export class DeleteCommand extends changeCommand.ChangeCommand {
  static override readonly paths = [['delete']]

  static override readonly usage = clipanion.Command.Usage({
    category: 'Documents',
    description: 'Delete a service',
    details: 'Daemons stop accepting requests for the service. Its history is kept, and its revision numbers continue if it is applied again.',
    examples: [['Delete a service only at revision 7', '$0 delete listings --expect-revision 7']]
  })

  readonly service = clipanion.Option.String({ name: 'SERVICE', required: true })

  protected override perform (run: session.Session): session.Outcome {
    return this.changeOptions().asyncAndThen((options) => applyDocument.deleteDocument(run, this.service, options))
  }
}
