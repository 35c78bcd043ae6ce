import * as load from '@persimmonhatch/load'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as trafficModule from '../src/traffic.js'
import * as fixtureModule from './fixture.js'

const REQUESTS_PER_S = 1_000

const suite = uvu.suite('fixture')

suite('closing a fixture stops traffic that a failed test left running', async () => {
  let daemonReads = 0
  const traffic = trafficModule.startTraffic({
    callers: {
      httpClient: undefined as never,
      findDestination: async () => undefined,
      send: async () => { throw new Error('No address was returned, so nothing may be sent.') },
      close: async () => {}
    },
    daemons: () => {
      daemonReads += 1
      return []
    },
    mix: load.mix.ATLASRENEW,
    random: () => 0.5,
    requestsPerS: REQUESTS_PER_S,
    duplicateShare: 0,
    disconnectShare: 0,
    namePrefix: 'left-'
  })
  const closed: string[] = []
  const close = (name: string) => async (): Promise<void> => { closed.push(name) }
  try {
    await fixtureModule.closeFixture({ system: { close: close('system') }, callers: { close: close('callers') }, traffic: [traffic] })
    const readsAtClose = daemonReads
    await fixtureModule.wait(20)
    assert.is(daemonReads, readsAtClose, 'traffic goes on after the fixture was closed')
    assert.equal(closed, ['system', 'callers'])
  } finally {
    await traffic.stop()
  }
})

suite.run()
