/**
 * Serves a mixed load with Atlasrenew's example and tells what happened, by tier.
 *
 * @module
 */
import * as load from '@persimmonhatch/load'
import * as platform from '@persimmonhatch/platform'
import * as protocol from '@persimmonhatch/protocol'
import * as distribution from 'pure-rand/distribution/uniformFloat64'
import * as generator from 'pure-rand/generator/xoroshiro128plus'
import * as callModule from '../call.js'
import * as deployment from '../deployment.js'
import * as recorderModule from '../recorder.js'
import * as summary from '../summary.js'
import * as systemModule from '../system.js'

const SEED = 7
const REQUESTS = 400
const REQUESTS_PER_S = 40
const MS_PER_S = 1_000

function toRequest (drawn: load.mix.Draw, name: string): callModule.Request {
  const { kind } = drawn
  return {
    request: name,
    service: kind.service,
    kind: kind.target,
    method: kind.method,
    path: kind.path,
    organisation: drawn.organisation,
    tier: kind.tier,
    rank: kind.rank,
    nonIdempotent: kind.nonIdempotent,
    promptText: load.mix.promptText(drawn, name, protocol.BYTES_PER_TOKEN),
    answerTokens: drawn.answerTokens,
    stream: kind.stream
  }
}

async function askIdentity (address: string, service: string): Promise<string | undefined> {
  const response = await fetch(`http://${address}/v1/addresses?service=${service}`)
  const { addresses } = await response.json() as { readonly addresses: readonly { readonly address: string, readonly identities: readonly string[] }[] }
  return addresses.find((choice) => choice.address === address)?.identities[0]
}

async function serveLoad (system: systemModule.System, recorder: recorderModule.Recorder): Promise<readonly summary.Served[]> {
  const source = generator.xoroshiro128plus(SEED)
  const random = (): number => distribution.uniformFloat64(source)
  const httpClient = platform.httpClient.httpClient({ connectTimeoutMs: 1_000, headersTimeoutMs: 0, bodyTimeoutMs: 0 })
  const daemons = system.daemons()
  const pending: Promise<summary.Served>[] = []

  async function serve (request: callModule.Request, daemon: (typeof daemons)[number]): Promise<summary.Served> {
    const identity = request.nonIdempotent ? await askIdentity(daemon.address, request.service) : undefined
    return { request, result: await callModule.makeCall({ recorder, httpClient, daemon, request, identity }) }
  }

  for (let index = 0; index < REQUESTS; index += 1) {
    const daemon = daemons[Math.floor(random() * daemons.length)]
    if (daemon === undefined) break
    pending.push(serve(toRequest(load.mix.draw(load.mix.ATLASRENEW, random), `r${index}`), daemon))
    await new Promise((resolve) => setTimeout(resolve, -Math.log(1 - random()) * MS_PER_S / REQUESTS_PER_S))
  }
  const served = await Promise.all(pending)
  await httpClient.close()
  return served
}

const keep = process.argv.includes('--keep')
const recorder = recorderModule.createRecorder()
const system = await systemModule.startSystem({ deployment: await deployment.readDeployment('atlasrenew'), seed: SEED, ports: keep ? 'example' : 'free' })
console.log(`${system.daemons().length} daemons serve: ${system.daemons().map((daemon) => daemon.address).join(', ')}`)
const served = await serveLoad(system, recorder)
console.log(summary.describe(served, await summary.readWaste(system)))
if (keep) {
  console.log('The processes stay up until you press Ctrl-C.')
  await new Promise((resolve) => process.once('SIGINT', resolve))
}
await system.close()
