/**
 * `persimmonhatch status`.
 *
 * @module
 */
import * as clipanion from 'clipanion'
import type * as session from '../session.js'
import * as showStatus from '../show-status.js'
import * as baseCommand from './base-command.js'

/** Shows what the daemons say of themselves. */
export class StatusCommand extends baseCommand.BaseCommand {
  static override readonly paths = [['status']]

  static override readonly usage = clipanion.Command.Usage({
    category: 'Questions',
    description: 'Show the daemons, the revisions that they have in force, and the targets',
    details: 'Asks every daemon that the platform, `--daemon` or another daemon knows as live. While the platform is down, name one daemon.',
    examples: [
      ['Show everything', '$0 status'],
      ['Ask without the platform', '$0 status --daemon 10.0.0.7:7400']
    ]
  })

  protected override perform (run: session.Session): session.Outcome {
    return showStatus.showStatus(run)
  }
}
