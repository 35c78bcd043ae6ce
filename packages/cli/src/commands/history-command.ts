/**
 * `persimmonhatch history`.
 *
 * @module
 */
import * as clipanion from 'clipanion'
import type * as session from '../session.js'
import * as showDocuments from '../show-documents.js'
import * as baseCommand from './base-command.js'

/** Lists the recent changes of a service. */
export class HistoryCommand extends baseCommand.BaseCommand {
  static override readonly paths = [['history']]

  static override readonly usage = clipanion.Command.Usage({
    category: 'Documents',
    description: 'List who changed a service, when and why',
    examples: [['List the recent changes', '$0 history listings']]
  })

  readonly service = clipanion.Option.String({ name: 'SERVICE', required: true })

  protected override perform (run: session.Session): session.Outcome {
    return showDocuments.showHistory(run, this.service)
  }
}
