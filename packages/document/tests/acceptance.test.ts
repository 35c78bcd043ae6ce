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
  /** The platform comes back with the content that it had this many changes ago. */
  | { readonly kind: 'restore', readonly changes: number }

const DAEMON = fastCheck.nat({ max: DAEMONS - 1 })
const ACTION: fastCheck.Arbitrary<Action> = fastCheck.oneof(
  fastCheck.constant({ kind: 'apply' } as const),
  fastCheck.record({ kind: fastCheck.constantFrom('watch', 'watch', 'restart'), daemon: DAEMON }),
  fastCheck.record({ kind: fastCheck.constant('copy' as const), daemon: DAEMON, peer: DAEMON }),
  fastCheck.record({ kind: fastCheck.constant('restore' as const), changes: fastCheck.integer({ min: 1, max: 3 }) })
)

/** A platform that loses changes, daemons that start again, and operators. */
class World {
  readonly daemons = Array.from({ length: DAEMONS }, adoption.createAdoption)
  stored: readonly string[] = []
  accepted = 0

  act (action: Action): void {
    if (action.kind === 'apply') this.apply()
    else if (action.kind === 'restore') this.stored = this.stored.slice(0, -action.changes)
    else if (action.kind === 'restart') this.daemons[action.daemon] = adoption.createAdoption()
    else if (action.kind === 'copy') this.give(action.daemon, this.daemons[action.peer]?.find('listings')?.text, 'peer')
    else this.give(action.daemon, this.stored.at(-1), 'platform')
  }

  /** Lets every daemon hear the platform and all others. */
  settle (): void {
    this.daemons.forEach((_, daemon) => { this.act({ kind: 'watch', daemon }) })
    this.daemons.forEach((_, daemon) => this.daemons.forEach((_, peer) => { this.act({ kind: 'copy', daemon, peer }) }))
  }

  inForce (): readonly (string | undefined)[] {
    return this.daemons.map((daemon) => daemon.status()[0]?.changeId)
  }

  private give (daemon: number, text: string | undefined, source: adoption.Copy['source']): void {
    const adopted = this.daemons[daemon]
    const before = adopted?.find('listings')?.revision ?? 0
    for (const event of adopted?.handle({ service: 'listings', text, source }) ?? []) assert.is.not(event.kind, 'rivals')
    assert.ok((adopted?.find('listings')?.revision ?? 0) >= before)
  }

  private apply (): void {
    this.accepted += 1
    const held = this.stored.at(-1)
    const plan = changePlan.planChange(held === undefined ? undefined : { text: held, modRevision: 1 }, {
      service: 'listings',
      content: `// ${this.accepted}\n${fixtures.listings()}`,
      change: fixtures.change(String(this.accepted)),
      expectedRevision: undefined,
      revisionInForce: Math.max(...this.daemons.map((daemon) => daemon.find('listings')?.revision ?? 0)),
      replaceUnreadable: false,
      hash: fixtures.hash
    })._unsafeUnwrap()
    if (plan.kind === 'write') this.stored = [...this.stored, plan.text]
  }
}

acceptance('are in force everywhere in the end, the last one, and nothing goes back on the way', () => {
  fastCheck.assert(fastCheck.property(fastCheck.array(ACTION, { maxLength: 40, size: 'max' }), (actions) => {
    const world = new World()
    for (const action of actions) world.act(action)
    world.act({ kind: 'apply' })
    world.settle()
    assert.equal(world.inForce(), Array.from({ length: DAEMONS }, () => `change-${world.accepted}`))
  }), { seed: SEED, numRuns: 1_000 })
})

acceptance('stay in force when the platform loses them after one daemon has them', () => {
  fastCheck.assert(fastCheck.property(fastCheck.array(ACTION, { maxLength: 20, size: 'max' }), DAEMON, (actions, daemon) => {
    const world = new World()
    for (const action of actions) world.act(action)
    for (const action of [{ kind: 'apply' }, { kind: 'watch', daemon }, { kind: 'restore', changes: 1 }] as const) world.act(action)
    world.settle()
    assert.equal(world.inForce(), Array.from({ length: DAEMONS }, () => `change-${world.accepted}`))
  }), { seed: SEED, numRuns: 1_000 })
})

acceptance.run()
