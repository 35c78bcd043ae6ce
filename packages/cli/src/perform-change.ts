/**
 * Performs the steps of a change against the platform.
 *
 * @module
 */
import * as document from '@persimmonhatch/document'
import type * as backing from '@persimmonhatch/backing-services'
import type * as neverthrow from 'neverthrow'
import type * as ports from './ports.js'

const BASE_BACKOFF_MS = 200

type Step = document.changeFlow.Step
type Reply = document.changeFlow.Reply

function toStoredValue (entry: backing.keyValue.Entry | undefined): document.changePlan.StoredValue | undefined {
  return entry === undefined ? undefined : { text: entry.value, modRevision: entry.modRevision }
}

// A failed write may have taken effect unless the adapter is certain that it did not.
function toFailedReply (error: backing.keyValue.PlatformFailure, step: Step): Reply {
  const certainlyNotDone = step.kind === 'read' || error.failure === 'unavailable' || error.failure === 'over-limit'
  return { kind: 'failed', failure: certainlyNotDone ? 'not-done' : 'unanswered', message: error.message }
}

async function backOff (dependencies: ports.Ports, attempt: number): Promise<Reply> {
  await dependencies.sleep(BASE_BACKOFF_MS * 2 ** (attempt - 1) * (0.5 + dependencies.random()))
  return { kind: 'paused' }
}

async function perform (dependencies: ports.Ports, key: string, step: Step): Promise<Reply> {
  if (step.kind === 'pause') return await backOff(dependencies, step.attempt)
  if (step.kind === 'read') {
    const entry = await dependencies.keyValue.get(key)
    return entry.match((found): Reply => ({ kind: 'read', storedValue: toStoredValue(found) }), (error) => toFailedReply(error, step))
  }
  const result = await dependencies.keyValue.compareAndSwap({ key, expectedRevision: step.expectedModRevision, value: step.text })
  return result.match(
    ({ succeeded, current }): Reply => ({ kind: 'swap', succeeded, storedValue: toStoredValue(current) }),
    (error) => toFailedReply(error, step)
  )
}

/**
 * Performs a change and returns its outcome.
 *
 * @example
 * ```ts
 * const outcome = await performChange(ports, request)
 * ```
 */
export async function performChange (dependencies: ports.Ports, request: document.changePlan.ChangeRequest): Promise<neverthrow.Result<document.changeFlow.ChangeOutcome, document.changePlan.Failure>> {
  const key = document.storedDocument.documentKey(request.service)
  const flow = document.changeFlow.changeFlow(request)
  let step = flow.next()
  while (step.done !== true) step = flow.next(await perform(dependencies, key, step.value))
  return step.value
}
