import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as index from '../src/index.js'
import * as facts from './facts.js'

const { accepted, answered, disconnected, ended, observed, received, refused, reported, sent, started } = facts

interface Case {
  readonly name: string
  readonly facts: ReadonlyArray<index.history.Fact>
  /** Part of the message of the only violation; undefined for a valid history. */
  readonly violation?: string
}

const leaving = { kind: 'target-leaving', target: 't' } as const
const stopped = { kind: 'stop-begun', daemon: 'd' } as const
const exited = { kind: 'process-ended', daemon: 'd', code: 0 } as const
const isolated = { kind: 'isolation-begun', daemon: 'd' } as const
const LOW_TIER = { request: 'low', rank: 3 }

function check (name: string, guaranteeCheck: index.history.GuaranteeCheck, cases: readonly Case[]): void {
  const suite = uvu.suite(name)
  for (const each of cases) {
    suite(`${each.violation === undefined ? 'holds' : 'violated'}: ${each.name}`, () => {
      const messages = guaranteeCheck(facts.createHistory(each.facts)).map((violation) => violation.message)
      if (each.violation === undefined) assert.equal(messages, [])
      else assert.ok(messages.length === 1 && messages[0]?.includes(each.violation), `got ${JSON.stringify(messages)}`)
    })
  }
  suite.run()
}

check('single-dispatch', index.singleDispatch.singleDispatch, [
  { name: 'a resend that joined', facts: [sent(0, 1), started(1, 1), sent(2, 2)] },
  { name: 'two requests', facts: [sent(0, 1), sent(0, 2, { request: 'b' }), started(1, 1), started(1, 2, { request: 'b' })] },
  { name: 'a second run after the first one broke', facts: [sent(0, 1), started(1, 1), ended(2, 1, 'broken'), started(3, 2)], violation: 'a reached t after' },
  { name: 'received without having been sent', facts: [started(1, 1)], violation: 'no caller had sent it' },
  { name: 'received before it was sent', facts: [started(1, 1), sent(2, 1)], violation: 'no caller had sent it' }
])

check('single-effect', index.singleEffect.singleEffect, [
  { name: 'one run', facts: [started(1, 1, { nonIdempotent: true }), ended(2, 1, 'finished')] },
  { name: 'a cancelled idempotent request', facts: [started(1, 1), ended(2, 1, 'cancelled')] },
  { name: 'cancelled by the death of its daemon', facts: [sent(0, 1), started(1, 1, { nonIdempotent: true }), ended(2, 1, 'cancelled'), { ...exited, code: undefined, atMs: 2 }] },
  { name: 'a second run', facts: [started(1, 1, { nonIdempotent: true }), started(2, 2, { nonIdempotent: true })], violation: 'ran again' },
  { name: 'cancelled while it ran', facts: [started(1, 1, { nonIdempotent: true }), ended(2, 1, 'cancelled')], violation: 'was cancelled' }
])

check('truthful-refusal', index.truthfulRefusal.truthfulRefusal, [
  { name: 'not run', facts: [sent(0, 1), refused(1, 1, 'shed', 'not-run')] },
  { name: 'ran and was preempted', facts: [sent(0, 1), started(1, 1), refused(2, 1, 'preempted', 'ran')] },
  { name: 'unknown, and it ran', facts: [sent(0, 1), started(1, 1), refused(2, 1, 'target-failed', 'unknown')] },
  { name: 'not run, but it had run', facts: [sent(0, 1), started(1, 1), refused(2, 1, 'shed', 'not-run')], violation: 'but it ran on t' },
  { name: 'not run, but a late copy ran', facts: [sent(0, 1), refused(1, 1, 'shed', 'not-run'), sent(0, 2), started(9, 1)], violation: 'but it ran on t' },
  { name: 'ran, but nothing had reached a target', facts: [sent(0, 1), refused(1, 1, 'preempted', 'ran')], violation: 'no target had received it' }
])

check('tier-order', index.tierOrder.tierOrder, [
  { name: 'the lower run had ended', facts: [started(0, 1, LOW_TIER), sent(10, 1), ended(20, 1, 'cancelled'), refused(30, 1, 'shed', 'not-run')] },
  { name: 'the lower run may have begun after the decision', facts: [sent(10, 1), started(20, 1, LOW_TIER), refused(30, 1, 'shed', 'not-run')] },
  { name: 'a gap between two lower runs', facts: [started(0, 1, LOW_TIER), sent(10, 1), ended(15, 1, 'finished'), started(16, 2, LOW_TIER), refused(30, 1, 'shed', 'not-run')] },
  { name: 'an equal tier ran', facts: [started(0, 1, { request: 'b' }), sent(10, 1), refused(30, 1, 'shed', 'not-run')] },
  { name: 'a lower non-idempotent request ran', facts: [started(0, 1, { ...LOW_TIER, nonIdempotent: true }), sent(10, 1), refused(30, 1, 'shed', 'not-run')] },
  { name: 'a lower run on a target of other services', facts: [started(0, 1, { ...LOW_TIER, target: 'u' }), sent(10, 1), refused(30, 1, 'shed', 'not-run')] },
  { name: 'refused for another reason than capacity', facts: [started(0, 1, LOW_TIER), sent(10, 1), refused(30, 1, 'unknown-tier', 'not-run')] },
  { name: 'the refusal repeated to a resend', facts: [sent(0, 1), refused(5, 1, 'shed', 'not-run'), started(9, 1, LOW_TIER), sent(10, 2), refused(11, 2, 'shed', 'not-run')] },
  { name: 'a lower run during the whole interval', facts: [started(0, 1, LOW_TIER), sent(10, 1), refused(30, 1, 'shed', 'not-run'), ended(31, 1, 'finished')], violation: 'rank 0 was refused (shed)' },
  { name: 'a lower run during the decision window', facts: [sent(0, 1), started(900, 1, LOW_TIER), refused(2_000, 1, 'shed', 'not-run')], violation: 'rank 0 was refused (shed)' },
  { name: 'overlapping lower runs', facts: [started(0, 1, LOW_TIER), sent(10, 1), started(14, 2, LOW_TIER), ended(15, 1, 'finished'), refused(30, 1, 'shed', 'not-run')], violation: 'rank 0 was refused (shed)' },
  { name: 'preempted while a lower one ran', facts: [started(0, 1, LOW_TIER), sent(10, 1), started(11, 2), ended(29, 2, 'cancelled'), refused(30, 1, 'preempted', 'ran')], violation: 'preempted' }
])

check('whole-answer', index.completeResponse.completeResponse, [
  { name: 'complete', facts: [sent(0, 1), started(1, 1), received(2, 1, 'on'), received(3, 1, 'e'), ended(3, 1, 'finished', 'one'), answered(4, 1)] },
  { name: 'part of a response, then a refusal', facts: [sent(0, 1), started(1, 1), received(2, 1, 'on'), ended(3, 1, 'broken', 'one'), refused(4, 1, 'answer-incomplete', 'ran')] },
  { name: 'both callers of one request', facts: [sent(0, 1), sent(0, 2), started(1, 1), received(2, 1, 'one'), received(2, 2, 'one'), ended(3, 1, 'finished', 'one'), answered(4, 1), answered(4, 2)] },
  { name: 'a truncated response delivered as complete', facts: [sent(0, 1), started(1, 1), received(2, 1, 'on'), ended(3, 1, 'broken', 'on'), answered(4, 1)], violation: 'no target finished it' },
  { name: 'part of a response delivered as complete', facts: [sent(0, 1), started(1, 1), received(2, 1, 'on'), ended(3, 1, 'finished', 'one'), answered(4, 1)], violation: 'other text' },
  { name: 'text out of order', facts: [sent(0, 1), started(1, 1), received(2, 1, 'neo'), ended(3, 1, 'finished', 'one'), refused(4, 1, 'answer-incomplete', 'ran')], violation: 'in this order' },
  { name: 'text of another request', facts: [sent(0, 1), started(1, 1), started(1, 2, { request: 'b' }), received(2, 1, 'two'), ended(3, 1, 'finished', 'one'), ended(3, 2, 'finished', 'two'), answered(4, 1)], violation: 'other text' }
])

check('leaving-target', index.leavingTarget.leavingTarget, [
  { name: 'within the limit', facts: [{ ...leaving, atMs: 0 }, started(3_000, 1)] },
  { name: 'after its return', facts: [{ ...leaving, atMs: 0 }, { ...leaving, kind: 'target-returned', atMs: 10 }, started(3_001, 1)] },
  { name: 'another target', facts: [{ ...leaving, atMs: 0 }, started(3_001, 1, { target: 'u' })] },
  { name: 'after the limit', facts: [{ ...leaving, atMs: 0 }, started(3_001, 1)], violation: '3001 ms after' },
  { name: 'a repeated sign does not move the limit', facts: [{ ...leaving, atMs: 0 }, { ...leaving, atMs: 2_000 }, started(3_001, 1)], violation: '3001 ms after' }
])

check('graceful-stop', index.gracefulStop.gracefulStop, [
  { name: 'served to its end', facts: [sent(0, 1), started(1, 1), { ...stopped, atMs: 2 }, ended(3, 1, 'finished'), answered(4, 1), { ...exited, atMs: 5 }] },
  { name: 'refused as not run', facts: [{ ...stopped, atMs: 2 }, sent(3, 1), refused(4, 1, 'draining', 'not-run'), { ...exited, atMs: 5 }] },
  { name: 'broken by its target', facts: [sent(0, 1), started(1, 1), { ...stopped, atMs: 2 }, ended(3, 1, 'broken'), refused(4, 1, 'target-failed', 'unknown'), { ...exited, atMs: 5 }] },
  { name: 'a resend whose response is no longer retained', facts: [sent(0, 1), started(1, 1), ended(2, 1, 'finished'), answered(2, 1), { ...stopped, atMs: 3 }, sent(4, 2), refused(4, 2, 'answer-not-held', 'ran'), { ...exited, atMs: 5 }] },
  { name: 'ended before the stop', facts: [sent(0, 1), disconnected(1, 1, 'daemon'), { ...stopped, atMs: 2 }, { ...exited, atMs: 5 }] },
  { name: 'cut off', facts: [sent(0, 1), { ...stopped, atMs: 2 }, disconnected(3, 1, 'daemon'), { ...exited, atMs: 5 }], violation: 'was cut off by d' },
  { name: 'cancelled on its target', facts: [sent(0, 1), started(1, 1), { ...stopped, atMs: 2 }, ended(3, 1, 'cancelled'), refused(4, 1, 'target-failed', 'unknown'), { ...exited, atMs: 5 }], violation: 'was stopped on its target' },
  { name: 'without a final outcome', facts: [sent(0, 1), { ...stopped, atMs: 2 }, { ...exited, atMs: 5 }], violation: 'never received a final outcome' },
  { name: 'killed while stopping', facts: [{ ...stopped, atMs: 2 }, { ...exited, code: undefined, atMs: 5 }], violation: 'ended with a signal' },
  { name: 'never ended', facts: [{ ...stopped, atMs: 2 }], violation: 'never ended' }
])

check('document-in-force', index.documentInForce.documentInForce, [
  { name: 'applied in time', facts: [accepted(0, 1), observed(1, 1), accepted(10, 2), observed(5_010, 1), observed(5_011, 2)] },
  { name: 'isolated, then within the limit again', facts: [accepted(0, 1), { ...isolated, atMs: 5 }, accepted(10, 2), observed(9_000, 1), { ...isolated, kind: 'isolation-ended', atMs: 9_001 }, observed(14_001, 1)] },
  { name: 'true reports', facts: [accepted(0, 1), reported(1, 'c1', true), reported(2, 'c2', false)] },
  { name: 'too late', facts: [accepted(0, 1), accepted(10, 2), observed(5_011, 1)], violation: '2 was accepted long before' },
  { name: 'too late after an isolation', facts: [accepted(0, 1), { ...isolated, atMs: 5 }, accepted(10, 2), { ...isolated, kind: 'isolation-ended', atMs: 9_001 }, observed(14_002, 1)], violation: 'accepted long before' },
  { name: 'reverted on a daemon', facts: [accepted(0, 1), accepted(10, 2), observed(11, 2), observed(12, 1)], violation: 'went back' },
  { name: 'never accepted', facts: [accepted(0, 1), observed(1, 2)], violation: 'never accepted' },
  { name: 'reverted by the platform', facts: [accepted(0, 2), accepted(1, 1)], violation: 'was accepted after 2' },
  { name: 'false success', facts: [accepted(0, 1), reported(1, 'c2', true)], violation: 'which is false' },
  { name: 'false failure', facts: [accepted(0, 1), reported(1, 'c1', false)], violation: 'which is false' }
])

check('prompt-refusal', index.promptRefusal.promptRefusal, [
  { name: 'at once', facts: [sent(0, 1), refused(250, 1, 'draining', 'not-run')] },
  { name: 'shed after a wait', facts: [sent(0, 1), refused(9_000, 1, 'shed', 'not-run')] },
  { name: 'at the deadline', facts: [sent(0, 1, { deadlineMs: 100 }), refused(110, 1, 'deadline-unreachable', 'not-run')] },
  { name: 'running past its deadline', facts: [sent(0, 1, { deadlineMs: 100 }), started(50, 1)] },
  { name: 'a refusal for another reason by another daemon', facts: [sent(0, 1), sent(0, 2), refused(1, 2, 'outcome-unknown', 'unknown'), refused(900, 1, 'shed', 'not-run')] },
  { name: 'delayed at admission', facts: [sent(0, 1), refused(251, 1, 'draining', 'not-run')], violation: '251 ms after' },
  { name: 'delayed to a resend', facts: [sent(0, 1), refused(9, 1, 'shed', 'not-run'), sent(10, 2), refused(261, 2, 'shed', 'not-run')], violation: '251 ms after' },
  { name: 'after its deadline', facts: [sent(0, 1, { deadlineMs: 100 }), refused(351, 1, 'shed', 'not-run')], violation: 'after its deadline' }
])

check('final-outcome', index.finalOutcome.finalOutcome, [
  { name: 'one outcome each', facts: [sent(0, 1), answered(1, 1), sent(2, 2), disconnected(3, 2, 'caller'), sent(4, 3), { kind: 'redirected', atMs: 5, call: 3 }] },
  { name: 'cut off by a killed daemon', facts: [sent(0, 1), disconnected(1, 1, 'daemon'), { ...exited, code: undefined, atMs: 1 }] },
  { name: 'no outcome', facts: [sent(0, 1)], violation: 'no final outcome' },
  { name: 'two outcomes', facts: [sent(0, 1), answered(1, 1), refused(2, 1, 'shed', 'not-run')], violation: '2 final outcomes' },
  { name: 'cut off by a living daemon', facts: [sent(0, 1), disconnected(1, 1, 'daemon')], violation: 'was not killed' }
])

const allGuarantees = uvu.suite('guarantees')

allGuarantees('all guarantees are checked together', () => {
  const violatingHistory = facts.createHistory([{ ...leaving, atMs: 0 }, started(3_001, 1), sent(4_000, 1), refused(4_001, 1, 'shed', 'not-run')])
  const violated = new Set(index.guarantees.findViolations(violatingHistory).map((violation) => violation.guarantee))
  assert.equal([...violated].sort(), ['leaving-target', 'single-dispatch', 'truthful-refusal'])
  assert.is(index.truthfulRefusal.countUnknown(violatingHistory), 0)
})

allGuarantees.run()
