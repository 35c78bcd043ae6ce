/**
 * `persimmonhatch burn`.
 *
 * @module
 */
import * as clipanion from 'clipanion'
import type * as session from '../session.js'
import * as showBurn from '../show-burn.js'
import * as baseCommand from './base-command.js'

/** Reports how fast error budgets burn. */
export class BurnCommand extends baseCommand.BaseCommand {
  static override readonly paths = [['burn']]

  static override readonly usage = clipanion.Command.Usage({
    category: 'Questions',
    description: 'Report how fast the error budgets of services burn, and why',
    details: 'Sums the counts of all daemons. A budget is shown as burning if its rate is over the limit in both the short and the long window.',
    examples: [
      ['All services, over 5 minutes and an hour', '$0 burn'],
      ['One service over longer windows, as a page', '$0 burn --service listings --windows 30m,6h --html burn.html']
    ]
  })

  readonly service = clipanion.Option.String('--service', { description: 'Report on this service only' })
  readonly windows = clipanion.Option.String('--windows', '5m,1h', { description: 'Short and long window' })
  readonly html = clipanion.Option.String('--html', { description: 'Also write the report as an HTML page to this file' })

  protected override perform (run: session.Session): session.Outcome {
    return showBurn.parseWindows(this.windows).asyncAndThen((windows) => {
      return showBurn.showBurn(run, { service: this.service, windows, html: this.html, plot: this.context.plot })
    })
  }
}
