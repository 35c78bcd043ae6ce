/**
 * Baselines: requests go to a target at once, whatever their tier, and the engines queue them.
 *
 * @module
 */
import type * as engine from './engine.js'
import type * as scheduler from './scheduler.js'

/** Chooses one of the targets of a service. */
type Choice = (targets: readonly string[], outstanding: ReadonlyMap<string, number>) => string

const MAX_TRIES = 3

function createBaseline (createChoice: (random: () => number) => Choice): scheduler.Factory {
  return (surroundings) => {
    const choose = createChoice(surroundings.random)
    const outstanding = new Map<string, number>()
    const running = new Map<number, { readonly job: engine.Job, readonly target: string }>()
    const targetsOf = new Map(surroundings.documents.map((content) => [content.service, content.targets.map(({ name }) => name)]))

    function finish (request: scheduler.Request, target: string, job: engine.Job, tries: number): void {
      running.delete(request.index)
      outstanding.set(target, (outstanding.get(target) ?? 0) - 1)
      if (job.outcome === 'unreachable' && tries < MAX_TRIES) send(request, tries + 1)
      else if (job.outcome === 'unreachable') surroundings.fail(request, { reason: 'target-unreachable', execution: 'not-run' })
      else if (job.outcome === 'crashed') surroundings.fail(request, { reason: 'target-failed', execution: 'unknown' })
    }

    function send (request: scheduler.Request, tries: number): void {
      const target = choose(targetsOf.get(request.kind.service) ?? [], outstanding)
      outstanding.set(target, (outstanding.get(target) ?? 0) + 1)
      const job = surroundings.dispatch(request, target, (ended) => finish(request, target, ended, tries))
      running.set(request.index, { job, target })
    }

    return {
      arrive: (request) => send(request, 1),
      abandon (request) {
        const run = running.get(request.index)
        if (run !== undefined) surroundings.cancel(run.job, run.target)
      },
      load: () => undefined
    }
  }
}

/** Any target, at random. */
export const random = createBaseline((next) => (targets) => targets[Math.floor(next() * targets.length)] as string)

/** One target after the other, by service. */
export const roundRobin = createBaseline(() => {
  const turns = new Map<readonly string[], number>()
  return (targets) => {
    const turn = turns.get(targets) ?? 0
    turns.set(targets, turn + 1)
    return targets[turn % targets.length] as string
  }
})

/** The target with the fewest outstanding requests; ties go to a random one. */
export const leastOutstanding = createBaseline((next) => (targets, outstanding) => {
  const least = Math.min(...targets.map((target) => outstanding.get(target) ?? 0))
  const tied = targets.filter((target) => (outstanding.get(target) ?? 0) === least)
  return tied[Math.floor(next() * tied.length)] as string
})
