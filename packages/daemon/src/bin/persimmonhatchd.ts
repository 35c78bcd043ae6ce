#!/usr/bin/env node
/**
 * Command-line program that runs the daemon.
 *
 * @module
 */
import * as fs from 'node:fs'
import * as clipanion from 'clipanion'
import * as hashes from '../adapters/hashes.js'
import * as log from '../adapters/log.js'
import * as metrics from '../adapters/metrics.js'
import * as daemon from '../daemon.js'
import type * as settingsModule from '../settings/settings.js'
import * as parseSettings from '../settings/parse-settings.js'
import * as randomSource from '../adapters/random-source.js'

const EXIT_OK = 0
const EXIT_FAULT = 1
const EXIT_BAD_SETTINGS = 2

class Run extends clipanion.Command {
  static override readonly paths = [clipanion.Command.Default]
  static override readonly usage = clipanion.Command.Usage({
    description: 'Run the daemon until SIGTERM or SIGINT, then drain and stop without interrupting a request.',
    examples: [
      ['Run with a settings file', '$0 --settings persimmonhatchd.jsonc'],
      ['Check a settings file without starting', '$0 --check-settings persimmonhatchd.jsonc']
    ]
  })

  readonly settings = clipanion.Option.String('--settings', { description: 'Settings file, JSON with comments.' })
  readonly checkSettings = clipanion.Option.String('--check-settings', { description: 'Check this file and exit.' })

  async execute (): Promise<number> {
    const path = this.checkSettings ?? this.settings
    if (path === undefined) return this.#fail('Give a settings file with --settings FILE.')
    const text = readText(path)
    if (text === undefined) return this.#fail(`${path} can't be read: give the path of a readable file.`)
    const settings = parseSettings.parseSettings(text)
    if (settings.isErr()) return this.#fail(settings.error.message)
    if (this.checkSettings !== undefined) {
      this.context.stdout.write(`${path} is valid.\n`)
      return EXIT_OK
    }
    return await runDaemon(settings.value)
  }

  #fail (message: string): number {
    this.context.stderr.write(`${message}\n`)
    return EXIT_BAD_SETTINGS
  }
}

function readText (path: string): string | undefined {
  try {
    return fs.readFileSync(path, 'utf8')
  } catch {
    return undefined
  }
}

async function runDaemon (settings: settingsModule.Settings): Promise<number> {
  const incarnation = randomSource.createIncarnation()
  const logger = log.openLog(settings.log.level, { daemon: settings.name })
  try {
    const running = await daemon.startDaemon({
      settings,
      incarnation,
      clock: () => performance.now(),
      wallClock: () => Date.now(),
      random: randomSource.createRandom(),
      hashes: await hashes.loadHashes(),
      log: logger,
      metrics: metrics.openMetrics(settings.metrics, settings.name)
    })
    await new Promise<void>((resolve) => {
      process.on('SIGTERM', resolve)
      process.on('SIGINT', resolve)
    })
    await running.stop()
    return EXIT_OK
  } catch (error) {
    logger.error('could not start', { message: (error as Error).message, remedy: 'Check that the addresses in listen are free and belong to this VM.' })
    return EXIT_FAULT
  }
}

const cli = new clipanion.Cli({ binaryLabel: 'persimmonhatchd', binaryName: 'persimmonhatchd', binaryVersion: '0.1.0' })
cli.register(Run)
cli.register(clipanion.Builtins.HelpCommand)
cli.register(clipanion.Builtins.VersionCommand)
process.exitCode = await cli.run(process.argv.slice(2))
if (process.exitCode !== EXIT_OK) process.exit()
