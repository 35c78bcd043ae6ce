/**
 * Failure of a command.
 *
 * @module
 */
import type * as exitCode from './exit-code.js'
import * as message from './message.js'

/** Error that ends a command: the exit code, the message id and the values of its placeholders. */
export class Failure extends Error {
  constructor (readonly exit: exitCode.ExitName, readonly id: message.MessageId, readonly figures: message.Figures) {
    super(message.formatMessage(id, figures))
    this.name = 'Failure'
  }
}
