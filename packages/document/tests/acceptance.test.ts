import * as fastCheck from 'fast-check'
import * as uvu from 'uvu'
import * as assert from 'uvu/assert'
import * as adoption from '../src/adoption.js'
import * as changePlan from '../src/change-plan.js'
import * as fixtures from './fixtures.js'

const acceptance = uvu.suite('accepted changes')

const SEED = 20_261_203
const DAEMONS = 3

type Action =
  | { readonly kind: 'apply' }
  | { readonly kind: 'watch' | 'restart', readonly daemon: number }
  | { readonly kind: 'copy', readonly daemon: number, readonly peer: number }
  /** The platform is restored with the content that it had this many changes ago. */
  | { readonly kind: 'restore', readonly changes: number }

const DAEMON = fastCheck.nat({ max: DAEMONS - 1 })
const ACTION: fastCheck.Arbitrary<Action> = fastCheck.oneof(
  fastCheck.constant({ kind: 'apply' } as const),
  fastCheck.record({ kind: fastCheck.constantFrom('watch', 'watch', 'restart'), daemon: DAEMON }),
  fastCheck.record({ kind: fastCheck.constant('copy' as const), daemon: DAEMON, peer: DAEMON }),
  fastCheck.record({ kind: fastCheck.constant('restore' as const), changes: fastCheck.integer({ min: 1, max: 3 }) })
)

/** Simulates a platform that loses changes, daemons that restart, and operators. */
class Simulation {
  readonly daemons = Array.from({ length: DAEMONS }, adoption.createAdoption)
  stored: readonly string[] = []
  acceptedCount = 0

  perform (action: Action): void {
    if (action.kind === 'apply') this.apply()
    else if (action.kind === 'restore') this.stored = this.stored.slice(0, -action.changes)
    else if (action.kind === 'restart') this.daemons[action.daemon] = adoption.createAdoption()
    else if (action.kind === 'copy') this.deliver(action.daemon, this.daemons[action.peer]?.find('listings')?.text, 'peer')
    else this.deliver(action.daemon, this.stored.at(-1), 'platform')
  }

  /** Delivers the copies of the platform and of all other daemons to every daemon. */
  synchronise (): void {
    this.daemons.forEach((_, daemon) => { this.perform({ kind: 'watch', daemon }) })
    this.daemons.forEach((_, daemon) => this.daemons.forEach((_, peer) => { this.perform({ kind: 'copy', daemon, peer }) }))
  }

  inForce (): readonly (string | undefined)[] {
    return this.daemons.map((daemon) => daemon.status()[0]?.changeId)
  }

  private deliver (daemon: number, text: string | undefined, source: adoption.Copy['source']): void {
    const daemonAdoption = this.daemons[daemon]
    const revisionBefore = daemonAdoption?.find('listings')?.revision ?? 0
    for (const event of daemonAdoption?.handle({ service: 'listings', text, source }) ?? []) assert.is.not(event.kind, 'rivals')
    assert.ok((daemonAdoption?.find('listings')?.revision ?? 0) >= revisionBefore)
  }

  private apply (): void {
    this.acceptedCount += 1
    const storedText = this.stored.at(-1)
    const plan = changePlan.planChange(storedText === undefined ? undefined : { text: storedText, modRevision: 1 }, {
      service: 'listings',
      content: `// ${this.acceptedCount}\n${fixtures.listings()}`,
      change: fixtures.change(String(this.acceptedCount)),
      expectedRevision: undefined,
      revisionInForce: Math.max(...this.daemons.map((daemon) => daemon.find('listings')?.revision ?? 0)),
      replaceUnreadable: false,
      hash: fixtures.hash
    })._unsafeUnwrap()
    if (plan.kind === 'write') this.stored = [...this.stored, plan.text]
  }
}

acceptance('end with the last one in force on every daemon, and never revert in between', () => {
  fastCheck.assert(fastCheck.property(fastCheck.array(ACTION, { maxLength: 40, size: 'max' }), (actions) => {
    const simulation = new Simulation()
    for (const action of actions) simulation.perform(action)
    simulation.perform({ kind: 'apply' })
    simulation.synchronise()
    assert.equal(simulation.inForce(), Array.from({ length: DAEMONS }, () => `change-${simulation.acceptedCount}`))
  }), { seed: SEED, numRuns: 1_000 })
})

acceptance('stay in force if the platform loses them after one daemon has adopted them', () => {
  fastCheck.assert(fastCheck.property(fastCheck.array(ACTION, { maxLength: 20, size: 'max' }), DAEMON, (actions, daemon) => {
    const simulation = new Simulation()
    for (const action of actions) simulation.perform(action)
    for (const action of [{ kind: 'apply' }, { kind: 'watch', daemon }, { kind: 'restore', changes: 1 }] as const) simulation.perform(action)
    simulation.synchronise()
    assert.equal(simulation.inForce(), Array.from({ length: DAEMONS }, () => `change-${simulation.acceptedCount}`))
  }), { seed: SEED, numRuns: 1_000 })
})

acceptance.run()
