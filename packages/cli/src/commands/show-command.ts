/**
 * `persimmonhatch show`.
 *
 * @module
 */
import * as clipanion from 'clipanion'
import type * as session from '../session.js'
import * as showDocuments from '../show-documents.js'
import * as baseCommand from './base-command.js'

/** Shows one document, or lists all. */
export class ShowCommand extends baseCommand.BaseCommand {
  static override readonly paths = [['show']]

  static override readonly usage = clipanion.Command.Usage({
    category: 'Documents',
    description: 'Show a service\'s document, or list all services',
    examples: [
      ['List the services', '$0 show'],
      ['Edit a document', '$0 show listings > listings.jsonc']
    ]
  })

  readonly service = clipanion.Option.String({ name: 'SERVICE', required: false })

  protected override perform (run: session.Session): session.Outcome {
    return this.service === undefined ? showDocuments.listDocuments(run) : showDocuments.showDocument(run, this.service)
  }
}
