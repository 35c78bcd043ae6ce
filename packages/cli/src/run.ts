/**
 * Parses and runs a command line.
 *
 * @module
 */
import * as clipanion from 'clipanion'
import * as applyCommand from './commands/apply-command.js'
import * as burnCommand from './commands/burn-command.js'
import * as deleteCommand from './commands/delete-command.js'
import * as explainCommand from './commands/explain-command.js'
import * as historyCommand from './commands/history-command.js'
import * as showCommand from './commands/show-command.js'
import * as statusCommand from './commands/status-command.js'
import * as exitCode from './exit-code.js'
import type * as ports from './ports.js'

const COMMANDS = [
  clipanion.Builtins.HelpCommand,
  clipanion.Builtins.VersionCommand,
  applyCommand.ApplyCommand,
  burnCommand.BurnCommand,
  deleteCommand.DeleteCommand,
  explainCommand.ExplainCommand,
  historyCommand.HistoryCommand,
  showCommand.ShowCommand,
  statusCommand.StatusCommand
]

/** Version printed by `--version`. */
export const VERSION = '0.1.0'

/**
 * Runs one command line and returns its exit code.
 *
 * @example
 * ```ts
 * process.exitCode = await run(process.argv.slice(2), context)
 * ```
 */
export async function run (args: readonly string[], context: ports.Context): Promise<number> {
  const cli = clipanion.Cli.from<ports.Context>(COMMANDS, { binaryName: 'persimmonhatch', binaryLabel: 'persimmonhatch', binaryVersion: VERSION, enableColors: false })
  let command: clipanion.Command<ports.Context>
  try {
    command = cli.process([...args], context)
  } catch (error) {
    context.stderr.write(cli.error(error))
    return exitCode.EXIT_CODES.usage
  }
  return await cli.run(command, context)
}
