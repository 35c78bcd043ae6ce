/**
 * Handles messages from other daemons.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'
import * as dissemination from './dissemination.js'
import type * as membershipState from './state.js'
import * as sampling from './sampling.js'

/** Sequence number of a probe that only carries updates and requests no ack. */
export const NO_ACK_SEQUENCE = 0

type Outputs = Generator<event.Output, void>

/**
 * Returns the output that sends a message.
 *
 * @example
 * ```ts
 * yield send('peer000000001', { kind: 'ack', sequence: 7, news: [] })
 * ```
 */
export function send (to: protocol.Incarnation, message: protocol.PeerMessage): event.Output {
  return { kind: 'send', outbound: { to, message } }
}

function isUnknownOrDead (state: membershipState.State, incarnation: protocol.Incarnation): boolean {
  const record = state.table.find(incarnation)
  return record === undefined || record.member.state === 'gone'
}

/**
 * Starts to send the full state to one daemon, or to random members.
 *
 * @example
 * ```ts
 * synchronise(state, 'peer000000001', nowMs)
 * ```
 */
export function synchronise (state: membershipState.State, to: protocol.Incarnation | undefined, nowMs: number): void {
  const keys = sampling.shuffle(state.composer.listKeys(), state.random)
  state.synchronisation.start(to, keys, nowMs)
}

function * applyUpdates (state: membershipState.State, from: protocol.Incarnation, updates: readonly protocol.Update[], nowMs: number): Outputs {
  const wasUnknownOrDead = isUnknownOrDead(state, from)
  for (const update of updates) yield * dissemination.applyUpdate(state, update, from, nowMs)
  if (!wasUnknownOrDead || isUnknownOrDead(state, from)) return
  state.synchronisation.catchUp(nowMs)
  // A daemon that has just started has little state to send, and many that start together would overload their common seed.
  if (state.confirmation.isConfirmed(nowMs)) synchronise(state, from, nowMs)
}

function * sendAck (state: membershipState.State, from: protocol.Incarnation, probe: protocol.Probe, nowMs: number): Outputs {
  if (probe.sequence === NO_ACK_SEQUENCE) return
  yield send(from, { kind: 'ack', sequence: probe.sequence, news: state.composer.messageUpdates(from, nowMs) })
}

function * relayAck (state: membershipState.State, from: protocol.Incarnation, sequence: number): Outputs {
  const probe = state.pending.close(sequence, from)
  if (probe === undefined) return
  state.health.probeAnswered()
  const { relay } = probe
  if (relay !== undefined) yield send(relay.origin, { kind: 'indirect-ack', sequence: relay.sequence, incarnation: from })
}

function * relayProbe (state: membershipState.State, from: protocol.Incarnation, request: protocol.IndirectProbe, nowMs: number): Outputs {
  if (request.incarnation === state.localMember.incarnation) return
  const relay = { origin: from, sequence: request.sequence }
  const sequence = state.pending.open(request.incarnation, { detectsFailure: false, relay }, nowMs)
  yield send(request.incarnation, { kind: 'probe', sequence, news: state.composer.briefUpdates(request.incarnation, nowMs) })
}

/**
 * Handles one message.
 *
 * @example
 * ```ts
 * yield * receive(state, 'peer000000001', { kind: 'probe', sequence: 7, news: [] }, nowMs)
 * ```
 */
export function * receive (state: membershipState.State, from: protocol.Incarnation, message: event.ReceivedMessage, nowMs: number): Outputs {
  state.health.received(nowMs)
  state.suspicions.clear(from)
  switch (message.kind) {
    case 'probe':
      yield * applyUpdates(state, from, message.news, nowMs)
      yield * sendAck(state, from, message, nowMs)
      break
    case 'ack':
      yield * relayAck(state, from, message.sequence)
      yield * applyUpdates(state, from, message.news, nowMs)
      state.confirmation.ackReceived(from)
      break
    case 'indirect-probe':
      yield * relayProbe(state, from, message, nowMs)
      break
    case 'indirect-ack':
      state.pending.close(message.sequence, message.incarnation)
      state.suspicions.clear(message.incarnation)
      break
  }
}
