/**
 * Messages and records of earlier builds, which run side by side with this one while VMs are replaced.
 */
import * as fs from 'node:fs'
import * as gateway from '@persimmonhatch/gateway'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fleetModule from './fleet.js'

const suite = uvu.suite('message formats')

function readMessage (format: number): Readonly<Record<string, unknown>> {
  return JSON.parse(fs.readFileSync(new URL(`../../tests/messages/report-${format}.json`, import.meta.url), 'utf8')) as Readonly<Record<string, unknown>>
}

/** Fields and types that a build of format 1 requires, and takes as empty if they are missing. */
const REQUIRED_1: Readonly<Record<string, string>> = { from: 'string', incarnation: 'string', sequence: 'number', scope: 'string', frontAddress: 'string', ready: 'boolean', documentVersion: 'number', targetsPosition: 'list', complete: 'boolean' }
const OPTIONAL_1: Readonly<Record<string, string>> = { pools: 'object', usedTokens: 'object', members: 'list', leavingTargets: 'list', suspects: 'object', limits: 'list', lostTargets: 'list', streams: 'object' }

function kindOf (value: unknown): string {
  return Array.isArray(value) ? 'list' : typeof value
}

/** Returns the names and types of everything in a message; keys of maps and numbers of rows don't matter. */
function shapeOf (value: unknown, path: string): readonly string[] {
  if (Array.isArray(value)) return [...new Set(value.flatMap((item, index) => shapeOf(item, `${path}[${path.includes('[') ? index : ''}]`)))]
  if (typeof value === 'object' && value !== null) return Object.entries(value).flatMap(([name, item]) => shapeOf(item, `${path}.${name}`))
  return [`${path}: ${value === null ? 'null' : typeof value}`]
}

for (const format of [1, 2, gateway.peerMessages.REPORT_FORMAT]) {
  suite(`a report of format ${format} is read whole`, () => {
    const message = readMessage(format)
    const report = gateway.peerMessages.parseReport(message)
    for (const [name, value] of Object.entries(message)) assert.equal(report?.[name as keyof gateway.peerMessages.Report], value, name)
    for (const field of ['departures', 'pauses'] as const) assert.equal(report?.[field], message[field] ?? [])
  })

  suite(`a report of format ${format} has what builds of format 1 require`, () => {
    const message = readMessage(format)
    for (const [name, kind] of Object.entries(REQUIRED_1)) assert.is(kindOf(message[name]), kind, name)
    for (const [name, kind] of Object.entries(OPTIONAL_1)) if (name in message) assert.is(kindOf(message[name]), kind, name)
  })
}

suite('a report is written in the format that its number names; a changed format needs a new number and message', () => {
  const report = gateway.peerMessages.parseReport(readMessage(gateway.peerMessages.REPORT_FORMAT))
  assert.ok(report !== undefined)
  if (report === undefined) return
  const written: unknown = JSON.parse(JSON.stringify(gateway.peerMessages.toMessage(report)))
  assert.equal([...shapeOf(written, '')].sort(), [...shapeOf(readMessage(gateway.peerMessages.REPORT_FORMAT), '')].sort())
  const member = fleetModule.createMember('10.1.0.25:7600', () => 0.5)
  assert.equal(Object.keys(member.writer.writeForCell(true, 0)).sort(), Object.keys(readMessage(gateway.peerMessages.REPORT_FORMAT)).sort())
})

suite('a report of a later format is read as far as it is known', () => {
  const later = { ...readMessage(gateway.peerMessages.REPORT_FORMAT), format: 9, forecasts: [['i-1', 4]] }
  assert.is(gateway.peerMessages.parseReport(later)?.documentVersion, 12)
})

const RECORDS: readonly (readonly [text: string, isRead: boolean])[] = [
  ['{"format":1,"storedMs":1796000000000,"streams":{"support":{"v1":["r-1"]}}}', true],
  ['{"format":1,"storedMs":1796000000000,"levels":{"maarif":52000}}', true],
  ['{"format":7,"storedMs":1796000000000,"streams":{"support":{"v1":["r-1"]}},"since":4}', true],
  ['{"format":7,"streams":[["support","v1","r-1"]]}', false]
]

for (const [text, isRead] of RECORDS) {
  suite(`the record ${text} is ${isRead ? 'read' : 'left out'}`, () => { assert.is(gateway.lastingRecords.parseCellRecord(text) !== undefined, isRead) })
}

suite.run()
