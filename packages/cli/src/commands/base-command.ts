/**
 * Base class of the commands: settings, connections, printing and exit codes.
 *
 * @module
 */
import * as clipanion from 'clipanion'
import * as neverthrow from 'neverthrow'
import * as exitCode from '../exit-code.js'
import * as failure from '../failure.js'
import type * as ports from '../ports.js'
import type * as session from '../session.js'
import * as settings from '../settings.js'

/** Command of the tool. */
export abstract class BaseCommand extends clipanion.Command<ports.Context> {
  readonly json = clipanion.Option.Boolean('--json', false, { description: 'Print one JSON value instead of text' })
  readonly settingsFile = clipanion.Option.String('--settings', { description: `Settings file, ${settings.DEFAULT_FILE} by default` })
  readonly endpoints = clipanion.Option.Array('--platform', { description: 'Base URL of the key-value service; may be repeated' })
  readonly daemons = clipanion.Option.Array('--daemon', { description: 'Address of a daemon to query, as IP:PORT; may be repeated' })

  /** Returns the operator's name, if the command has a flag for it. */
  protected operatorFlag (): string | undefined {
    return undefined
  }

  /** Performs the command. */
  protected abstract perform (run: session.Session): session.Outcome

  /** Runs the command, prints its result and returns the exit code. */
  override async execute (): Promise<number> {
    const flags = { settings: this.settingsFile, platform: this.endpoints, daemons: this.daemons, operator: this.operatorFlag() }
    const settingsResult = settings.readSettings(this.context.files, this.context.env, flags)
    const result = await settingsResult.asyncAndThen((checked) => this.connectAndPerform(checked))
    return result.match((report) => this.printReport(report), (error) => this.printFailure(error))
  }

  private connectAndPerform (checked: settings.Settings): session.Outcome {
    const dependencies = this.context.connect(checked)
    const run = { settings: checked, ports: dependencies, files: this.context.files, operator: checked.operator ?? this.context.userName }
    const performed = Promise.resolve(this.perform(run)).finally(() => dependencies.close())
    return new neverthrow.ResultAsync(performed)
  }

  private printReport (report: session.Report): number {
    this.context.stdout.write(`${this.json ? JSON.stringify(report.json) : report.text}\n`)
    return exitCode.EXIT_CODES[report.exit]
  }

  private printFailure (error: failure.Failure): number {
    if (this.json) this.context.stdout.write(`${JSON.stringify({ error: { id: error.id, exit: error.exit, message: error.message, figures: error.figures } })}\n`)
    else this.context.stderr.write(`${error.message}\n`)
    return exitCode.EXIT_CODES[error.exit]
  }
}

/**
 * Parses the whole number given to an option.
 *
 * @example
 * ```ts
 * parseCount('--wait', '10', { least: 0, most: 600 }) // ok(10)
 * ```
 */
export function parseCount (option: string, value: string | undefined, limits: { readonly least: number, readonly most: number }): neverthrow.Result<number | undefined, failure.Failure> {
  if (value === undefined) return neverthrow.ok(undefined)
  const count = /^\d{1,9}$/.test(value) ? Number(value) : Number.NaN
  if (count >= limits.least && count <= limits.most) return neverthrow.ok(count)
  return neverthrow.err(new failure.Failure('usage', 'wrong-count', { option, value, ...limits }))
}
