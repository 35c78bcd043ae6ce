/**
 * Why a command did not do what was asked.
 *
 * @module
 */
import type * as exitCode from './exit-code.js'
import * as message from './message.js'

/** A failed command: a message id, the exit code and what to print. */
export class Failure extends Error {
  constructor (readonly exit: exitCode.ExitName, readonly id: message.MessageId, readonly figures: message.Figures) {
    super(message.formatMessage(id, figures))
    this.name = 'Failure'
  }
}
