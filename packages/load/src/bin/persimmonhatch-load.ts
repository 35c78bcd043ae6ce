#!/usr/bin/env node
/**
 * Executable of the load generator `persimmonhatch-load`.
 *
 * @module
 */
import * as clipanion from 'clipanion'
import * as loadCommand from '../live/load-command.js'

const cli = new clipanion.Cli({ binaryName: 'persimmonhatch-load', binaryLabel: 'persimmonhatch load', binaryVersion: '0.1.0' })
cli.register(loadCommand.LoadCommand)
process.exitCode = await cli.run(process.argv.slice(2))
