import * as stream from 'node:stream'
import * as gateway from '@persimmonhatch/gateway'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'

const suite = uvu.suite('event log and metrics')

interface Line { readonly message: string, readonly daemon: string }

function openLog (nowMs: () => number, blocked: boolean): { readonly log: gateway.eventLog.EventLog, readonly lines: readonly Line[], readonly dropped: () => number } {
  const lines: Line[] = []
  let dropped = 0
  const output = new stream.Writable({
    decodeStrings: false,
    highWaterMark: 1_024,
    write: (line: string, _, done) => {
      lines.push(JSON.parse(line) as Line)
      if (!blocked) done()
    }
  })
  const log = gateway.eventLog.openEventLog({ fields: { daemon: 'front-1' }, now: nowMs, output, countDropped: (count) => { dropped += count } })
  return { log, lines, dropped: () => dropped }
}

suite('a line has the event as its message, which details can not override', () => {
  const { log, lines } = openLog(() => 0, false)
  log.change('target learnt', { target: 'i-1', message: 'other' })
  assert.equal([lines[0]?.message, lines[0]?.daemon], ['target learnt', 'front-1'])
})

suite('lines on requests are limited in rate, counted when dropped, and accepted again later', () => {
  let nowMs = 0
  const { log, lines, dropped } = openLog(() => nowMs, false)
  for (let index = 0; index < 1_000; index += 1) log.request('request ended', {})
  assert.ok(lines.length < 1_000)
  assert.is(lines.length + dropped(), 1_000)
  log.change('store lost')
  assert.is(lines.at(-1)?.message, 'store lost')
  nowMs = 1_000
  const before = lines.length
  log.request('request ended', {})
  assert.is(lines.length, before + 1)
})

suite('an output that accepts nothing does not block the log', () => {
  let nowMs = 0
  const { log, dropped } = openLog(() => nowMs, true)
  for (let index = 0; index < 5_000; index += 1) {
    nowMs += 1_000
    log.request('request ended', { padding: 'x'.repeat(200) })
  }
  assert.ok(dropped() > 0)
})

suite('metrics are served as text with cumulative buckets', () => {
  const metrics = gateway.metrics.createMetrics()
  metrics.count('requests_total', { outcome: 'answered' })
  metrics.count('requests_total', { outcome: 'answered' })
  metrics.gauge('peers_live', 8)
  for (const milliseconds of [3, 30, 30_000]) metrics.observe('answer_ms', milliseconds)
  const text = metrics.text()
  for (const line of ['requests_total{outcome="answered"} 2', 'peers_live 8', 'answer_ms_bucket{le="5"} 1', 'answer_ms_bucket{le="50"} 2', 'answer_ms_bucket{le="+Inf"} 3', 'answer_ms_count 3']) {
    assert.ok(text.split('\n').includes(line), line)
  }
})

suite.run()
