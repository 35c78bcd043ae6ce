import * as routing from '@persimmonhatch/routing'
import * as distribution from 'pure-rand/distribution/uniformInt'
import * as generator from 'pure-rand/generator/xoroshiro128plus'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'

const STEP_MS = 10
const CHECK_INTERVAL_MS = 150
const QUERY_TIMEOUT_MS = 800
const ANSWER_MS = 10
const SEEDS = 100

/** A version must be in force 2 s after its confirmation; peers may pause for 0.5 s before they receive it, and report it 0.04 s later. */
const REMAINING_MS = 2_000 - 500 - 40

interface Outcome { readonly answeredMs: number, readonly asked: readonly string[] }

/** Asks until a peer has answered; peers in `silent` never do. */
function ask (seed: number, peers: readonly string[], silent: ReadonlySet<string>): Outcome {
  const source = generator.xoroshiro128plus(seed)
  const queries = routing.peerQueries.createPeerQueries()
  const asked: string[] = []
  let open: readonly { readonly peer: string, readonly endMs: number }[] = []
  for (let nowMs = 0; nowMs < 20_000; nowMs += STEP_MS) {
    for (const { peer } of open.filter(({ endMs }) => endMs <= nowMs)) {
      queries.end(peer, !silent.has(peer), nowMs)
      if (!silent.has(peer)) return { answeredMs: nowMs, asked }
    }
    open = open.filter(({ endMs }) => endMs > nowMs)
    if (nowMs % CHECK_INTERVAL_MS !== 0) continue
    const first = distribution.uniformInt(source, 0, peers.length - 1)
    const peer = queries.next([...peers.slice(first), ...peers.slice(0, first)], nowMs)
    if (peer === undefined) continue
    asked.push(peer)
    open = [...open, { peer, endMs: nowMs + (silent.has(peer) ? QUERY_TIMEOUT_MS : ANSWER_MS) }]
  }
  return { answeredMs: Infinity, asked }
}

const PEERS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h']
const suite = uvu.suite('peer queries')

for (const silent of [1, 2, 3, 5]) {
  suite(`a newer document arrives in time while ${silent} of 8 peers do not answer`, () => {
    const outcomes = Array.from({ length: SEEDS }, (_, index) => ask(index, PEERS, new Set(PEERS.slice(0, silent))))
    assert.equal(outcomes.filter(({ answeredMs }) => answeredMs > REMAINING_MS).map(({ answeredMs }) => answeredMs), [])
  })
}

suite('one peer is asked if it answers', () => {
  assert.equal(ask(1, PEERS, new Set()).asked.length, 1)
})

suite('a daemon that remains behind after an answer asks again 600 ms later', () => {
  const queries = routing.peerQueries.createPeerQueries()
  assert.is(queries.next(['a'], 0), 'a')
  queries.end('a', true, 10)
  assert.is(queries.next(['a'], 590), undefined)
  assert.is(queries.next(['a'], 600), 'a')
})

suite('nobody is asked without a peer that holds a newer state', () => {
  assert.is(routing.peerQueries.createPeerQueries().next([], 0), undefined)
})

suite.run()
