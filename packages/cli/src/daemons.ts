/**
 * Discovers the live daemons and fetches their statuses.
 *
 * @module
 */
import * as document from '@persimmonhatch/document'
import type * as protocol from '@persimmonhatch/protocol'
import * as neverthrow from 'neverthrow'
import * as z from 'zod'
import * as failure from './failure.js'
import type * as ports from './ports.js'
import type * as session from './session.js'
import * as store from './store.js'

/** Prefix of the keys under which daemons register. */
export const MEMBER_PREFIX = '/persimmonhatch/members/'

/** Number of daemons to query, besides those of the settings, for state that all daemons share. */
const SAMPLE_SIZE = 3

const memberSchema = z.object({
  incarnation: z.string(),
  address: z.string(),
  availabilityZone: z.string(),
  state: z.enum(['alive', 'leaving', 'gone'])
}).readonly()

const serviceSchema = z.object({
  service: z.string(),
  revision: z.number(),
  changeId: z.string(),
  problem: z.string().optional()
}).readonly()

const targetSchema = z.object({
  target: z.string(),
  state: z.string(),
  requestsInFlight: z.number(),
  tokensInFlight: z.number(),
  limitTokens: z.number(),
  slowdown: z.number()
}).readonly()

const poolSchema = z.object({
  pool: z.string(),
  settled: z.boolean(),
  waiting: z.number(),
  targets: z.array(targetSchema).readonly()
}).readonly()

const statusSchema = z.object({
  incarnation: z.string(),
  address: z.string(),
  availabilityZone: z.string(),
  state: z.string(),
  members: z.array(memberSchema).readonly(),
  services: z.array(serviceSchema).readonly(),
  pools: z.array(poolSchema).readonly(),
  entry: z.object({ waiting: z.number(), running: z.number() }).readonly(),
  platform: z.object({ state: z.string(), callsPerMinute: z.number() }).readonly(),
  leavingTargets: z.array(z.string()).readonly()
}).readonly()

/** Member as the tool reads it; other fields are ignored. */
export type Member = z.infer<typeof memberSchema>

/** Status of a daemon as the tool reads it; other fields are ignored. */
export type Status = z.infer<typeof statusSchema>

/** Status of a daemon, or why it could not be fetched. */
export interface StatusResult {
  readonly address: protocol.Address
  readonly status: neverthrow.Result<Status, failure.Failure>
}

function parseMember (text: string): Member | undefined {
  const value = document.parseJsonc.parseJsonc(text).unwrapOr(undefined)
  const parsed = memberSchema.safeParse(value)
  return parsed.success ? parsed.data : undefined
}

/**
 * Lists the members registered on the platform that are not dead. Records that can't be parsed are skipped.
 *
 * @example
 * ```ts
 * const members = await listMembers(ports)
 * ```
 */
export function listMembers (dependencies: ports.Ports): neverthrow.ResultAsync<readonly Member[], failure.Failure> {
  return dependencies.keyValue.list(MEMBER_PREFIX).mapErr(store.toReadFailure).map((listing) => {
    const members = listing.entries.map((entry) => parseMember(entry.value))
    return members.filter((each) => each !== undefined && each.state !== 'gone') as readonly Member[]
  })
}

/**
 * Fetches the status of one daemon.
 *
 * @example
 * ```ts
 * const { status } = await fetchStatus(ports, '10.0.0.7:7400')
 * ```
 */
export async function fetchStatus (dependencies: ports.Ports, address: protocol.Address): Promise<StatusResult> {
  const response = await dependencies.queryDaemon(address, '/v1/status')
  const parsed = response.andThen(({ body }) => {
    const checked = statusSchema.safeParse(body)
    return checked.success ? neverthrow.ok(checked.data) : neverthrow.err(new failure.Failure('daemonUnreachable', 'daemon-malformed', { address }))
  })
  return { address, status: parsed }
}

function liveAddresses (results: readonly StatusResult[]): readonly protocol.Address[] {
  const members = results.flatMap((each) => each.status.isOk() ? each.status.value.members : [])
  return members.filter((each) => each.state !== 'gone').map((each) => each.address)
}

/** Daemons to query in addition to the discovered ones, and daemons not to query. */
export interface Selection {
  readonly include: readonly protocol.Address[]
  readonly exclude: ReadonlySet<protocol.Address>
}

/** Selects exactly the discovered daemons. */
export const ALL_DISCOVERED: Selection = { include: [], exclude: new Set() }

async function discoverAddresses (run: session.Session): Promise<readonly protocol.Address[]> {
  const members = (await listMembers(run.ports)).unwrapOr([])
  return [...new Set([...run.settings.daemons, ...members.map((each) => each.address)])]
}

/**
 * Fetches the status of every daemon that the settings name or that the platform or another daemon
 * lists as live. If the platform is unreachable, the daemons of the settings and their peers are queried.
 *
 * @example
 * ```ts
 * const results = await fetchAllStatuses(session, ALL_DISCOVERED)
 * ```
 */
export async function fetchAllStatuses (run: session.Session, { include, exclude }: Selection): Promise<readonly StatusResult[]> {
  const candidates = new Set([...await discoverAddresses(run), ...include])
  const selected = [...candidates].filter((address) => !exclude.has(address))
  const results = await Promise.all(selected.map((address) => fetchStatus(run.ports, address)))
  const discovered = [...new Set(liveAddresses(results))].filter((address) => !selected.includes(address) && !exclude.has(address))
  return [...results, ...await Promise.all(discovered.map((address) => fetchStatus(run.ports, address)))]
}

/**
 * Fetches the statuses of the daemons of the settings and of a random sample of the others, which is
 * enough for state that all daemons share.
 *
 * @example
 * ```ts
 * const results = await fetchSampledStatuses(session)
 * ```
 */
export async function fetchSampledStatuses (run: session.Session): Promise<readonly StatusResult[]> {
  const candidates = await discoverAddresses(run)
  const ranked = candidates.map((address) => ({ address, key: run.settings.daemons.includes(address) ? -1 : run.ports.random() }))
  const sample = ranked.sort((left, right) => left.key - right.key).slice(0, run.settings.daemons.length + SAMPLE_SIZE)
  return await Promise.all(sample.map(({ address }) => fetchStatus(run.ports, address)))
}
