#!/usr/bin/env node
/**
 * Entry point of `persimmonhatch`.
 *
 * @module
 */
import * as os from 'node:os'
import * as connect from '../adapters/connect.js'
import * as localFiles from '../adapters/local-files.js'
import * as run from '../run.js'

process.exitCode = await run.run(process.argv.slice(2), {
  env: process.env,
  stdin: process.stdin,
  stdout: process.stdout,
  stderr: process.stderr,
  colorDepth: 1,
  files: localFiles.LOCAL_FILES,
  userName: os.userInfo().username,
  plot: undefined,
  connect: connect.connect
})
