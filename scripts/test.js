/**
 * Runs every compiled test file in a process of its own and adds up the totals that uvu prints.
 *
 * Usage: node scripts/test.js [substring of a file's path]
 */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'

const KNOWN_RED_FILE = 'KNOWN-RED.txt'
const UNIT_CONCURRENCY = Math.min(4, os.availableParallelism())
/** Guard against a test that hangs: its file counts as failed and is ended. */
const FILE_LIMIT_MS = 240_000

const SYSTEM_PACKAGE = `packages${path.sep}system${path.sep}`

function listTestFiles (filter) {
  const files = [...walk('packages'), ...walk('platform')]
  return files.filter((file) => file.includes(filter) && hasSource(file)).sort()
}

function walk (directory) {
  return fs.readdirSync(directory, { withFileTypes: true }).flatMap((entry) => {
    const child = path.join(directory, entry.name)
    if (entry.name === 'node_modules' || entry.name === 'src') return []
    if (entry.isDirectory()) return walk(child)
    return child.endsWith('.test.js') ? [child] : []
  })
}

// A compiled test whose source was deleted or moved must not run.
function hasSource (file) {
  return fs.existsSync(file.replace(`${path.sep}dist${path.sep}`, path.sep).replace(/\.js$/, '.ts'))
}

function runFile (file) {
  return new Promise((resolve) => {
    const child = childProcess.spawn(process.execPath, ['--enable-source-maps', file], { stdio: ['ignore', 'pipe', 'pipe'] })
    let output = ''
    child.stdout.on('data', (chunk) => { output += chunk })
    child.stderr.on('data', (chunk) => { output += chunk })
    const timer = setTimeout(() => child.kill('SIGKILL'), FILE_LIMIT_MS)
    child.on('close', (code, signal) => {
      clearTimeout(timer)
      resolve(signal === 'SIGKILL' ? { file, output, passed: 0, failed: 1, names: [`${file} did not end`] } : readResult(file, code, output))
    })
  })
}

function readTotal (output, label) {
  // eslint-disable-next-line no-control-regex
  const plain = output.replace(/\u001b\[[0-9;]*m/g, '')
  const match = plain.match(new RegExp(`${label}:\\s+(\\d+)`))
  return match === null ? undefined : Number(match[1])
}

function readFailedNames (output) {
  // eslint-disable-next-line no-control-regex
  const plain = output.replace(/\u001b\[[0-9;]*m/g, '')
  return [...plain.matchAll(/^\s*FAIL\s+(.*)$/gm)].map((match) => match[1].replaceAll('"', '').trim())
}

function readResult (file, code, output) {
  const total = readTotal(output, 'Total')
  const passed = readTotal(output, 'Passed')
  if (total === undefined || passed === undefined) return { file, output, passed: 0, failed: 1, names: [`${file} gave no totals, exit code ${code}`] }
  const crashed = code !== 0 && total === passed
  const names = crashed ? [`${file} exited with ${code} after its tests`] : readFailedNames(output)
  return { file, output, passed, failed: crashed ? 1 : total - passed, names }
}

async function runAll (files, concurrency) {
  const waiting = [...files]
  const results = []
  async function work () {
    for (let file = waiting.shift(); file !== undefined; file = waiting.shift()) {
      const result = await runFile(file)
      results.push(result)
      const mark = result.failed === 0 ? 'ok  ' : 'FAIL'
      console.log(`${mark} ${file} (${result.passed} passed, ${result.failed} failed)`)
      if (result.failed > 0) console.log(result.output)
    }
  }
  await Promise.all(Array.from({ length: concurrency }, work))
  return results
}

function readKnownRed () {
  if (!fs.existsSync(KNOWN_RED_FILE)) return []
  const lines = fs.readFileSync(KNOWN_RED_FILE, 'utf8').split('\n')
  return lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice('test: '.length).trim())
}

const files = listTestFiles(process.argv[2] ?? '')
const unit = files.filter((file) => !file.startsWith(SYSTEM_PACKAGE))
const system = files.filter((file) => file.startsWith(SYSTEM_PACKAGE))
const results = [...await runAll(unit, UNIT_CONCURRENCY), ...await runAll(system, 1)]
const passed = results.reduce((sum, result) => sum + result.passed, 0)
const failedNames = results.flatMap((result) => result.names)
const failedCount = results.reduce((sum, result) => sum + result.failed, 0)
const knownRed = readKnownRed()
const known = failedNames.filter((name) => knownRed.includes(name))
for (const name of known) console.log(`known red (see ${KNOWN_RED_FILE}): ${name}`)
console.log(`${passed} passed, ${failedCount} failed`)
const unexplained = failedCount - known.length
process.exit(passed + failedCount === 0 || unexplained > 0 ? 1 : 0)
