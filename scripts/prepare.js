/**
 * Installs and builds what a command needs, on a fresh machine too.
 */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'

const LOCK_FILE = 'package-lock.json'
const INSTALLED_LOCK = 'node_modules/.package-lock.json'

function run (command, args) {
  const result = childProcess.spawnSync(command, args, { stdio: 'inherit' })
  if (result.status !== 0) process.exit(result.status ?? 1)
}

function isInstalled () {
  if (!fs.existsSync(INSTALLED_LOCK)) return false
  return fs.statSync(INSTALLED_LOCK).mtimeMs >= fs.statSync(LOCK_FILE).mtimeMs
}

if (!isInstalled()) run('npm', ['ci'])
run('npx', ['tsc', '-b'])
