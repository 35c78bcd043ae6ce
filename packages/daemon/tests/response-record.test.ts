import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as responseRecord from '../src/dispatch/response-record.js'

const RECEIPT = { identity: 'i', service: 's', organisation: 'o', tier: 't', reason: 'finished', execution: 'ran', waitedMs: 0, target: 'x', figures: {}, end: undefined } as const
const HEAD: responseRecord.ResponseHead = { status: 200, headers: [], receipt: RECEIPT, isEventStream: true }

async function collect (record: responseRecord.ResponseRecord): Promise<readonly string[]> {
  const steps: string[] = []
  for await (const step of record.read()) steps.push(step.kind === 'chunk' ? Buffer.from(step.bytes).toString() : step.kind)
  return steps
}

const records = uvu.suite('createResponseRecord')

records('yields everything from the first byte to a late reader', async () => {
  const record = responseRecord.createResponseRecord(true)
  const early = collect(record)
  record.start(HEAD)
  await record.append(Buffer.from('a'))
  await record.append(Buffer.from('b'))
  const late = collect(record)
  record.end()
  assert.equal(await early, ['head', 'a', 'b', 'end'])
  assert.equal(await late, ['head', 'a', 'b', 'end'])
  assert.equal(await collect(record), ['head', 'a', 'b', 'end'])
})

records('releases chunks that were read when the record is not retained', async () => {
  const record = responseRecord.createResponseRecord(false)
  const reader = collect(record)
  record.start(HEAD)
  await record.append(Buffer.from('abc'))
  record.end()
  assert.equal(await reader, ['head', 'abc', 'end'])
  assert.is(record.bufferedBytes(), 0)
})

records('applies back-pressure to the target while a slow caller has much to read', async () => {
  const record = responseRecord.createResponseRecord(false)
  let more = false
  const appended = record.append(Buffer.alloc(2_000_000)).then(() => { more = true })
  await Promise.resolve()
  assert.not(more)
  const reader = collect(record)
  await appended
  record.end()
  assert.is((await reader).length, 2)
})

records('ends with the first final step only', async () => {
  const record = responseRecord.createResponseRecord(true)
  record.refuse({ receipt: RECEIPT, retryAfterMs: 0 })
  record.end()
  assert.equal(await collect(record), ['refused'])
  assert.not(record.isComplete())
})

records('reports that a dropped response is no longer retained', async () => {
  const record = responseRecord.createResponseRecord(true)
  record.start(HEAD)
  await record.append(Buffer.from('a'))
  record.end()
  record.drop()
  assert.equal(await collect(record), ['dropped'])
})

records.run()
