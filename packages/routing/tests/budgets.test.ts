import * as routing from '@persimmonhatch/routing'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as fixtures from './fixtures.js'

const suite = uvu.suite('budgets over all daemons')

const DAEMONS = 9
const WINDOW_MS = 10_000

suite('retries of isolated daemons stay within the budget of the fleet', () => {
  const bound = { ratio: 0.2, allowance: 58, windowMs: WINDOW_MS }
  const budgets = Array.from({ length: DAEMONS }, () => routing.retryBudget.createRetryBudget(bound))
  let requests = 0
  let retries = 0
  for (let nowMs = 0; nowMs < WINDOW_MS; nowMs += 50) {
    for (const budget of budgets) {
      budget.countRequest('stock', nowMs)
      requests += 1
      for (let attempts = 0; attempts < 3; attempts += 1) if (budget.acquireRetry('stock', DAEMONS, nowMs)) retries += 1
    }
  }
  assert.ok(retries <= bound.ratio * requests + bound.allowance, `${retries} retries for ${requests} requests`)
  assert.ok(retries > 0)
})

suite('retries are available again after the window', () => {
  const budget = routing.retryBudget.createRetryBudget({ ratio: 0.2, allowance: 9, windowMs: WINDOW_MS })
  let first = 0
  while (budget.acquireRetry('stock', 1, 0)) first += 1
  assert.ok(first > 0)
  assert.not.ok(budget.acquireRetry('stock', 1, WINDOW_MS / 2))
  assert.ok(budget.acquireRetry('stock', 1, 2 * WINDOW_MS + 2_000))
})

suite('isolated daemons together admit no more than the cap', () => {
  const toleratedTokens = 500
  const capsOfDaemons = Array.from({ length: DAEMONS }, () => routing.tokenCap.createTokenCaps({ toleratedTokens: toleratedTokens / DAEMONS }))
  let used = 0
  for (const caps of capsOfDaemons) {
    caps.adopt([{ ...fixtures.ORGANISATION, cap: { tokensPerS: 1_000, burst: 0 } }], 0)
    caps.setReach({ live: 1, members: DAEMONS })
  }
  const seconds = 8
  for (let nowMs = 0; nowMs < seconds * 1_000; nowMs += 10) {
    for (const caps of capsOfDaemons) if (caps.admit('maarif', 20, nowMs).kind === 'admitted') used += 20
  }
  assert.ok(used <= 1_000 * seconds + toleratedTokens, `${used} tokens`)
  assert.ok(used > 1_000 * seconds / 2)
})

suite('tokens that a peer reports are deducted from the cap', () => {
  const caps = routing.tokenCap.createTokenCaps({ toleratedTokens: 0 })
  caps.adopt([fixtures.ORGANISATION], 0)
  caps.applyReported('maarif', 2_000, 0)
  const admission = caps.admit('maarif', 100, 0)
  assert.is(admission.kind, 'over-cap')
  assert.ok(admission.kind === 'over-cap' && admission.retryAfterMs > 0)
  assert.is(caps.admit('maarif', 100, 5_000).kind, 'admitted')
})

suite('refunded requests under overload do not use up the cap at the other daemons', () => {
  const PER_REQUEST = 100
  const ROUND_MS = 100
  const ROUNDS = 100
  // Each daemon admits two requests in a round and one of them runs; the cap allows 20 % more than those that run.
  const tokensPerS = 1.2 * DAEMONS * PER_REQUEST * 1_000 / ROUND_MS
  const capsOfDaemons = Array.from({ length: DAEMONS }, () => routing.tokenCap.createTokenCaps({ toleratedTokens: 0 }))
  const reportedTotals = new Map<string, number>()
  let refused = 0
  for (const caps of capsOfDaemons) caps.adopt([{ ...fixtures.ORGANISATION, cap: { tokensPerS, burst: 2 * tokensPerS } }], 0)
  for (let round = 0; round < ROUNDS; round += 1) {
    const nowMs = round * ROUND_MS
    for (const caps of capsOfDaemons) {
      const admitted = [1, 2].filter(() => caps.admit('maarif', PER_REQUEST, nowMs).kind === 'admitted').length
      refused += 2 - admitted
      if (admitted === 2) caps.refund('maarif', PER_REQUEST, nowMs)
    }
    for (const [from, sender] of capsOfDaemons.entries()) {
      const total = sender.used().get('maarif') ?? 0
      for (const [to, receiver] of capsOfDaemons.entries()) {
        if (to === from) continue
        receiver.applyReported('maarif', total - (reportedTotals.get(`${from}-${to}`) ?? 0), nowMs)
        reportedTotals.set(`${from}-${to}`, total)
      }
    }
  }
  assert.is(refused, 0)
})

suite('an organisation without a cap is always admitted', () => {
  const caps = routing.tokenCap.createTokenCaps({ toleratedTokens: 0 })
  caps.adopt([{ ...fixtures.ORGANISATION, cap: undefined }], 0)
  assert.is(caps.admit('maarif', 1_000_000, 0).kind, 'admitted')
})

suite.run()
