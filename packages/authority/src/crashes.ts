/**
 * Suspects the contents that were in flight when a target crashed, and acts on news of suspects.
 *
 * @module
 */
import * as outputs from './outputs.js'
import * as refusals from './refusals.js'
import type * as context from './context.js'
import type * as protocol from '@persimmonhatch/protocol'
import type * as slot from './slot.js'

/** Applies what is now known of a content to the asks that wait and the slots that run with it. */
function * apply (state: context.Context, news: protocol.SuspectNews): outputs.Outputs {
  for (const ask of [...state.queue.all()]) {
    if (ask.message.fingerprint !== news.fingerprint) continue
    if (news.state === 'refused') yield * refusals.refuseSuspect(state, ask, news.crashes, news.remainingMs)
    if (news.state === 'suspect') {
      state.queue.hold(ask.key)
      state.isolated.add(ask.key)
    }
    if (news.state === 'cleared' && state.isolated.delete(ask.key)) {
      state.reservations.release(ask.key)
      state.queue.unhold(ask.key)
    }
  }
  if (news.state !== 'suspect') return
  for (const granted of state.slots.all()) {
    if (granted.fingerprint === news.fingerprint) state.reservations.reserve(granted.target, granted.key)
  }
}

/** A slot's target crashed: everything that was in flight there is suspected, once for each crash. */
export function * handleCrash (state: context.Context, crashed: slot.Slot, nowMs: number): outputs.Outputs {
  if (!state.targets.fail(crashed.target, 'crashed', crashed.grantedAtMs, nowMs)) return
  yield outputs.count('targets.crashed')
  state.prefixes.forget(crashed.target)
  const inFlight = state.slots.onTarget(crashed.target)
  for (const fingerprint of new Set(inFlight.map((granted) => granted.fingerprint))) {
    const news = state.suspects.accuse(fingerprint, inFlight.length === 1, nowMs)
    yield outputs.spread(news)
    yield * apply(state, news)
  }
}

/** A slot ended without a crash: its content is no longer suspected. */
export function * handleSurvival (state: context.Context, granted: slot.Slot, nowMs: number): outputs.Outputs {
  const news = state.suspects.clear(granted.fingerprint, nowMs)
  if (news === undefined) return
  yield outputs.spread(news)
  yield * apply(state, news)
}

/** A slot that was granted before its target crashed turned out not to have been dispatched: that crash says nothing of its content. */
export function * handleUndispatched (state: context.Context, granted: slot.Slot, nowMs: number): outputs.Outputs {
  const outage = state.targets.outage(granted.target)
  const isOfCrash = outage?.cause === 'crashed' && granted.grantedAtMs <= outage.sinceMs
  if (isOfCrash && state.suspects.get(granted.fingerprint, nowMs)?.news.crashes === 1) yield * handleSurvival(state, granted, nowMs)
}

/** News of a suspect from another daemon. */
export function * handleSuspectNews (state: context.Context, news: protocol.SuspectNews, nowMs: number): outputs.Outputs {
  if (state.suspects.takeNews(news, nowMs)) yield * apply(state, news)
}
