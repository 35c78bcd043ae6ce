/**
 * Daemons that have lost their paths to targets, in a simulated fleet. Callers, peers and the store still reach them.
 */
import type * as routing from '@persimmonhatch/routing'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'
import * as rawHeaders from '../src/raw-headers.js'
import * as fixture from './fixture.js'
import * as servingFleet from './serving-fleet.js'
import type * as simulatedLinks from './simulated-links.js'

const DAEMONS = 9
const TARGETS = 8
const SLOTS = 12
const REQUESTS_PER_S = 126
const MS_PER_S = 1_000
const ARRIVAL_STEP_MS = 20
const SEED = 26

/** The users' bounds: from this time on, first tries at daemons that are cut off are served two thirds as often as elsewhere. */
const STABLE_MS = 3_000
const SERVED_SHARE = 2 / 3

const CUT_MS = 12_000
const BEFORE_MS = 3_000
const ENDING_MS = 6_000

const ROUTES = ['/read/', '/write/', '/generate/'] as const

interface Scenario {
  /** Path of a daemon to a target, by time since the start of the cut. */
  readonly pathOf: (daemon: number, target: number, sinceMs: number) => simulatedLinks.Path
  readonly isCutOff: (daemon: number) => boolean
  /** Called in each step. */
  readonly eachStep?: (fleet: servingFleet.ServingFleet, sinceMs: number) => void
}

interface Served {
  readonly requests: number
  readonly served: number
}

interface Result {
  readonly cutOff: Served
  readonly others: Served
  /** Requests of `/write/`, which must run once, that reached targets more than once. */
  readonly repeatedWrites: number
  /** Requests that were refused as not run although a target got them. */
  readonly falseRefusals: number
}

function documentOf (): routing.document.RoutingDocument {
  const base = servingFleet.documentOf(SLOTS)
  const routes = base.routes.flatMap((route) => [
    route,
    { ...route, name: 'read', prefix: '/read/', kind: 'idempotent' as const, resumable: false, timeoutMs: 1_500, targetLatencyMs: 121 },
    { ...route, name: 'write', prefix: '/write/', kind: 'non-idempotent' as const, resumable: false, timeoutMs: 1_500, targetLatencyMs: 121, attempts: 1 }
  ].map((each) => each === route ? each : { ...each, shares: [{ service: 'stock', weight: 1 }] }))
  return { ...base, routes, services: [...base.services, { name: 'stock', connections: 110, engine: undefined }] }
}

function isServed (reply: servingFleet.Reply): boolean {
  return reply.status() === 200 && reply.end() === 'complete'
}

function countServed (replies: readonly servingFleet.Reply[]): Served {
  return { requests: replies.length, served: replies.filter(isServed).length }
}

function play (scenario: Scenario): Result {
  const targets = Array.from({ length: TARGETS }, (_, index): routing.targetRegistry.Target => ({
    id: `i-${index}`, service: index < 4 ? 'support' : 'stock', address: `10.9.0.${index}:80`, availabilityZone: 'casa-a', version: 'v1', slots: SLOTS, leaving: false
  }))
  const arrivals = new Map<string, number>()
  const fleet = servingFleet.createServingFleet({
    daemons: DAEMONS,
    document: documentOf(),
    targets,
    seed: SEED,
    respond: ({ headers, target }) => {
      const id = rawHeaders.findHeader(headers, fixture.HEADER_NAMES.requestId) ?? ''
      arrivals.set(id, 1 + (arrivals.get(id) ?? 0))
      return target.service === 'stock'
        ? { headMs: 20, headers: [], endMs: 20 }
        : { headMs: 60, headers: [], events: Array.from({ length: 10 }, (_, index) => [index + 1, 70 + index * 30] as const), endMs: 400 }
    }
  })
  const replies: { readonly id: string, readonly path: string, readonly reply: servingFleet.Reply }[] = []
  const startMs = fleet.now() + BEFORE_MS
  let due = 0
  while (fleet.now() < startMs + CUT_MS) {
    const sinceMs = fleet.now() - startMs
    if (sinceMs >= 0) {
      fleet.setPaths((daemon, target) => scenario.pathOf(daemon, Number(target.slice(2)), fleet.now() - startMs))
      scenario.eachStep?.(fleet, sinceMs)
    }
    for (due += REQUESTS_PER_S * ARRIVAL_STEP_MS / MS_PER_S; due >= 1; due -= 1) {
      const daemon = Math.floor(fleet.random() * DAEMONS)
      const path = ROUTES[Math.floor(fleet.random() * ROUTES.length)] ?? ROUTES[0]
      if (!fleet.isUp(daemon)) continue
      const id = `r-${replies.length}`
      replies.push({ id, path, reply: fleet.request(daemon, path, [fixture.HEADER_NAMES.requestId, id]) })
    }
    fleet.advance(ARRIVAL_STEP_MS)
  }
  fleet.setPaths(() => 'up')
  fleet.advance(ENDING_MS)
  const counted = replies.filter(({ reply }) => reply.sentMs >= startMs + STABLE_MS)
  const [cutOff, others] = [true, false].map((isCut) => countServed(counted.map(({ reply }) => reply).filter(({ daemon }) => scenario.isCutOff(daemon) === isCut)))
  if (cutOff === undefined || others === undefined) throw new Error('No request was counted.')
  return {
    cutOff,
    others,
    repeatedWrites: replies.filter(({ id, path }) => path === '/write/' && (arrivals.get(id) ?? 0) > 1).length,
    falseRefusals: replies.filter(({ id, path, reply }) => path === '/write/' && reply.status() === 503 && (arrivals.get(id) ?? 0) > 0).length
  }
}

function assertServed ({ cutOff, others, repeatedWrites, falseRefusals }: Result): void {
  const shares = [cutOff, others].map(({ served, requests }) => served / requests)
  const seen = `${cutOff.served} of ${cutOff.requests} served where cut off, ${others.served} of ${others.requests} elsewhere`
  assert.ok((shares[0] ?? 0) >= SERVED_SHARE * (shares[1] ?? 0), seen)
  assert.equal([repeatedWrites, falseRefusals], [0, 0], seen)
}

const isMinority = (daemon: number): boolean => daemon >= 4
const isAllButOne = (daemon: number): boolean => daemon > 0

const CASES: readonly (readonly [description: string, scenario: Scenario])[] = [
  ['five of nine, connections hang', { isCutOff: isMinority, pathOf: (daemon) => isMinority(daemon) ? 'hang' : 'up' }],
  ['five of nine, connections are refused', { isCutOff: isMinority, pathOf: (daemon) => isMinority(daemon) ? 'refuse' : 'up' }],
  ['five of nine, only new connections hang', { isCutOff: isMinority, pathOf: (daemon) => isMinority(daemon) ? 'no-new' : 'up' }],
  ['all but one', { isCutOff: isAllButOne, pathOf: (daemon) => isAllButOne(daemon) ? 'hang' : 'up' }],
  ['one daemon', { isCutOff: (daemon) => daemon === 3, pathOf: (daemon) => daemon === 3 ? 'hang' : 'up' }],
  ['three of four targets of each service', { isCutOff: isMinority, pathOf: (daemon, target) => isMinority(daemon) && target % 4 !== 0 ? 'hang' : 'up' }],
  ['two cuts in a row, of different daemons', { isCutOff: (daemon) => daemon >= 3, pathOf: (daemon, _, sinceMs) => (sinceMs < 6_000 ? daemon >= 6 : daemon >= 3 && daemon < 6) ? 'hang' : 'up' }],
  ['with a target that nobody reaches', { isCutOff: isMinority, pathOf: (daemon, target) => isMinority(daemon) || target === 5 ? 'hang' : 'up' }],
  ['cuts of 0.8 s, each 3 s', { isCutOff: isMinority, pathOf: (daemon, _, sinceMs) => isMinority(daemon) && sinceMs % 3_000 < 800 ? 'hang' : 'up' }],
  ['resets of 0.8 s, each 3 s', { isCutOff: isMinority, pathOf: (daemon, _, sinceMs) => isMinority(daemon) && sinceMs % 3_000 < 800 ? 'refuse' : 'up' }],
  ['with targets that join during the cut', {
    isCutOff: isMinority,
    pathOf: (daemon) => isMinority(daemon) ? 'hang' : 'up',
    eachStep: (fleet, sinceMs) => {
      if (sinceMs % 2_000 !== 1_000) return
      const index = TARGETS + Math.floor(sinceMs / 2_000)
      fleet.register({ id: `i-${index}`, service: index % 2 === 0 ? 'support' : 'stock', address: `10.9.0.${index}:80`, availabilityZone: 'casa-a', version: 'v1', slots: SLOTS, leaving: false }, fleet.now())
    }
  }],
  ['with daemons that are restarted one after the other', {
    isCutOff: isMinority,
    pathOf: (daemon) => isMinority(daemon) ? 'hang' : 'up',
    eachStep: (fleet, sinceMs) => { if (sinceMs % 2_000 === 0) fleet.restart(Math.floor(sinceMs / 2_000) % DAEMONS) }
  }]
]

const suite = uvu.suite('cut fleet')

for (const [description, scenario] of CASES) {
  suite(`callers of daemons that lost their paths to targets are served: ${description}`, () => { assertServed(play(scenario)) })
}

suite.run()
