import * as assert from 'uvu/assert'
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'
import * as uvu from 'uvu'
import * as standinSet from '../src/standin-set.js'

const PROGRAM = url.fileURLToPath(new URL('../src/bin/persimmonhatch-standins.js', import.meta.url))

const SET = `{
  // One stand-in of each kind.
  "standins": [
    { "kind": "key-value-service", "name": "store", "writesPerS": 300 },
    { "kind": "vm-list-service", "name": "vms", "lagMs": 2000 },
    { "kind": "model-engine", "name": "engine-1", "loadLagMs": 300, "statesLoadAge": false },
    { "kind": "plain-service", "name": "stock-1", "serviceTimeMs": 20 },
  ]
}`

const suite = uvu.suite('stand-in set')

for (const [name, text] of [
  ['broken JSON', '{ "standins": ['],
  ['an unknown kind', '{ "standins": [{ "kind": "proxy", "name": "a" }] }'],
  ['an unknown field', '{ "standins": [{ "kind": "plain-service", "name": "a", "speed": 1 }] }'],
  ['no name', '{ "standins": [{ "kind": "plain-service" }] }']
] as const) {
  suite(`refuses ${name}`, () => {
    assert.match(standinSet.parseStandinSet(text)._unsafeUnwrapErr().message, /Correct it/)
  })
}

suite('the program prints the addresses and exits on SIGTERM', async () => {
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'standins-'))
  const file = path.join(directory, 'standins.jsonc')
  fs.writeFileSync(file, SET)
  const child = childProcess.spawn(process.execPath, [PROGRAM, file], { stdio: ['ignore', 'pipe', 'inherit'] })
  const exit = new Promise<number | null>((resolve) => { child.on('exit', resolve) })
  const line = await new Promise<string>((resolve) => { child.stdout.once('data', (chunk: Buffer) => resolve(chunk.toString())) })
  const { standins } = JSON.parse(line) as { readonly standins: ReadonlyArray<Omit<standinSet.RunningStandin, 'close'>> }
  assert.equal(standins.map((standin) => standin.kind), ['key-value-service', 'vm-list-service', 'model-engine', 'plain-service'])
  const engine = standins.find((standin) => standin.name === 'engine-1')
  const load: unknown = await (await fetch(`http://${engine?.address}/load`)).json()
  assert.equal(load, { runningRequests: 0, queuedRequests: 0, tokensInProgress: 0 })
  child.kill('SIGTERM')
  assert.is(await exit, 0)
  fs.rmSync(directory, { recursive: true })
})

suite.run()
