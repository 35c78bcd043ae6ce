/**
 * Installs missing or outdated dependencies and builds the workspaces, so that the npm scripts work on a fresh checkout.
 */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as path from 'node:path'

const LOCK_FILE = 'package-lock.json'
const INSTALLED_LOCK_FILE = 'node_modules/.package-lock.json'

function run (command, args) {
  const result = childProcess.spawnSync(command, args, { stdio: 'inherit' })
  if (result.status !== 0) process.exit(result.status ?? 1)
}

function isInstalled () {
  if (!fs.existsSync(INSTALLED_LOCK_FILE)) return false
  return fs.statSync(INSTALLED_LOCK_FILE).mtimeMs >= fs.statSync(LOCK_FILE).mtimeMs
}

// npm links the programs before they are built, so it cannot set their executable bit.
function makeExecutable (workspace) {
  const { bin = {} } = JSON.parse(fs.readFileSync(path.join('packages', workspace, 'package.json'), 'utf8'))
  for (const file of Object.values(bin)) fs.chmodSync(path.join('packages', workspace, file), 0o755)
}

if (!isInstalled()) run('npm', ['ci'])
run('npx', ['tsc', '-b'])
for (const workspace of fs.readdirSync('packages')) makeExecutable(workspace)
