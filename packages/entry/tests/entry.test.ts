import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as fixtures from './fixtures.js'

const { AUTHORITY, OTHER_AUTHORITY, ENTRY, STOCK } = fixtures

const test = uvu.suite('entry')

function createDriver (options = {}): fixtures.Driver {
  return new fixtures.Driver(options).initialise()
}

test('a request is dispatched once when its slot request is granted, finishes and releases its slot', () => {
  const driver = createDriver()
  const slotRequest = fixtures.slotRequestOf(driver.arrive())
  assert.equal([slotRequest.pool, slotRequest.tier, slotRequest.organisation, slotRequest.answerTokens], ['north', 3, 'fez', 100])
  assert.equal(fixtures.summarise(driver.grant(slotRequest)), ['dispatch 1 stock-1'])
  assert.equal(fixtures.summarise(driver.grant(slotRequest)), [])
  const ended = driver.end('finished')
  assert.equal(fixtures.summarise(ended), ['settled finished ran'])
  assert.equal(fixtures.releases(ended), [`${slotRequest.ask} finished ${AUTHORITY}`])
  assert.is(driver.entry.receipt(`${ENTRY}.10.a`)?.target, 'stock-1')
  assert.equal(driver.entry.status(), { waiting: 0, running: 0, remembered: 1, draining: false })
})

test('a resend joins the running request, then receives the retained response; other content or another organisation is refused', () => {
  const driver = createDriver()
  const slotRequest = fixtures.slotRequestOf(driver.arrive())
  assert.equal(fixtures.summarise(driver.arrive({ request: 2 })), ['join 2 1'])
  driver.grant(slotRequest)
  assert.equal(fixtures.summarise(driver.arrive({ request: 3 })), ['join 3 1'])
  driver.end('finished')
  assert.equal(fixtures.summarise(driver.arrive({ request: 4 })), ['join 4 1'])
  assert.equal(fixtures.summarise(driver.arrive({ request: 5, fingerprint: 'f2' })), ['refuse 5 identity-reused not-run'])
  assert.equal(fixtures.summarise(driver.arrive({ request: 6, organisation: 'rabat' })), ['refuse 6 identity-reused unknown'])
})

test('a refused identity stays refused: a late copy of the request is not run after the caller received the refusal', () => {
  const driver = createDriver()
  const slotRequest = fixtures.slotRequestOf(driver.arrive())
  driver.arrive({ request: 2 })
  assert.equal(fixtures.summarise(driver.refuse(slotRequest, 'shed')), ['refuse 1 shed not-run', 'refuse 2 shed not-run', 'settled shed not-run'])
  assert.equal(fixtures.summarise(driver.arrive({ request: 3 })), ['refuse 3 shed not-run'])
  driver.arrive({ request: 4, identity: `${ENTRY}.10.b`, tier: 'gold' })
  assert.equal(fixtures.summarise(driver.arrive({ request: 5, identity: `${ENTRY}.10.b`, tier: 'gold' })), ['refuse 5 unknown-tier not-run'])
})

const ADMISSIONS: ReadonlyArray<readonly [string, Parameters<fixtures.Driver['arrive']>[0], string]> = [
  ['service', { service: 'spare' }, 'unknown-service not-run'],
  ['organisation', { organisation: undefined }, 'unknown-organisation not-run'],
  ['tier', { tier: 'gold' }, 'unknown-tier not-run'],
  ['non-idempotent without identity', { path: '/reserve', identity: undefined }, 'identity-required not-run'],
  ['non-idempotent by another spelling', { path: '//x/../%72eserve/?a=1', identity: undefined }, 'identity-required not-run'],
  ['malformed identity', { identity: 'mine' }, 'identity-malformed not-run'],
  ['identity from the future', { identity: `${ENTRY}.16.a` }, 'identity-malformed not-run'],
  ['identity of a removed daemon', { identity: 'entry00000009.10.a' }, 'outcome-unknown unknown']
]

for (const [name, change, expected] of ADMISSIONS) {
  test(`refuses at admission: ${name}`, () => {
    assert.is(fixtures.summarise(createDriver().arrive(change))[0], `refuse 1 ${expected}`)
  })
}

test('a caller whose identity another daemon owns is redirected while that daemon is alive', () => {
  const owner = {
    kind: 'member', incarnation: 'entry00000002', address: '10.0.0.2:7400', peerAddress: '10.0.0.2:7500', availabilityZone: 'a', region: 'r', beat: 4, load: 0
  } as const
  const alive = createDriver({ findMember: () => ({ ...owner, state: 'alive' }) })
  assert.equal(fixtures.summarise(alive.arrive({ identity: 'entry00000002.1.a' })), ['redirect 1 10.0.0.2:7400'])
  const gone = createDriver({ findMember: () => ({ ...owner, state: 'gone' }) })
  assert.equal(fixtures.summarise(gone.arrive({ identity: 'entry00000002.1.a' })), ['refuse 1 outcome-unknown unknown'])
})

test('an identity past its retention is refused as expired and not run', () => {
  const driver = createDriver()
  driver.grant(fixtures.slotRequestOf(driver.arrive()))
  driver.end('finished')
  assert.equal(fixtures.summarise(driver.handle({ kind: 'heartbeat', heartbeat: 610 })), [])
  assert.equal(fixtures.summarise(driver.handle({ kind: 'heartbeat', heartbeat: 611 })), ['forget 1'])
  assert.equal(fixtures.summarise(driver.arrive({ request: 2 })), ['refuse 2 identity-expired unknown'])
})

test('a full ledger shortens the retention and never runs an identity again', () => {
  const driver = createDriver({ identityLimit: 2 })
  driver.refuse(fixtures.slotRequestOf(driver.arrive({ identity: `${ENTRY}.8.a` })), 'shed')
  driver.arrive({ request: 2, identity: `${ENTRY}.9.a` })
  assert.ok(fixtures.summarise(driver.arrive({ request: 3 })).includes('forget 1'))
  assert.equal(fixtures.summarise(driver.arrive({ request: 4, identity: `${ENTRY}.8.a` })), ['refuse 4 identity-expired unknown'])
  assert.equal(fixtures.summarise(driver.arrive({ request: 5, identity: `${ENTRY}.9.a` })), ['join 5 2'])
})

test('unusable grants are released and a new slot request is sent', () => {
  const driver = createDriver()
  const first = fixtures.slotRequestOf(driver.arrive())
  driver.nowMs = 2_000
  const stale = driver.grant(first)
  assert.equal(fixtures.releases(stale), [`${first.ask} unused ${AUTHORITY}`])
  const second = fixtures.slotRequestOf(stale)
  assert.equal(fixtures.releases(driver.grant(second, 'stock-3')), [`${second.ask} unused ${AUTHORITY}`])
  const third = fixtures.slotRequestOf(driver.wait(100))
  driver.handle({ kind: 'target', update: { kind: 'target', target: 'stock-1', version: 1, state: 'leaving' } })
  assert.equal(fixtures.releases(driver.grant(third)), [`${third.ask} unused ${AUTHORITY}`])
  const fourth = fixtures.slotRequestOf(driver.wait(100))
  assert.equal(fixtures.releases(driver.grant(fourth, 'stock-2', OTHER_AUTHORITY)), [`${fourth.ask} unused ${OTHER_AUTHORITY}`])
  assert.equal(fixtures.summarise(driver.grant(fourth, 'stock-2')), ['dispatch 1 stock-2'])
})

test('a refusal or revocation of a former slot request is ignored', () => {
  const driver = createDriver()
  const former = fixtures.slotRequestOf(driver.arrive())
  driver.nowMs = 2_000
  const present = fixtures.slotRequestOf(driver.grant(former))
  assert.equal(fixtures.summarise(driver.refuse(former, 'shed')), [])
  assert.equal(fixtures.messages(driver.receive({ kind: 'revocation', ask: former.ask, cause: 'withdrawn' }), 'ask'), [])
  assert.equal(fixtures.summarise(driver.grant(present)), ['dispatch 1 stock-1'])
})

test('a change of authority, a reconnection and a resume each send a slot request; former grants are released', () => {
  const driver = createDriver()
  const first = fixtures.slotRequestOf(driver.arrive())
  const second = fixtures.slotRequestOf(driver.assign(OTHER_AUTHORITY))
  assert.equal(fixtures.releases(driver.grant(first)), [`${first.ask} unused ${AUTHORITY}`])
  const reconnected = driver.assign(OTHER_AUTHORITY, [OTHER_AUTHORITY])
  assert.equal(fixtures.messages(reconnected, 'holdings').length, 2)
  const third = fixtures.slotRequestOf(reconnected)
  const fourth = fixtures.slotRequestOf(driver.handle({ kind: 'resumed' }))
  for (const formerGrant of [second, third]) assert.equal(fixtures.summarise(driver.grant(formerGrant, 'stock-1', OTHER_AUTHORITY)), [])
  assert.equal(fixtures.summarise(driver.grant(fourth, 'stock-1', OTHER_AUTHORITY)), ['dispatch 1 stock-1'])
})

test('a former authority cannot grant the present slot request, even in a fresh round', () => {
  const driver = createDriver()
  const former = fixtures.slotRequestOf(driver.arrive())
  const present = fixtures.slotRequestOf(driver.assign(OTHER_AUTHORITY))
  assert.equal(fixtures.summarise(driver.grant({ ...present, round: former.round })), [])
  assert.equal(fixtures.summarise(driver.grant(present, 'stock-1', OTHER_AUTHORITY)), ['dispatch 1 stock-1'])
})

test('an authority that returns without a collect receives the holdings that its substitute granted before a slot request', () => {
  const driver = createDriver()
  driver.arrive()
  driver.grant(fixtures.slotRequestOf(driver.assign(OTHER_AUTHORITY)), 'stock-1', OTHER_AUTHORITY)
  driver.arrive({ request: 2, identity: `${ENTRY}.10.b` })
  const sent = fixtures.sentKinds(driver.assign(AUTHORITY))
  assert.equal(sent, [`holdings ${AUTHORITY}`, `withdraw ${OTHER_AUTHORITY}`, `ask ${AUTHORITY}`])
  assert.equal(fixtures.releases(driver.end('finished')).length, 2)
  assert.equal(fixtures.messages(driver.assign(AUTHORITY), 'holdings'), [])
})

test('rounds are renewed while slot requests wait, and a grant that echoes a renewed round is used', () => {
  const driver = createDriver()
  const slotRequest = fixtures.slotRequestOf(driver.arrive())
  assert.is(fixtures.messages(driver.wait(499), 'round').length, 0)
  const [round] = fixtures.messages(driver.wait(1), 'round')
  driver.nowMs = 2_400
  const renewed = round?.message.kind === 'round' ? round.message.round : 0
  assert.equal(fixtures.summarise(driver.grant({ ...slotRequest, round: renewed })), ['dispatch 1 stock-1'])
  assert.is(fixtures.messages(driver.wait(1_000), 'round').length, 0)
})

test('rounds are sent in messages of their own although slot requests for one pool of the authority carry newer ones', () => {
  const driver = createDriver({ orderPools: (pools: readonly string[], key: string) => key.endsWith('south') ? ['south'] : [...pools].sort() })
  driver.arrive({ prefixes: ['south'] })
  const sentAtMs: number[] = []
  for (let step = 1; step <= 30; step++) {
    driver.arrive({ request: step + 1, identity: `${ENTRY}.10.n${step}` })
    if (fixtures.messages(driver.wait(100), 'round').length > 0) sentAtMs.push(driver.nowMs)
  }
  assert.equal(sentAtMs, [500, 1_000, 1_500, 2_000, 2_500, 3_000])
})

test('a slot request without a reply is retried under its id', () => {
  const driver = createDriver()
  const slotRequest = fixtures.slotRequestOf(driver.arrive())
  assert.equal(fixtures.messages(driver.wait(14_999), 'ask'), [])
  assert.is(fixtures.slotRequestOf(driver.wait(1)).ask, slotRequest.ask)
  assert.equal(fixtures.messages(driver.wait(14_999), 'ask'), [])
})

test('without an authority a request waits until its deadline, and requests a slot when one is known', () => {
  const driver = createDriver()
  driver.handle({ kind: 'authorities', authorities: new Map(), reconnected: [] })
  assert.equal(fixtures.summarise(driver.arrive({ deadlineMs: 5_000 })), [])
  assert.equal(fixtures.summarise(driver.wait(4_999)), [])
  fixtures.slotRequestOf(driver.assign(AUTHORITY))
  assert.equal(fixtures.summarise(driver.wait(1)), ['refuse 1 deadline-unreachable not-run', 'settled deadline-unreachable not-run'])
})

test('a grant after the deadline is released, also before a tick has refused the request', () => {
  const driver = createDriver()
  const slotRequest = fixtures.slotRequestOf(driver.arrive({ deadlineMs: 1_000 }))
  driver.nowMs = 1_000
  assert.equal(fixtures.releases(driver.grant(slotRequest)), [`${slotRequest.ask} unused ${AUTHORITY}`])
  assert.equal(fixtures.summarise(driver.wait(0))[0], 'refuse 1 deadline-unreachable not-run')
})

test('no-authority leads to a new slot request; no-target to the other pool, and there to the final refusal', () => {
  const driver = createDriver()
  assert.equal(fixtures.summarise(driver.refuse(fixtures.slotRequestOf(driver.arrive()), 'no-authority')), [])
  const second = fixtures.slotRequestOf(driver.wait(500))
  const third = fixtures.slotRequestOf(driver.refuse(second, 'no-target'))
  assert.is(third.pool, 'south')
  assert.equal(fixtures.summarise(driver.refuse(second, 'shed')), [])
  assert.equal(fixtures.summarise(driver.refuse(third, 'no-target')), ['refuse 1 no-target not-run', 'settled no-target not-run'])
})

test('another slot is requested after an unreachable target, a bounded number of times', () => {
  const driver = createDriver()
  let slotRequest = fixtures.slotRequestOf(driver.arrive())
  for (let count = 1; count < 3; count++) {
    assert.equal(fixtures.summarise(driver.grant(slotRequest)), ['dispatch 1 stock-1'])
    slotRequest = fixtures.slotRequestOf(driver.end('unreachable'))
  }
  driver.grant(slotRequest)
  assert.equal(fixtures.summarise(driver.end('unreachable')), ['refuse 1 target-unreachable not-run', 'settled target-unreachable not-run'])
})

const DISPATCH_ENDS = [
  ['failed', 'target-failed unknown'],
  ['crashed', 'target-failed unknown'],
  ['incomplete', 'answer-incomplete ran'],
  ['cancelled', 'target-failed unknown']
] as const

for (const [outcome, expected] of DISPATCH_ENDS) {
  test(`a dispatch that ended as ${outcome} is final and is not retried`, () => {
    const driver = createDriver()
    driver.grant(fixtures.slotRequestOf(driver.arrive()))
    assert.equal(fixtures.summarise(driver.end(outcome)), [`refuse 1 ${expected}`, `settled ${expected}`])
    assert.equal(fixtures.summarise(driver.arrive({ request: 2 })), [`refuse 2 ${expected}`])
  })
}

test('preemption cancels an idempotent request once and reports that it ran, and never cancels a non-idempotent one', () => {
  const driver = createDriver()
  const slotRequest = fixtures.slotRequestOf(driver.arrive())
  driver.grant(slotRequest)
  const revocation = { kind: 'revocation', ask: slotRequest.ask, cause: 'preempted' } as const
  assert.equal(fixtures.summarise(driver.receive(revocation)), ['cancel 1'])
  assert.equal(fixtures.summarise(driver.receive(revocation)), [])
  assert.equal(fixtures.summarise(driver.end('cancelled')), ['refuse 1 preempted ran', 'settled preempted ran'])
  const reservation = fixtures.slotRequestOf(driver.arrive({ request: 2, identity: `${ENTRY}.10.b`, path: '/reserve' }))
  driver.grant(reservation)
  assert.equal(fixtures.summarise(driver.receive({ ...revocation, ask: reservation.ask })), [])
})

test('a caller with an identity may reconnect: its waiting request is kept for a time, its running one continues', () => {
  const driver = createDriver()
  const slotRequest = fixtures.slotRequestOf(driver.arrive())
  driver.handle({ kind: 'caller-gone', request: 1 })
  assert.equal(fixtures.summarise(driver.wait(4_999)), [])
  driver.arrive({ request: 2 })
  assert.equal(fixtures.summarise(driver.wait(1_000)), [])
  driver.handle({ kind: 'caller-gone', request: 2 })
  assert.equal(fixtures.summarise(driver.wait(5_000)), ['settled caller-gone not-run'])
  assert.equal(fixtures.summarise(driver.grant(slotRequest)), [])
  driver.grant(fixtures.slotRequestOf(driver.arrive({ request: 3, identity: `${ENTRY}.10.b` })))
  assert.equal(fixtures.summarise(driver.handle({ kind: 'caller-gone', request: 3 })), [])
  assert.equal(fixtures.summarise(driver.wait(60_000)), [])
})

test('a request without an identity ends when its caller disconnects', () => {
  const driver = createDriver()
  const slotRequest = fixtures.slotRequestOf(driver.arrive({ identity: undefined }))
  const gone = driver.handle({ kind: 'caller-gone', request: 1 })
  assert.equal(fixtures.summarise(gone), ['settled caller-gone not-run'])
  assert.is(fixtures.messages(gone, 'withdraw').length, 1)
  assert.equal(fixtures.releases(driver.grant(slotRequest)), [`${slotRequest.ask} unused ${AUTHORITY}`])
  driver.grant(fixtures.slotRequestOf(driver.arrive({ request: 2, identity: undefined })))
  assert.equal(fixtures.summarise(driver.handle({ kind: 'caller-gone', request: 2 })), ['cancel 2'])
  assert.equal(fixtures.summarise(driver.end('cancelled', 2)), ['settled caller-gone-dispatched unknown'])
})

test('outcomes of requests without an identity serve only receipts: they displace no identities, and nothing runs under the issued ones', () => {
  const driver = createDriver({ identityLimit: 1, receiptOnlyLimit: 1 })
  driver.arrive()
  const refused = driver.arrive({ request: 2, identity: undefined, tier: 'gold' }).find((output) => output.kind === 'refuse')
  const identity = refused?.kind === 'refuse' ? refused.receipt.identity : ''
  assert.is(driver.entry.receipt(identity)?.reason, 'unknown-tier')
  assert.equal(fixtures.summarise(driver.arrive({ request: 3, identity })), ['refuse 3 identity-expired unknown'])
  assert.equal(fixtures.summarise(driver.arrive({ request: 4, identity: undefined, organisation: undefined })).at(-1), 'forget 2')
  assert.equal(fixtures.summarise(driver.arrive({ request: 5 })), ['join 5 1'])
  assert.equal(fixtures.summarise(driver.handle({ kind: 'heartbeat', heartbeat: 611 })), ['forget 4'])
})

test('at the limit a waiting request of a lower tier is displaced, otherwise the arrival is refused', () => {
  const driver = createDriver({ requestLimit: 1 })
  driver.arrive()
  const displacing = driver.arrive({ request: 2, identity: `${ENTRY}.10.b`, tier: 'counter' })
  assert.equal(fixtures.summarise(displacing), ['refuse 1 daemon-full not-run', 'settled daemon-full not-run'])
  assert.equal(fixtures.summarise(driver.arrive({ request: 3, identity: `${ENTRY}.10.c`, tier: 'counter' }))[0], 'refuse 3 daemon-full not-run')
})

test('a change of documents applies to a waiting request', () => {
  const driver = createDriver()
  const first = fixtures.slotRequestOf(driver.arrive())
  assert.equal(driver.handle({ kind: 'documents', documents: [STOCK] }), [])
  const raised = { ...STOCK, tiers: STOCK.tiers.map((tier) => ({ ...tier, rank: tier.rank + 1 })) }
  const second = fixtures.slotRequestOf(driver.handle({ kind: 'documents', documents: [raised] }))
  assert.equal([second.tier, second.ask === first.ask], [4, false])
  assert.equal(fixtures.summarise(driver.handle({ kind: 'documents', documents: [] })), ['refuse 1 unknown-service not-run', 'settled unknown-service not-run'])
})

test('content that crashed targets is refused for the stated time, also when it already waits', () => {
  const driver = createDriver()
  driver.arrive()
  const update = { kind: 'suspect', fingerprint: 'f1', version: 2, state: 'refused', crashes: 2, remainingMs: 30_000 } as const
  assert.equal(fixtures.summarise(driver.handle({ kind: 'suspect', update }))[0], 'refuse 1 suspect-refused not-run')
  driver.handle({ kind: 'suspect', update: { ...update, version: 1, state: 'cleared' } })
  assert.equal(fixtures.summarise(driver.arrive({ request: 2, identity: `${ENTRY}.10.b` }))[0], 'refuse 2 suspect-refused not-run')
  driver.wait(30_000)
  fixtures.slotRequestOf(driver.arrive({ request: 3, identity: `${ENTRY}.10.c` }))
})

test('a planned stop refuses new requests, serves waiting and running ones, and reports drained once', () => {
  const driver = createDriver()
  const slotRequest = fixtures.slotRequestOf(driver.arrive())
  assert.equal(fixtures.summarise(driver.handle({ kind: 'drain' })), [])
  assert.equal(fixtures.summarise(driver.arrive({ request: 2, identity: `${ENTRY}.10.b` }))[0], 'refuse 2 draining not-run')
  driver.grant(slotRequest)
  assert.equal(fixtures.summarise(driver.arrive({ request: 3 })), ['join 3 1'])
  assert.equal(fixtures.summarise(driver.end('finished')), ['settled finished ran', 'drained'])
  assert.equal(fixtures.summarise(driver.wait(100)), [])
})

test('a collect is answered with every slot in the pool, then waiting slot requests are retried', () => {
  const driver = createDriver()
  driver.grant(fixtures.slotRequestOf(driver.arrive()))
  const waiting = fixtures.slotRequestOf(driver.arrive({ request: 2, identity: `${ENTRY}.10.b` }))
  driver.nowMs = 40
  const collected = driver.receive({ kind: 'collect', pool: 'north' })
  const [sent] = fixtures.messages(collected, 'holdings')
  assert.equal(sent?.message.kind === 'holdings' && sent.message.holdings.map((each) => [each.target, each.runningMs]), [['stock-1', 40]])
  assert.equal(fixtures.slotRequestOf(collected), { ...waiting, waitedMs: 40, deadlineMs: waiting.deadlineMs - 40 })
})

test.run()
