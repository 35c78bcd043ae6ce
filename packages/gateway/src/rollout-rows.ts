/**
 * What daemons report about a roll-out, and its sums over the fleet. Reports carry totals, so the next one replaces the last.
 *
 * @module
 */
import * as rollout from '@persimmonhatch/rollout'
import type * as peerMessages from './peer-messages.js'

/** A daemon's or a cell's part of a roll-out, with the latest grant that it knows. */
export interface RolloutRow extends rollout.grants.Grant {
  readonly arrivals: number
  readonly sends: number
  /** Requests that are still at targets of other versions. */
  readonly oldInFlight: number
  /** Live daemons that don't send everything to the version yet. */
  readonly lagging: number
  readonly outcomes: rollout.outcomes.Outcomes
  readonly oldOutcomes: rollout.outcomes.Outcomes
}

/** What the sums are made of. */
export type Part = Omit<RolloutRow, keyof rollout.grants.Grant>

/** Time after which the requests in flight of a sender are not counted, ms: it is dead, or its cell reports through another member. */
const LIVE_MS = 3_500

interface ReceivedPart {
  readonly part: Part
  readonly scope: peerMessages.Report['scope']
  readonly atMs: number
}

function sumParts (parts: readonly Part[]): Part {
  const total = (valueOf: (part: Part) => number): number => parts.reduce((sum, part) => sum + valueOf(part), 0)
  return {
    arrivals: total((part) => part.arrivals),
    sends: total((part) => part.sends),
    oldInFlight: total((part) => part.oldInFlight),
    lagging: total((part) => part.lagging),
    outcomes: rollout.outcomes.sum(parts.map((part) => part.outcomes)),
    oldOutcomes: rollout.outcomes.sum(parts.map((part) => part.oldOutcomes))
  }
}

/**
 * The parts of a roll-out that peers have reported.
 *
 * @example
 * ```ts
 * const received = new ReceivedParts()
 * received.apply(report, row, peers.cellOf(report.from, nowMs), nowMs)
 * const fleet = received.sumFleet(own, nowMs)
 * ```
 */
export class ReceivedParts {
  private readonly parts = new Map<string, ReceivedPart>()

  apply ({ from, incarnation, scope }: Pick<peerMessages.Report, 'from' | 'incarnation' | 'scope'>, row: Part, cell: string | undefined, nowMs: number): void {
    if (scope === 'fleet' && cell === undefined) return
    const key = scope === 'cell' ? `${from} ${incarnation}` : `cell ${cell}`
    const previous = this.parts.get(key)?.part
    // Another member of the cell may have started later and know less of what the cell has sent.
    const part = previous !== undefined && previous.arrivals > row.arrivals ? { ...previous, oldInFlight: row.oldInFlight, lagging: row.lagging } : row
    this.parts.set(key, { part, scope, atMs: nowMs })
  }

  clear (): void {
    this.parts.clear()
  }

  /** Returns the sum of this daemon and the members of its cell. */
  sumCell (own: Part, nowMs: number): Part {
    return sumParts([own, ...this.select(nowMs, 'cell')])
  }

  sumFleet (own: Part, nowMs: number): Part {
    return sumParts([own, ...this.select(nowMs)])
  }

  private select (nowMs: number, scope?: peerMessages.Report['scope']): readonly Part[] {
    return [...this.parts.values()].filter((received) => scope === undefined || received.scope === scope)
      .map(({ part, atMs }) => nowMs - atMs < LIVE_MS ? part : { ...part, oldInFlight: 0, lagging: 0 })
  }
}
