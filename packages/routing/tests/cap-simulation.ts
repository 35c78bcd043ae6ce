/**
 * Simulates a fleet of several cells whose daemons admit the requests of one organisation under a token cap, in simulated
 * time. Members of a cell report to each other within a tenth of a second; cells report their sums to each other at the
 * interval of a large fleet.
 */
import * as routing from '@persimmonhatch/routing'
import * as distribution from 'pure-rand/distribution/uniformFloat64'
import * as generator from 'pure-rand/generator/xoroshiro128plus'

const STEP_MS = 10
const MS_PER_S = 1_000
const CELL_INTERVAL_MS = 100
const TOLERATED_TOKENS = 56_000

/** Kinds of requests of deployment V: tokens, and their part of all requests. */
const KINDS = [{ tokens: 6_946, part: 87 / 421 }, { tokens: 884, part: 178 / 421 }, { tokens: 1_824, part: 156 / 421 }] as const
const MEAN_TOKENS = KINDS.reduce((sum, { tokens, part }) => sum + tokens * part, 0)

export interface Options {
  readonly seed: number
  readonly daemons: number
  readonly durationMs: number
  /** Tokens per second that callers ask for. */
  readonly demand: (nowMs: number) => number
  /** Caps in the order in which documents change them. */
  readonly caps: readonly (readonly [atMs: number, cap: routing.document.Cap])[]
  /** Daemon that is replaced by a new process at a time. */
  readonly restart?: { readonly daemon: number, readonly atMs: number }
  /** Daemon that is cut off from its peers, from which time to which. */
  readonly cut?: { readonly daemon: number, readonly fromMs: number, readonly toMs: number }
  /** Part of the requests that arrive at the first daemon. */
  readonly atFirst?: number
}

/** Requests asked for and admitted, in tokens. */
export interface Sample {
  readonly atMs: number
  readonly daemon: number
  readonly tokens: number
  readonly admitted: boolean
}

interface Member {
  readonly caps: routing.tokenCap.TokenCaps
  /** Totals of each sender that have been applied. */
  readonly seen: Map<string, readonly [used: number, refused: number]>
}

const NAME = 'maarif'

function organisationOf (cap: routing.document.Cap): routing.document.Organisation {
  return { name: NAME, keys: [], priority: undefined, cap, plainTokens: 1 }
}

/** Runs the load and returns what became of each request. */
export function simulateCap (options: Options): readonly Sample[] {
  const { daemons, durationMs, caps } = options
  const source = generator.xoroshiro128plus(options.seed)
  const random = (): number => distribution.uniformFloat64(source)
  const cells = Math.max(1, Math.round(daemons / 9))
  const cellOf = (daemon: number): number => Math.floor(daemon * cells / daemons)
  const intervalMs = Math.max(1_000, 100 * cells)
  const phases = Array.from({ length: cells }, () => Math.floor(random() * intervalMs / STEP_MS) * STEP_MS)
  const samples: Sample[] = []
  let nowMs = 0
  const reachOf = (live: number): routing.tokenCap.Reach => ({ live, members: daemons, ...cells > 1 ? { cells: { count: cells, intervalMs } } : {} })

  function createMember (): Member {
    const member = { caps: routing.tokenCap.createTokenCaps({ toleratedTokens: TOLERATED_TOKENS }), seen: new Map<string, readonly [number, number]>() }
    member.caps.setReach(reachOf(daemons))
    return member
  }

  const isCut = (daemon: number): boolean => options.cut?.daemon === daemon && nowMs >= options.cut.fromMs && nowMs < options.cut.toMs
  const members = Array.from({ length: daemons }, createMember)

  /** Applies the totals of a sender to a member, as differences to those that it has seen. */
  function apply (member: Member, sender: string, [used, refused]: readonly [number, number], scope: routing.tokenCap.Source): void {
    const [usedBefore, refusedBefore] = member.seen.get(sender) ?? [used, refused]
    member.seen.set(sender, [used, refused])
    if (used !== usedBefore) member.caps.applyReported(NAME, used - usedBefore, nowMs, scope)
    if (refused !== refusedBefore) member.caps.applyReportedRefusals(NAME, refused - refusedBefore, nowMs, scope)
  }

  const totalsOf = ({ caps }: Member): readonly [number, number] => [caps.used().get(NAME) ?? 0, caps.refused().get(NAME) ?? 0]
  const inCell = (cell: number): readonly (readonly [number, Member])[] => [...members.entries()].filter(([daemon]) => cellOf(daemon) === cell && !isCut(daemon))

  function reportInCell (): void {
    for (let cell = 0; cell < cells; cell += 1) {
      for (const [from, sender] of inCell(cell)) {
        const rows = sender.caps.formerCaps(nowMs)
        for (const [to, member] of inCell(cell)) {
          if (to === from) continue
          apply(member, `${from}`, totalsOf(sender), 'cell')
          member.caps.applyFormerCaps(rows, nowMs)
        }
      }
    }
  }

  function reportToFleet (cell: number): void {
    const sums = inCell(cell).map(([, member]) => totalsOf(member)).reduce<readonly [number, number]>(([used, refused], [a, b]) => [used + a, refused + b], [0, 0])
    for (const [to, member] of members.entries()) if (cellOf(to) !== cell && !isCut(to)) apply(member, `cell ${cell}`, sums, 'fleet')
  }

  function adopt (member: Member, upTo: number): void {
    for (const [version, [atMs, cap]] of caps.entries()) if (atMs <= upTo && atMs > upTo - STEP_MS) member.caps.adopt([organisationOf(cap)], nowMs, version)
  }

  function arrive (): void {
    const draw = random()
    const tokens = draw < KINDS[0].part ? KINDS[0].tokens : draw < KINDS[0].part + KINDS[1].part ? KINDS[1].tokens : KINDS[2].tokens
    const daemon = random() < (options.atFirst ?? 0) ? 0 : Math.floor(random() * daemons)
    samples.push({ atMs: nowMs, daemon, tokens, admitted: members[daemon]?.caps.admit(NAME, tokens, nowMs).kind === 'admitted' })
  }

  for (; nowMs < durationMs; nowMs += STEP_MS) {
    for (const [daemon, member] of members.entries()) {
      if (options.cut?.daemon === daemon) member.caps.setReach(reachOf(isCut(daemon) ? 1 : daemons))
      // Daemons adopt a document within 80 ms of each other.
      adopt(member, nowMs - STEP_MS * (nowMs < 100 ? 0 : daemon % 8))
    }
    if (options.restart?.atMs === nowMs) {
      const member = createMember()
      members[options.restart.daemon] = member
      const latest = caps.map(([atMs, cap], version) => ({ atMs, cap, version })).filter(({ atMs }) => atMs <= nowMs).at(-1)
      if (latest !== undefined) member.caps.adopt([organisationOf(latest.cap)], nowMs, latest.version)
    }
    for (let due = options.demand(nowMs) * STEP_MS / MS_PER_S / MEAN_TOKENS, left = -Math.log(1 - random()); left < due; left -= Math.log(1 - random())) arrive()
    if (nowMs % CELL_INTERVAL_MS === 0) reportInCell()
    for (let cell = 0; cell < cells; cell += 1) if (nowMs % intervalMs === phases[cell]) reportToFleet(cell)
  }
  return samples
}

/** Returns the admitted tokens of samples. */
export function admittedTokens (samples: readonly Sample[]): number {
  return samples.reduce((sum, { admitted, tokens }) => sum + (admitted ? tokens : 0), 0)
}

/** Returns the part of the requests that were admitted. */
export function servedPart (samples: readonly Sample[]): number {
  return samples.filter(({ admitted }) => admitted).length / samples.length
}
