/**
 * `persimmonhatch status`.
 *
 * @module
 */
import * as clipanion from 'clipanion'
import type * as session from '../session.js'
import * as showStatus from '../show-status.js'
import * as baseCommand from './base-command.js'

/** Shows the statuses of the daemons. */
export class StatusCommand extends baseCommand.BaseCommand {
  static override readonly paths = [['status']]

  static override readonly usage = clipanion.Command.Usage({
    category: 'Questions',
    description: 'Show the daemons, the revisions in force at each, and the targets',
    details: 'Queries the daemons given by `--daemon` and every daemon that the platform or another daemon lists as live. While the platform is down, name at least one daemon.',
    examples: [
      ['Show everything', '$0 status'],
      ['Query without the platform', '$0 status --daemon 10.0.0.7:7400']
    ]
  })

  protected override perform (run: session.Session): session.Outcome {
    return showStatus.showStatus(run)
  }
}
