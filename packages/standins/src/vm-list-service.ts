/**
 * Stand-in for the platform's VM list, whose changes become visible after a lag.
 *
 * @module
 */
import * as hono from 'hono'
import * as zod from 'zod'
import * as loopbackServer from './loopback-server.js'
import * as timers from './timers.js'

const VM = zod.object({ name: zod.string(), address: zod.string(), state: zod.enum(['live', 'leaving']) })
const CHANGE = zod.object({ vms: zod.array(VM) })
const FAULTS = zod.object({
  /** `true` lists all VMs, `empty` none, `short` only the first half; `contradictory` lists each VM twice, with both states. */
  answer: zod.enum(['true', 'empty', 'short', 'contradictory']),
  outage: zod.boolean()
}).partial()

/** One VM. */
export type Vm = Readonly<zod.infer<typeof VM>>

/** Initial content, and the lag until changes become visible. */
export interface Options {
  readonly port?: number | undefined
  readonly vms?: readonly Vm[] | undefined
  readonly lagMs?: number | undefined
  readonly timers?: timers.Timers
}

/** A running stand-in. */
export interface VmListService {
  readonly address: string
  readonly controlAddress: string
  readonly close: () => Promise<void>
}

interface ListVersion {
  readonly visibleAtMs: number
  readonly vms: readonly Vm[]
}

type ListFault = Exclude<zod.infer<typeof FAULTS>['answer'], undefined>

function applyListFault (vms: readonly Vm[], fault: ListFault): readonly Vm[] {
  if (fault === 'empty') return []
  if (fault === 'short') return vms.slice(0, Math.floor(vms.length / 2))
  if (fault === 'true') return vms
  return vms.flatMap((vm) => [vm, { ...vm, state: vm.state === 'live' ? 'leaving' as const : 'live' as const }])
}

/**
 * Starts the stand-in on loopback.
 *
 * @example
 * ```ts
 * const list = await startVmListService({ lagMs: 2_000, vms: [{ name: 'engine-1', address: '127.0.0.1:8000', state: 'live' }] })
 * ```
 */
export async function startVmListService (options: Options): Promise<VmListService> {
  const clock = options.timers ?? timers.systemTimers()
  const lagMs = options.lagMs ?? 0
  let versions: readonly ListVersion[] = [{ visibleAtMs: clock.now(), vms: options.vms ?? [] }]
  let answer: ListFault = 'true'

  const app = new hono.Hono<loopbackServer.Env>()
  app.get('/vms', (context) => {
    const visible = versions.filter((version) => version.visibleAtMs <= clock.now()).at(-1)
    return context.json({ vms: applyListFault(visible?.vms ?? [], answer) })
  })
  app.post('/standin/vms', async (context) => {
    const change = CHANGE.safeParse(await context.req.json())
    if (!change.success) return context.json({ error: 'not a list of VMs' }, 400)
    versions = [...versions.slice(-100), { visibleAtMs: clock.now() + lagMs, vms: change.data.vms }]
    return context.json(change.data)
  })
  app.post('/standin/faults', async (context) => {
    const change = FAULTS.safeParse(await context.req.json())
    if (!change.success) return context.json({ error: 'no such fault' }, 400)
    answer = change.data.answer ?? answer
    if (change.data.outage === true) server.refuse()
    if (change.data.outage === false) server.accept()
    return context.json({ answer })
  })

  const server = await loopbackServer.startLoopbackServer({ app, port: options.port })
  return { address: server.address, controlAddress: server.controlAddress, close: server.close }
}
