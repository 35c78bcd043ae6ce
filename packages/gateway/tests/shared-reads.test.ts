import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as sharedReads from '../src/shared-reads.js'

const suite = uvu.suite('shared reads')

interface Reads {
  readonly reads: sharedReads.SharedReads
  /** Functions that answer the reads that were sent, in their order. */
  readonly sent: readonly ((isRead: boolean) => void)[]
  readonly advance: (durationMs: number) => void
  /** Lets time pass without a tick, and ticks then. */
  readonly suspend: (durationMs: number) => void
  /** Results of the requests so far. */
  readonly results: readonly (readonly [request: string, isRead: boolean])[]
  readonly request: (name: string) => void
}

function createReads (): Reads {
  let nowMs = 0
  const sent: ((isRead: boolean) => void)[] = []
  const results: (readonly [string, boolean])[] = []
  const reads = sharedReads.createSharedReads({ now: () => nowMs, read: (done) => { sent.push(done) }, isNeeded: () => false })
  return {
    reads,
    sent,
    results,
    advance: (durationMs) => {
      for (const endMs = nowMs + durationMs; nowMs < endMs;) {
        nowMs += 100
        reads.tick()
      }
    },
    suspend: (durationMs) => {
      nowMs += durationMs
      reads.tick()
    },
    request: (name) => { reads.request((isRead) => { results.push([name, isRead]) }) }
  }
}

suite('the answer to a read that was sent before a request does not end its wait', () => {
  const { sent, advance, results, request } = createReads()
  request('first')
  advance(100)
  request('second')
  sent[0]?.(true)
  assert.equal(results, [['first', true]])
  advance(200)
  sent[1]?.(true)
  assert.equal(results, [['first', true], ['second', true]])
})

suite('requests that wait at the same time share a read, and reads are spaced', () => {
  const { sent, advance, results, request } = createReads()
  request('first')
  sent[0]?.(true)
  for (const name of ['second', 'third', 'fourth']) request(name)
  advance(200)
  assert.is(sent.length, 1)
  advance(100)
  sent[1]?.(true)
  assert.equal([results.length, sent.length], [4, 2])
})

suite('a failed read is tried again, and a wait ends without one in less than a second', () => {
  const { sent, advance, results, request } = createReads()
  request('first')
  for (let elapsedMs = 0; elapsedMs < 900; elapsedMs += 100) {
    sent.at(-1)?.(false)
    advance(100)
  }
  assert.equal([results, sent.length > 1], [[['first', false]], true])
})

suite('a wait does not end by a suspension while the answer to its read is pending', () => {
  const { sent, suspend, results, request } = createReads()
  request('first')
  suspend(2_000)
  assert.equal(results, [])
  sent[0]?.(true)
  assert.equal(results, [['first', true]])
})

suite('a read without a result does not keep later ones from being sent', () => {
  const { sent, advance, results, request } = createReads()
  request('first')
  advance(2_500)
  request('second')
  sent.at(-1)?.(true)
  assert.equal(results, [['first', false], ['second', true]])
})

suite.run()
