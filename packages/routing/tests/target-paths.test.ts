import * as routing from '@persimmonhatch/routing'
import * as assert from 'uvu/assert'
import * as uvu from 'uvu'

const PEERS = ['a', 'b', 'c']
const suite = uvu.suite('target paths')

interface Fixture {
  readonly paths: routing.targetPaths.TargetPaths
  readonly changes: readonly (readonly [target: string, isLost: boolean])[]
  readonly choose: (target: string, nowMs: number) => string | undefined
}

function create (): Fixture {
  const changes: (readonly [target: string, isLost: boolean])[] = []
  const paths = routing.targetPaths.createTargetPaths({ random: () => 0, onChange: (target, isLost) => { changes.push([target, isLost]) } })
  return { paths, changes, choose: (target, nowMs) => paths.choose(target, () => PEERS, nowMs) }
}

suite('a target is reached directly until its path is lost, then through a peer, and directly again after a probe', () => {
  const { paths, changes, choose } = create()
  assert.is(choose('i-1', 0), undefined)
  paths.recordUnreachable('i-1', undefined, 0)
  assert.is(choose('i-1', 10), 'a')
  assert.equal(paths.takeDueProbes(399), [])
  assert.equal(paths.takeDueProbes(400), ['i-1'])
  assert.equal(paths.takeDueProbes(900), [], 'the first probe has not ended')
  paths.endProbe('i-1', true, 900)
  assert.is(choose('i-1', 910), undefined)
  assert.equal(changes, [['i-1', true], ['i-1', false]])
})

suite('a peer that has lost the target, or could not connect to it, is not used', () => {
  const { paths, choose } = create()
  paths.recordUnreachable('i-1', undefined, 0)
  paths.applyReport('a', ['i-1'])
  assert.is(choose('i-1', 0), 'b')
  paths.recordUnreachable('i-1', 'b', 0)
  assert.is(choose('i-1', 0), 'c')
  paths.recordUnreachable('i-1', 'c', 500)
  assert.is(choose('i-1', 500), undefined)
  assert.is(choose('i-1', 1_000), 'b')
})

suite('when a path is lost, the other targets in use are probed at once', () => {
  const { paths, choose } = create()
  choose('i-1', 0)
  choose('i-2', 0)
  choose('i-3', 11_000)
  paths.recordUnreachable('i-1', undefined, 11_000)
  assert.equal(paths.takeDueProbes(11_000), ['i-3'])
  paths.endProbe('i-3', false, 11_300)
  assert.equal(paths.lost(), ['i-1', 'i-3'])
})

suite('a silent target is probed at most once a second', () => {
  const { paths } = create()
  paths.suspect('i-1')
  assert.equal(paths.takeDueProbes(0), ['i-1'])
  paths.endProbe('i-1', true, 10)
  paths.suspect('i-1')
  assert.equal(paths.takeDueProbes(500), [])
  assert.equal(paths.takeDueProbes(1_000), ['i-1'])
})

const CUT_OFF: readonly (readonly [description: string, lost: readonly string[], lostAtAllPeers: readonly string[], isCutOff: boolean])[] = [
  ['no path is lost', [], [], false],
  ['one of four', ['i-1'], [], false],
  ['two of four', ['i-1', 'i-2'], [], true],
  ['all, which no peer reaches either', ['i-1', 'i-2', 'i-3', 'i-4'], ['i-1', 'i-2', 'i-3', 'i-4'], false],
  ['all, of which peers reach one', ['i-1', 'i-2', 'i-3', 'i-4'], ['i-1', 'i-2', 'i-3'], false]
]

for (const [description, lost, lostAtAllPeers, isCutOff] of CUT_OFF) {
  suite(`a daemon is cut off or not: ${description}`, () => {
    const { paths, choose } = create()
    for (const target of ['i-1', 'i-2', 'i-3', 'i-4']) choose(target, 0)
    for (const target of lost) paths.recordUnreachable(target, undefined, 0)
    for (const peer of PEERS) paths.applyReport(peer, lostAtAllPeers)
    assert.is(paths.isCutOff(PEERS, 0), isCutOff)
  })
}

suite('a target that is not registered any more is forgotten', () => {
  const { paths } = create()
  paths.recordUnreachable('i-1', undefined, 0)
  assert.equal(paths.takeDueProbes(400), ['i-1'])
  paths.retain(new Set())
  paths.endProbe('i-1', false, 500)
  assert.equal([paths.lost(), paths.takeDueProbes(5_000)], [[], []])
})

suite.run()
