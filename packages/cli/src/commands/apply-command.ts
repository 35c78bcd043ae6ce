/**
 * `persimmonhatch apply`.
 *
 * @module
 */
import * as clipanion from 'clipanion'
import * as applyDocument from '../apply-document.js'
import type * as session from '../session.js'
import * as changeCommand from './change-command.js'

/** Stores a file as the document of its service. */
export class ApplyCommand extends changeCommand.ChangeCommand {
  static override readonly paths = [['apply']]

  static override readonly usage = clipanion.Command.Usage({
    category: 'Documents',
    description: 'Store a file as the document of its service',
    details: `
      Validates the file, checks it against the documents of the other services, and writes it in one compare-and-swap.
      If the platform's response is lost, the document is read back to find out whether it was stored.

      A file from \`persimmonhatch show\` begins with a line that names its revision. It is refused if the document has changed since.
    `,
    examples: [
      ['Apply a document', '$0 apply listings.jsonc'],
      ['Apply it and wait until every live daemon has it in force', '$0 apply listings.jsonc --wait 10 --comment "add engine-c"'],
      ['Apply it only over revision 4', '$0 apply listings.jsonc --expect-revision 4']
    ]
  })

  readonly file = clipanion.Option.String({ name: 'FILE', required: true })

  protected override perform (run: session.Session): session.Outcome {
    return this.changeOptions().asyncAndThen((options) => applyDocument.applyDocument(run, this.file, options))
  }
}
