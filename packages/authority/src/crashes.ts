/**
 * Marks the contents that were in flight when a target crashed as suspect, and applies suspect updates.
 *
 * @module
 */
import * as outputs from './outputs.js'
import * as refusals from './refusals.js'
import type * as context from './context.js'
import type * as protocol from '@persimmonhatch/protocol'
import type * as slot from './slot.js'

/** Applies a suspect update to the waiting requests and granted slots with that content. */
function * applySuspectUpdate (state: context.Context, update: protocol.SuspectUpdate): outputs.Outputs {
  for (const request of [...state.queue.all()]) {
    if (request.message.fingerprint !== update.fingerprint) continue
    if (update.state === 'refused') yield * refusals.refuseSuspect(state, request, update.crashes, update.remainingMs)
    if (update.state === 'suspect') {
      state.queue.suspend(request.key)
      state.isolated.add(request.key)
    }
    if (update.state === 'cleared' && state.isolated.delete(request.key)) {
      state.reservations.release(request.key)
      state.queue.resume(request.key)
    }
  }
  if (update.state !== 'suspect') return
  for (const granted of state.slots.all()) {
    if (granted.fingerprint === update.fingerprint) state.reservations.reserve(granted.target, granted.key)
  }
}

/** Handles the crash of a slot's target: marks every content in flight there as suspect, once per crash. */
export function * handleCrash (state: context.Context, crashed: slot.Slot, nowMs: number): outputs.Outputs {
  if (!state.targets.recordFailure(crashed.target, 'crashed', crashed.grantedAtMs, nowMs)) return
  yield outputs.count('targets.crashed')
  state.prefixes.clear(crashed.target)
  const inFlight = state.slots.onTarget(crashed.target)
  for (const fingerprint of new Set(inFlight.map((granted) => granted.fingerprint))) {
    const update = state.suspects.markSuspect(fingerprint, inFlight.length === 1, nowMs)
    yield outputs.disseminate(update)
    yield * applySuspectUpdate(state, update)
  }
}

/** Clears the content of a slot that ended without a crash. */
export function * clearSuspect (state: context.Context, granted: slot.Slot, nowMs: number): outputs.Outputs {
  const update = state.suspects.clear(granted.fingerprint, nowMs)
  if (update === undefined) return
  yield outputs.disseminate(update)
  yield * applySuspectUpdate(state, update)
}

/** Clears the content of a slot that was granted before its target crashed but was not dispatched: it can't have caused that crash. */
export function * handleUndispatched (state: context.Context, granted: slot.Slot, nowMs: number): outputs.Outputs {
  const outage = state.targets.outage(granted.target)
  const wasGrantedBeforeCrash = outage?.cause === 'crashed' && granted.grantedAtMs <= outage.sinceMs
  if (wasGrantedBeforeCrash && state.suspects.get(granted.fingerprint, nowMs)?.update.crashes === 1) yield * clearSuspect(state, granted, nowMs)
}

/** Applies a suspect update from another daemon. */
export function * handleSuspectUpdate (state: context.Context, update: protocol.SuspectUpdate, nowMs: number): outputs.Outputs {
  if (state.suspects.applyUpdate(update, nowMs)) yield * applySuspectUpdate(state, update)
}
