/**
 * Serves a mixed load with Atlasrenew's example and prints the results by tier.
 *
 * @module
 */
import * as load from '@persimmonhatch/load'
import * as distribution from 'pure-rand/distribution/uniformFloat64'
import * as generator from 'pure-rand/generator/xoroshiro128plus'
import type * as callModule from '../call.js'
import * as callersModule from '../callers.js'
import type * as daemonProcess from '../daemon-process.js'
import * as deployment from '../deployment.js'
import * as recorderModule from '../recorder.js'
import * as requestModule from '../request.js'
import * as summary from '../summary.js'
import * as systemModule from '../system.js'

const SEED = 7
const REQUESTS = 400
const REQUESTS_PER_S = 40
const MS_PER_S = 1_000

async function serveLoad (system: systemModule.System, recorder: recorderModule.Recorder): Promise<readonly summary.ServedRequest[]> {
  const source = generator.xoroshiro128plus(SEED)
  const random = (): number => distribution.uniformFloat64(source)
  const callers = callersModule.createCallers({ recorder, daemons: system.daemons })
  const daemons = system.daemons()
  const pending: Promise<summary.ServedRequest>[] = []

  async function serve (request: callModule.Request, queriedDaemon: daemonProcess.DaemonProcess): Promise<summary.ServedRequest> {
    const destination = await callers.findDestination(queriedDaemon, request.service)
    return { request, result: await callers.send(request, destination ?? { daemon: queriedDaemon, identity: undefined }) }
  }

  for (let index = 0; index < REQUESTS; index += 1) {
    const daemon = daemons[Math.floor(random() * daemons.length)]
    if (daemon === undefined) break
    pending.push(serve(requestModule.toRequest(load.mix.draw(load.mix.ATLASRENEW, random), `r${index}`), daemon))
    await new Promise((resolve) => setTimeout(resolve, -Math.log(1 - random()) * MS_PER_S / REQUESTS_PER_S))
  }
  const served = await Promise.all(pending)
  await callers.close()
  return served
}

const keep = process.argv.includes('--keep')
const recorder = recorderModule.createRecorder()
const system = await systemModule.startSystem({ deployment: await deployment.readDeployment('atlasrenew'), seed: SEED, ports: keep ? 'example' : 'free' })
console.log(`${system.daemons().length} daemons serve: ${system.daemons().map((daemon) => daemon.address).join(', ')}`)
const served = await serveLoad(system, recorder)
console.log(summary.formatSummary(served, await summary.readPrefillWaste(system)))
if (keep) {
  console.log('The processes stay up until you press Ctrl-C.')
  await new Promise((resolve) => process.once('SIGINT', resolve))
}
await system.close()
