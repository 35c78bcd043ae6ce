import * as routing from '@persimmonhatch/routing'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'

const suite = uvu.suite('slot share')

for (const members of [8, 9, 10, 13]) {
  for (const slots of [1, 6, 8, 12, 12.7, 60]) {
    suite(`the slots that ${members} members own are ${Math.floor(slots)} of ${slots}`, () => {
      for (const target of ['i-1', 'i-7f3a91c2', 'i-0a0f4803cc']) {
        const owned = Array.from({ length: members }, (_, index) => routing.slotShare.ownSlots({ target, slots }, { index, members }))
        assert.is(owned.reduce((sum, each) => sum + each, 0), Math.floor(slots))
        assert.ok(Math.max(...owned) - Math.min(...owned) <= 1)
      }
    })
  }
}

suite('a member that has not heard of the others owns a small part', () => {
  assert.ok(routing.slotShare.ownSlots({ target: 'i-1', slots: 12 }, { index: 0, members: 1 }) <= 2)
})

suite.run()
