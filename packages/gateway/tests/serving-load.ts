/**
 * Fixture: callers that send streams to a simulated fleet, some of whose daemons hear no peer or reach no target.
 */
import type * as servingFleet from './serving-fleet.js'

const MS_PER_S = 1_000
const ARRIVAL_STEP_MS = 20

/** Time for which the last requests may run after the load, ms. */
const ENDING_MS = 4_000

/** Time from the start of the load at which daemons are cut off from targets, ms. */
const CUT_AT_MS = 1_000

export interface Options {
  readonly daemons: number
  readonly perS: number
  readonly durationMs: number
  /** Daemons that reach no other daemon, from the start on. */
  readonly isolated?: readonly number[] | undefined
  /** Daemons that reach no target from 1 s on, so that peers carry their connections. */
  readonly cut?: readonly number[] | undefined
  /** Called before the requests of each step, with the time since the start of the load. */
  readonly onStep?: (sinceMs: number) => void
}

export interface Load {
  readonly replies: readonly servingFleet.Reply[]
  /** Share of the requests whose callers got a complete success. */
  readonly servedShare: number
}

/** Plays the load and waits until its last requests have ended. */
export function play (fleet: servingFleet.ServingFleet, { daemons, perS, durationMs, isolated = [], cut = [], onStep = () => {} }: Options): Load {
  const startMs = fleet.now()
  const replies: servingFleet.Reply[] = []
  fleet.setReach((from, to) => !isolated.includes(from) && !isolated.includes(to))
  let owed = 0
  for (; fleet.now() < startMs + durationMs; fleet.advance(ARRIVAL_STEP_MS)) {
    const sinceMs = fleet.now() - startMs
    if (sinceMs === CUT_AT_MS && cut.length > 0) fleet.setPaths((daemon) => cut.includes(daemon) ? 'hang' : 'up')
    onStep(sinceMs)
    for (owed += perS * ARRIVAL_STEP_MS / MS_PER_S; owed >= 1; owed -= 1) {
      replies.push(fleet.request(Math.floor(fleet.random() * daemons), '/generate/7', ['tokens', '700,18', 'remaining-ms', '12000']))
    }
  }
  fleet.advance(ENDING_MS)
  return { replies, servedShare: replies.filter((reply) => reply.status() === 200 && reply.end() === 'complete').length / replies.length }
}
