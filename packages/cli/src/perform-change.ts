/**
 * Carries the steps of a change out against the platform.
 *
 * @module
 */
import * as document from '@persimmonhatch/document'
import type * as backing from '@persimmonhatch/backing-services'
import type * as neverthrow from 'neverthrow'
import type * as ports from './ports.js'

const PAUSE_STEP_MS = 200

type Step = document.changeFlow.Step
type Reply = document.changeFlow.Reply

function toHeld (entry: backing.keyValue.Entry | undefined): document.changePlan.StoredValue | undefined {
  return entry === undefined ? undefined : { text: entry.value, modRevision: entry.modRevision }
}

// A write counts as lost unless the adapter is certain that it was not carried out.
function toFailed (error: backing.keyValue.PlatformFailure, step: Step): Reply {
  const certain = step.kind === 'read' || error.failure === 'unavailable' || error.failure === 'over-limit'
  return { kind: 'failed', failure: certain ? 'not-done' : 'unanswered', message: error.message }
}

async function pause (access: ports.Ports, attempt: number): Promise<Reply> {
  await access.sleep(PAUSE_STEP_MS * 2 ** (attempt - 1) * (0.5 + access.random()))
  return { kind: 'paused' }
}

async function perform (access: ports.Ports, key: string, step: Step): Promise<Reply> {
  if (step.kind === 'pause') return await pause(access, step.attempt)
  if (step.kind === 'read') {
    const entry = await access.keyValue.get(key)
    return entry.match((found): Reply => ({ kind: 'held', storedValue: toHeld(found) }), (error) => toFailed(error, step))
  }
  const swap = await access.keyValue.compareAndSwap({ key, expectedRevision: step.expectedModRevision, value: step.text })
  return swap.match(
    ({ succeeded, current }): Reply => ({ kind: 'swap', succeeded, storedValue: toHeld(current) }),
    (error) => toFailed(error, step)
  )
}

/**
 * Carries out a change and gives the truth about it.
 *
 * @example
 * ```ts
 * const verdict = await performChange(ports, request)
 * ```
 */
export async function performChange (access: ports.Ports, request: document.changePlan.ChangeRequest): Promise<neverthrow.Result<document.changeFlow.ChangeOutcome, document.changePlan.Failure>> {
  const key = document.storedDocument.documentKey(request.service)
  const flow = document.changeFlow.changeFlow(request)
  let step = flow.next()
  while (step.done !== true) step = flow.next(await perform(access, key, step.value))
  return step.value
}
