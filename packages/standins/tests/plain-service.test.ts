import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as plainService from '../src/plain-service.js'

interface Log {
  readonly requests: readonly plainService.LogEntry[]
}

const suite = uvu.suite('plain service')

async function sendReservation (address: string, marker: string, body = 'x'.repeat(100_000)): Promise<string> {
  try {
    const response = await fetch(`http://${address}/reserve`, { method: 'POST', body, headers: { 'x-marker': marker } })
    return (await response.json() as { readonly marker: string }).marker
  } catch {
    return 'failed'
  }
}

const RESET_CASES = [
  { when: 'before', ran: 0 },
  { when: 'during', ran: 0 },
  { when: 'after', ran: 1 }
] as const

for (const { when, ran } of RESET_CASES) {
  suite(`a reset ${when} the transfer of the request`, async () => {
    const service = await plainService.startPlainService({})
    await fetch(`http://${service.controlAddress}/standin/faults`, { method: 'POST', body: JSON.stringify({ resetNext: [when] }) })
    assert.is(await sendReservation(service.address, 'r1'), 'failed')
    assert.is(await sendReservation(service.address, 'r2'), 'r2')
    const { requests } = await (await fetch(`http://${service.controlAddress}/standin/log`)).json() as Log
    assert.is(requests.filter((entry) => entry.marker === 'r1' && entry.ranAtMs !== undefined).length, ran)
    assert.is(requests.filter((entry) => entry.marker === 'r2' && entry.outcome === 'answered').length, 1)
    await service.close()
  })
}

suite('a held request is answered when the hold ends', async () => {
  const service = await plainService.startPlainService({})
  const setFaults = async (faults: object): Promise<Response> => await fetch(`http://${service.controlAddress}/standin/faults`, { method: 'POST', body: JSON.stringify(faults) })
  await setFaults({ heldPrefix: 'held-' })
  let answered = false
  const response = sendReservation(service.address, 'held-1').then((marker) => {
    answered = true
    return marker
  })
  for (let runs = 0; runs === 0;) {
    const { requests } = await (await fetch(`http://${service.controlAddress}/standin/log`)).json() as Log
    runs = requests.filter((entry) => entry.ranAtMs !== undefined).length
  }
  assert.is(await sendReservation(service.address, 'r2'), 'r2')
  assert.is(answered, false)
  await setFaults({ heldPrefix: '' })
  assert.is(await response, 'held-1')
  await service.close()
})

suite('a body with the crash marker crashes the service', async () => {
  const service = await plainService.startPlainService({ crashMarker: 'CRASH' })
  assert.is(await sendReservation(service.address, 'r1', 'CRASH'), 'failed')
  assert.is(await sendReservation(service.address, 'r2'), 'failed')
  const { requests } = await (await fetch(`http://${service.controlAddress}/standin/log`)).json() as Log
  assert.equal(requests.map((entry) => entry.outcome), ['crashed'])
  await service.close()
})

suite.run()
