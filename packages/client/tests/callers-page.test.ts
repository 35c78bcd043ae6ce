import * as fs from 'node:fs'
import * as protocol from '@persimmonhatch/protocol'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'

const page = fs.readFileSync(new URL('../../../../docs/callers.md', import.meta.url), 'utf8')
const callersPage = uvu.suite('docs/callers.md')

for (const [reason, { status, execution, text, remedy }] of Object.entries(protocol.EXPLANATIONS)) {
  callersPage(`explains ${reason} in the words of the refusal`, () => {
    assert.ok(page.includes(`| \`${reason}\` | ${status} | ${execution} | ${text} | ${remedy} |`))
  })
}

callersPage.run()
