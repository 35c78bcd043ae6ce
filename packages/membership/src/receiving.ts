/**
 * Reacts to messages from other daemons.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import type * as event from './event.js'
import * as learning from './learning.js'
import type * as membershipParts from './parts.js'
import * as sampling from './sampling.js'

/** Sequence of a probe that is not to be answered: it only carries news. */
export const UNANSWERED_SEQUENCE = 0

type Outputs = Generator<event.Output, void>

/**
 * Asks for a message to be sent.
 *
 * @example
 * ```ts
 * yield send('peer000000001', { kind: 'ack', sequence: 7, news: [] })
 * ```
 */
export function send (to: protocol.Incarnation, message: protocol.PeerMessage): event.Output {
  return { kind: 'send', outbound: { to, message } }
}

function isApart (parts: membershipParts.Parts, incarnation: protocol.Incarnation): boolean {
  const held = parts.table.find(incarnation)
  return held === undefined || held.news.state === 'gone'
}

/**
 * Starts to send all that is known to one daemon that may lack it, or to random members.
 *
 * @example
 * ```ts
 * synchronise(parts, 'peer000000001', nowMs)
 * ```
 */
export function synchronise (parts: membershipParts.Parts, to: protocol.Incarnation | undefined, nowMs: number): void {
  const keys = sampling.shuffle(parts.composer.keys(), parts.random)
  parts.synchronisation.start(to, keys, nowMs)
}

function * receiveNews (parts: membershipParts.Parts, from: protocol.Incarnation, news: readonly protocol.Update[], nowMs: number): Outputs {
  const wasApart = isApart(parts, from)
  for (const item of news) yield * learning.learn(parts, item, from, nowMs)
  if (!wasApart || isApart(parts, from)) return
  parts.synchronisation.catchUp(nowMs)
  // One that has just started knows little; many that start together must not all send it to the same seed.
  if (parts.confirmation.isConfirmed(nowMs)) synchronise(parts, from, nowMs)
}

function * answer (parts: membershipParts.Parts, from: protocol.Incarnation, probe: protocol.Probe, nowMs: number): Outputs {
  if (probe.sequence === UNANSWERED_SEQUENCE) return
  yield send(from, { kind: 'ack', sequence: probe.sequence, news: parts.composer.message(from, nowMs) })
}

function * relayAck (parts: membershipParts.Parts, from: protocol.Incarnation, sequence: number): Outputs {
  const probe = parts.pending.close(sequence, from)
  if (probe === undefined) return
  parts.health.probeAnswered()
  const { relay } = probe
  if (relay !== undefined) yield send(relay.origin, { kind: 'indirect-ack', sequence: relay.sequence, incarnation: from })
}

function * relayProbe (parts: membershipParts.Parts, from: protocol.Incarnation, asked: protocol.IndirectProbe, nowMs: number): Outputs {
  if (asked.incarnation === parts.self.incarnation) return
  const relay = { origin: from, sequence: asked.sequence }
  const sequence = parts.pending.open(asked.incarnation, { counts: false, relay }, nowMs)
  yield send(asked.incarnation, { kind: 'probe', sequence, news: parts.composer.brief(asked.incarnation, nowMs) })
}

/**
 * Reacts to one message.
 *
 * @example
 * ```ts
 * yield * receive(parts, 'peer000000001', { kind: 'probe', sequence: 7, news: [] }, nowMs)
 * ```
 */
export function * receive (parts: membershipParts.Parts, from: protocol.Incarnation, message: event.Received, nowMs: number): Outputs {
  parts.health.received(nowMs)
  parts.suspicions.clear(from)
  switch (message.kind) {
    case 'probe':
      yield * receiveNews(parts, from, message.news, nowMs)
      yield * answer(parts, from, message, nowMs)
      break
    case 'ack':
      yield * relayAck(parts, from, message.sequence)
      yield * receiveNews(parts, from, message.news, nowMs)
      parts.confirmation.answered(from)
      break
    case 'indirect-probe':
      yield * relayProbe(parts, from, message, nowMs)
      break
    case 'indirect-ack':
      parts.pending.close(message.sequence, message.incarnation)
      parts.suspicions.clear(message.incarnation)
      break
  }
}
