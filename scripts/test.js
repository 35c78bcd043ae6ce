/**
 * Runs each compiled test file in a separate process and sums the totals that uvu prints.
 *
 * Usage: node scripts/test.js [substring of the file path]
 */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'

const KNOWN_RED_FILE = 'KNOWN-RED.txt'
const MAX_CONCURRENT_FILES = Math.min(4, os.availableParallelism())
/** Timeout for a hanging test file, which is then killed and counted as failed. */
const FILE_TIMEOUT_MS = 240_000

const SYSTEM_PACKAGE = `packages${path.sep}system${path.sep}`

function listTestFiles (filter) {
  const files = [...findCompiledTests('packages'), ...findCompiledTests('platform')]
  return files.filter((file) => file.includes(filter) && hasSource(file)).sort()
}

function findCompiledTests (directory) {
  return fs.readdirSync(directory, { withFileTypes: true }).flatMap((entry) => {
    const child = path.join(directory, entry.name)
    if (entry.name === 'node_modules' || entry.name === 'src') return []
    if (entry.isDirectory()) return findCompiledTests(child)
    return child.endsWith('.test.js') ? [child] : []
  })
}

// Skips stale output: a compiled test whose source was deleted or moved must not run.
function hasSource (file) {
  return fs.existsSync(file.replace(`${path.sep}dist${path.sep}`, path.sep).replace(/\.js$/, '.ts'))
}

function runTestFile (file) {
  return new Promise((resolve) => {
    const child = childProcess.spawn(process.execPath, ['--enable-source-maps', file], { stdio: ['ignore', 'pipe', 'pipe'] })
    let output = ''
    child.stdout.on('data', (chunk) => { output += chunk })
    child.stderr.on('data', (chunk) => { output += chunk })
    const timer = setTimeout(() => child.kill('SIGKILL'), FILE_TIMEOUT_MS)
    child.on('close', (code, signal) => {
      clearTimeout(timer)
      resolve(signal === 'SIGKILL' ? { file, output, passed: 0, failed: 1, failedNames: [`${file} did not end`] } : readResult(file, code, output))
    })
  })
}

function readCount (output, label) {
  // eslint-disable-next-line no-control-regex
  const plainOutput = output.replace(/\u001b\[[0-9;]*m/g, '')
  const match = plainOutput.match(new RegExp(`${label}:\\s+(\\d+)`))
  return match === null ? undefined : Number(match[1])
}

function readFailedNames (output) {
  // eslint-disable-next-line no-control-regex
  const plainOutput = output.replace(/\u001b\[[0-9;]*m/g, '')
  return [...plainOutput.matchAll(/^\s*FAIL\s+(.*)$/gm)].map((match) => match[1].replaceAll('"', '').trim())
}

function readResult (file, code, output) {
  const total = readCount(output, 'Total')
  const passed = readCount(output, 'Passed')
  if (total === undefined || passed === undefined) return { file, output, passed: 0, failed: 1, failedNames: [`${file} gave no totals, exit code ${code}`] }
  const crashed = code !== 0 && total === passed
  const failedNames = crashed ? [`${file} exited with ${code} after its tests`] : readFailedNames(output)
  return { file, output, passed, failed: crashed ? 1 : total - passed, failedNames }
}

async function runAll (files, concurrency) {
  const pending = [...files]
  const results = []
  async function runPending () {
    for (let file = pending.shift(); file !== undefined; file = pending.shift()) {
      const result = await runTestFile(file)
      results.push(result)
      const label = result.failed === 0 ? 'ok  ' : 'FAIL'
      console.log(`${label} ${file} (${result.passed} passed, ${result.failed} failed)`)
      if (result.failed > 0) console.log(result.output)
    }
  }
  await Promise.all(Array.from({ length: concurrency }, runPending))
  return results
}

function readKnownFailures () {
  if (!fs.existsSync(KNOWN_RED_FILE)) return []
  const lines = fs.readFileSync(KNOWN_RED_FILE, 'utf8').split('\n')
  return lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice('test: '.length).trim())
}

const files = listTestFiles(process.argv[2] ?? '')
const parallelFiles = files.filter((file) => !file.startsWith(SYSTEM_PACKAGE))
const systemFiles = files.filter((file) => file.startsWith(SYSTEM_PACKAGE))
const results = [...await runAll(parallelFiles, MAX_CONCURRENT_FILES), ...await runAll(systemFiles, 1)]
const passed = results.reduce((sum, result) => sum + result.passed, 0)
const failedNames = results.flatMap((result) => result.failedNames)
const failedCount = results.reduce((sum, result) => sum + result.failed, 0)
const knownFailures = readKnownFailures()
const expectedFailures = failedNames.filter((name) => knownFailures.includes(name))
for (const name of expectedFailures) console.log(`known failure (see ${KNOWN_RED_FILE}): ${name}`)
console.log(`${passed} passed, ${failedCount} failed`)
const unexpectedCount = failedCount - expectedFailures.length
process.exit(passed + failedCount === 0 || unexpectedCount > 0 ? 1 : 0)
