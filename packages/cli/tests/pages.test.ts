import * as fs from 'node:fs'
import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as document from '@persimmonhatch/document'
import * as exitCode from '../src/exit-code.js'
import * as settings from '../src/settings.js'
import * as harness from './harness.js'

const pages = uvu.suite('pages')

function readPage (name: string): string {
  return fs.readFileSync(new URL(`../../../../docs/${name}`, import.meta.url), 'utf8')
}

function readExample (name: string): string {
  return /```jsonc\n([^]*?)```/.exec(readPage(name))?.[1] ?? ''
}

pages('cli.md lists every exit code', () => {
  for (const [name, code] of Object.entries(exitCode.EXIT_CODES)) assert.match(readPage('cli.md'), `| ${code} | \`${name}\` |`)
})

pages('cli.md shows valid settings', () => {
  const fixture = new harness.Fixture()
  fixture.files.set(settings.DEFAULT_FILE, readExample('cli.md'))
  const flags = { settings: undefined, platform: undefined, daemons: undefined, operator: undefined }
  const checked = settings.readSettings(fixture.createFiles(), {}, flags)
  assert.is(checked._unsafeUnwrap().operator, 'ana')
})

pages('service-document.md shows a valid document', () => {
  assert.ok(document.parseServiceDocument.parseServiceDocument(readExample('service-document.md')).isOk())
})

pages.run()
