#!/usr/bin/env node
/**
 * Runs a set of stand-ins until SIGTERM or SIGINT. Prints one line of JSON when all are ready.
 *
 * @module
 */
import * as clipanion from 'clipanion'
import * as fs from 'node:fs/promises'
import * as standinSet from '../standin-set.js'

class RunCommand extends clipanion.Command {
  static override paths = [clipanion.Command.Default]
  static override usage = clipanion.Command.Usage({
    description: 'Run a set of stand-ins on loopback.',
    examples: [['Run what a file describes', 'persimmonhatch-standins standins.jsonc']]
  })

  readonly file = clipanion.Option.String()

  override async execute (): Promise<number> {
    const set = standinSet.parseStandinSet(await fs.readFile(this.file, 'utf8'))
    if (set.isErr()) {
      this.context.stderr.write(`${set.error.message}\n`)
      return 1
    }
    const running = await standinSet.startStandinSet(set.value)
    const standins = running.map(({ name, kind, address, controlAddress }) => ({ name, kind, address, controlAddress }))
    this.context.stdout.write(`${JSON.stringify({ standins })}\n`)
    await new Promise<void>((resolve) => {
      process.once('SIGTERM', resolve)
      process.once('SIGINT', resolve)
    })
    await Promise.all(running.map(async (standin) => await standin.close()))
    return 0
  }
}

const cli = new clipanion.Cli({ binaryName: 'persimmonhatch-standins', binaryLabel: 'Stand-ins of persimmonhatch' })
cli.register(RunCommand)
cli.register(clipanion.Builtins.HelpCommand)
process.exitCode = await cli.run(process.argv.slice(2))
