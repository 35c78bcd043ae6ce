/**
 * A fleet that rolls out a version, in simulated time: daemons that place requests, reports and grants that arrive late, and a
 * decider that needs the store.
 */
import * as rollout from '@persimmonhatch/rollout'
import * as distribution from 'pure-rand/distribution/uniformFloat64'
import * as generator from 'pure-rand/generator/xoroshiro128plus'

export const BOUNDS: rollout.decision.Bounds = { exposureShare: 0.1, exposureSlack: 50, rollbackMs: 5_000 }

const TICK_MS = 50
const RENEWAL_MS = 1_000
/** Time in which a grant reaches all daemons, and that in which their outcomes reach the decider, ms. */
const GRANT_DELAY_MS = 400
const REPORT_DELAY_MS = 1_200

/** How a target answers. */
export interface Answer { readonly isFailure: boolean, readonly elapsedMs: number }

export interface Load {
  readonly daemons: number
  readonly requestsPerS: number
  readonly durationMs: number
  readonly routes: readonly string[]
  /** Answers of the new version; `share` is what it gets of the requests at the moment. */
  readonly answer: (request: { readonly atMs: number, readonly route: string, readonly share: number, readonly random: () => number }) => Answer
  /** Whether somebody decides and the store confirms it. */
  readonly isDecided?: (atMs: number) => boolean
  readonly seed?: number
}

export interface Result {
  readonly stage: rollout.decision.Stage
  readonly endedMs: number
  readonly reason: string
  readonly requests: number
  readonly sends: number
  /** Times of the requests that were sent to the new version, ms. */
  readonly sentMs: readonly number[]
  readonly fiftiethBadMs: number
  readonly lastSendMs: number
}

interface Pending { readonly atMs: number, readonly apply: () => void }

export function answerOf (isFailure: boolean, elapsedMs: number): Answer {
  return { isFailure, elapsedMs }
}

export function simulate (load: Load): Result {
  const { daemons, durationMs, routes, isDecided = () => true } = load
  const source = generator.xoroshiro128plus(load.seed ?? 7)
  const random = (): number => distribution.uniformFloat64(source)
  const members = Array.from({ length: daemons }, () => new rollout.versions.Versions({ bounds: () => BOUNDS, random }))
  const targets = ['v1', 'v2'].flatMap((version, index) => [1, 2, 3].map((target) => ({ id: `${version}-${target}`, version, startedMs: index })))
  const outcomes = { v1: {}, v2: {} } as Record<'v1' | 'v2', rollout.outcomes.Outcomes>
  let pending: readonly Pending[] = []
  let stage: rollout.decision.Stage = 'trial'
  let reason = ''
  let stageMs = 0
  let endedMs = Infinity
  let sequence = 0
  let lastRenewalMs = -Infinity
  let requests = 0
  let bad = 0
  let fiftiethBadMs = Infinity
  const sentMs: number[] = []
  let carried = 0

  function renew (nowMs: number): void {
    const observation = { stage, ageMs: nowMs, stageAgeMs: nowMs - stageMs, durationMs, outcomes: outcomes.v2, oldOutcomes: outcomes.v1, arrivals: requests, sends: sentMs.length, oldInFlight: 0, laggingDaemons: members.filter((member) => !member.hasMoved(nowMs)).length, hasTargets: true, hasOldTargets: true }
    const step = rollout.decision.nextStep(observation, BOUNDS)
    if (step.stage === stage && nowMs - lastRenewalMs < RENEWAL_MS) return
    lastRenewalMs = nowMs
    if (step.stage !== stage) {
      stageMs = nowMs
      reason = step.reason
      if (rollout.decision.isFinal(step.stage)) endedMs = nowMs
    }
    stage = step.stage
    sequence += 1
    const grant = { order: 1, to: 'v2', sequence, stage, isHeld: step.isHeld, remainingMs: rollout.decision.permissionMs(BOUNDS) - GRANT_DELAY_MS }
    pending = [...pending, { atMs: nowMs + GRANT_DELAY_MS, apply: () => { for (const member of members) member.applyGrant(grant, nowMs + GRANT_DELAY_MS) } }]
  }

  function place (nowMs: number, share: number): void {
    const member = members[Math.floor(random() * daemons)]
    if (member === undefined) return
    const route = routes[Math.floor(random() * routes.length)] ?? ''
    requests += 1
    member.arrived(nowMs)
    const version = member.isPreferred('v2', nowMs) ? 'v2' : 'v1'
    const answer = version === 'v1' ? answerOf(random() < 0.002, 20 * (0.7 + random())) : load.answer({ atMs: nowMs, route, share, random })
    if (version === 'v2') {
      member.sent('v2', nowMs)
      sentMs.push(nowMs)
      if (answer.isFailure || answer.elapsedMs > 60) {
        bad += 1
        if (bad === 50) fiftiethBadMs = nowMs + answer.elapsedMs
      }
    }
    const sample = { kind: route, elapsedMs: answer.isFailure ? undefined : answer.elapsedMs }
    pending = [...pending, { atMs: nowMs + answer.elapsedMs + REPORT_DELAY_MS, apply: () => { outcomes[version] = rollout.outcomes.addSample(outcomes[version], sample) } }]
  }

  for (const member of members) {
    member.observe(targets, 0)
    member.expect(1, 'v2')
  }
  for (let nowMs = 0; nowMs < durationMs; nowMs += TICK_MS) {
    for (const { apply } of pending.filter(({ atMs }) => atMs <= nowMs)) apply()
    pending = pending.filter(({ atMs }) => atMs > nowMs)
    if (isDecided(nowMs)) renew(nowMs)
    const recent = sentMs.filter((atMs) => nowMs - atMs <= 500).length
    const share = recent / Math.max(1, load.requestsPerS / 2)
    carried += load.requestsPerS * TICK_MS / 1_000
    for (; carried >= 1; carried -= 1) place(nowMs, share)
  }
  return { stage, endedMs, reason, requests, sends: sentMs.length, sentMs, fiftiethBadMs, lastSendMs: sentMs.at(-1) ?? 0 }
}
