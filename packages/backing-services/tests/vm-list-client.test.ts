import * as assert from 'uvu/assert'
import * as standins from '@persimmonhatch/standins'
import * as undici from 'undici'
import * as uvu from 'uvu'
import * as httpClient from '../src/http-client.js'
import * as vmListClient from '../src/vm-list-client.js'

const VMS = [
  { name: 'engine-1', address: '127.0.0.1:8001', state: 'live' },
  { name: 'engine-2', address: '127.0.0.1:8002', state: 'leaving' }
] as const

const suite = uvu.suite('vmListClient')

suite('fetches the list, also with lag and faults', async () => {
  const timers = standins.timers.manualTimers()
  const service = await standins.vmListService.startVmListService({ timers, lagMs: 2_000 })
  const client = httpClient.createHttpClient({ connectTimeoutMs: 60_000, headersTimeoutMs: 0, bodyTimeoutMs: 0 })
  const listVms = vmListClient.createVmListClient({ client, url: `http://${service.address}`, timeoutMs: 60_000 })
  async function control (path: string, body: unknown): Promise<void> {
    const response = await undici.request(`http://${service.controlAddress}/standin/${path}`, { method: 'POST', body: JSON.stringify(body) })
    await response.body.dump()
  }
  await control('vms', { vms: VMS })
  timers.advance(1_999)
  assert.equal((await listVms())._unsafeUnwrap(), [])
  timers.advance(1)
  assert.equal((await listVms())._unsafeUnwrap(), VMS)
  for (const [answer, names] of [['short', ['engine-1']], ['empty', []], ['contradictory', ['engine-1', 'engine-1', 'engine-2', 'engine-2']]] as const) {
    await control('faults', { answer })
    assert.equal((await listVms())._unsafeUnwrap().map((vm) => vm.name), names)
  }
  await control('faults', { outage: true })
  assert.is((await listVms())._unsafeUnwrapErr().failure, 'unavailable')
  await service.close()
  await client.destroy()
})

suite.run()
