/**
 * Baseline schedulers, which dispatch each request at once, regardless of its tier, and leave queueing to the engines.
 *
 * @module
 */
import type * as engine from './engine.js'
import type * as scheduler from './scheduler.js'

/** Chooses one target of a service. */
type ChooseTarget = (targets: readonly string[], outstanding: ReadonlyMap<string, number>) => string

const MAX_ATTEMPTS = 3

function createBaseline (createChooser: (random: () => number) => ChooseTarget): scheduler.Factory {
  return (environment) => {
    const choose = createChooser(environment.random)
    const outstanding = new Map<string, number>()
    const running = new Map<number, { readonly job: engine.Job, readonly target: string }>()
    const targetsOf = new Map(environment.documents.map((serviceDocument) => [serviceDocument.service, serviceDocument.targets.map(({ name }) => name)]))

    function finish (request: scheduler.Request, target: string, job: engine.Job, attempt: number): void {
      running.delete(request.index)
      outstanding.set(target, (outstanding.get(target) ?? 0) - 1)
      if (job.outcome === 'unreachable' && attempt < MAX_ATTEMPTS) send(request, attempt + 1)
      else if (job.outcome === 'unreachable') environment.fail(request, { reason: 'target-unreachable', execution: 'not-run' })
      else if (job.outcome === 'crashed') environment.fail(request, { reason: 'target-failed', execution: 'unknown' })
    }

    function send (request: scheduler.Request, attempt: number): void {
      const target = choose(targetsOf.get(request.kind.service) ?? [], outstanding)
      outstanding.set(target, (outstanding.get(target) ?? 0) + 1)
      const job = environment.dispatch(request, target, (ended) => finish(request, target, ended, attempt))
      running.set(request.index, { job, target })
    }

    return {
      arrive: (request) => send(request, 1),
      abandon (request) {
        const run = running.get(request.index)
        if (run !== undefined) environment.cancel(run.job, run.target)
      },
      load: () => undefined
    }
  }
}

/** Chooses a target at random. */
export const random = createBaseline((nextRandom) => (targets) => targets[Math.floor(nextRandom() * targets.length)] as string)

/** Cycles through the targets of each service. */
export const roundRobin = createBaseline(() => {
  const nextIndexes = new Map<readonly string[], number>()
  return (targets) => {
    const nextIndex = nextIndexes.get(targets) ?? 0
    nextIndexes.set(targets, nextIndex + 1)
    return targets[nextIndex % targets.length] as string
  }
})

/** Chooses the target with the fewest outstanding requests; ties are broken at random. */
export const leastOutstanding = createBaseline((nextRandom) => (targets, outstanding) => {
  const fewest = Math.min(...targets.map((target) => outstanding.get(target) ?? 0))
  const tied = targets.filter((target) => (outstanding.get(target) ?? 0) === fewest)
  return tied[Math.floor(nextRandom() * tied.length)] as string
})
