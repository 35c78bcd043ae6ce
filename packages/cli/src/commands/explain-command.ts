/**
 * `persimmonhatch explain`.
 *
 * @module
 */
import * as clipanion from 'clipanion'
import * as neverthrow from 'neverthrow'
import * as explainRequest from '../explain-request.js'
import * as failure from '../failure.js'
import type * as session from '../session.js'
import * as baseCommand from './base-command.js'

/** Explains one request. */
export class ExplainCommand extends baseCommand.BaseCommand {
  static override readonly paths = [['explain']]

  static override readonly usage = clipanion.Command.Usage({
    category: 'Questions',
    description: 'Explain why a request waited, ran or was refused',
    details: `
      Queries the daemon that owns the request's identity, then all others. Outcomes are kept for a bounded time only.
      A receipt, the value of the response's \`x-persimmonhatch-receipt\` header, is explained without any daemon.
    `,
    examples: [
      ['Explain by identity', '$0 explain k3v9x0q2m1abc.17.a1'],
      ['Explain by receipt', '$0 explain --receipt eyJpZGVudGl0eSI6IjE']
    ]
  })

  readonly identity = clipanion.Option.String({ name: 'IDENTITY', required: false })
  readonly receipt = clipanion.Option.String('--receipt', { description: 'Value of the x-persimmonhatch-receipt header' })

  protected override perform (run: session.Session): session.Outcome {
    if (this.identity !== undefined && this.receipt === undefined) return explainRequest.explainIdentity(run, this.identity)
    if (this.receipt !== undefined && this.identity === undefined) return explainRequest.explainReceipt(this.receipt)
    return neverthrow.errAsync(new failure.Failure('usage', 'identity-or-receipt', {}))
  }
}
