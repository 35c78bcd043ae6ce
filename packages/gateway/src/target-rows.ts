/**
 * The rows of reports about targets that leave or ask for a pause.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import * as peerMessages from './peer-messages.js'
import type * as targetStates from './target-states.js'

/** The rows of one report. */
export type TargetRows = Pick<peerMessages.Report, 'leavingTargets' | 'departures' | 'pauses'>

/** Sources of the rows. */
export interface Sources {
  readonly registry: routing.targetRegistry.TargetRegistry
  readonly targetPauses: routing.targetPauses.TargetPauses
}

/** Destinations of the rows. */
export interface Destinations {
  readonly registry: routing.targetRegistry.TargetRegistry
  readonly targetStates: Pick<targetStates.TargetStates, 'depart' | 'applyPause'>
  readonly applyTarget: (versioned: routing.targetRegistry.VersionedTarget, source: string) => void
}

/** Writes the rows of successive reports. */
export interface TargetRowWriter {
  /** Returns the rows that the last report to the cell did not have, or all of them with a listing. */
  readonly forCell: (withListing: boolean, nowMs: number) => TargetRows
  /** Returns all rows that other cells need. */
  readonly forFleet: () => TargetRows
}

/** Maximum number of departures and of pauses in a report. */
const MAX_DEPARTURE_ROWS = 60
const MAX_PAUSE_ROWS = 40

/** Returns a function that selects the rows which its last call was not given, or all of them. */
function createNewRows<Row> (keyOf: (row: Row) => string): (rows: readonly Row[], withAll: boolean) => readonly Row[] {
  let known: ReadonlySet<string> = new Set()
  return (rows, withAll) => {
    const selected = withAll ? rows : rows.filter((row) => !known.has(keyOf(row)))
    known = new Set(rows.map(keyOf))
    return selected
  }
}

/**
 * Creates the writer of one daemon.
 *
 * @example
 * ```ts
 * const rows = createTargetRowWriter({ registry, targetPauses }).forCell(false, nowMs)
 * ```
 */
export function createTargetRowWriter ({ registry, targetPauses }: Sources): TargetRowWriter {
  const newLeavingTargets = createNewRows<peerMessages.LeavingTarget>((row) => row.join())
  const newDepartures = createNewRows<peerMessages.DepartureRow>((row) => row.join())
  const newPauses = createNewRows<peerMessages.PauseRow>(([target, , told]) => `${target} ${told}`)

  const leavingTargets = (): TargetRows['leavingTargets'] => registry.versionedTargets().filter(({ target }) => target?.leaving === true).map(peerMessages.toLeavingTarget)

  const departures = (): TargetRows['departures'] => registry.departures().slice(0, MAX_DEPARTURE_ROWS).map(peerMessages.toDepartureRow)

  const pauses = (nowMs: number): TargetRows['pauses'] => targetPauses.list(nowMs).slice(0, MAX_PAUSE_ROWS).map(({ target, durationMs, told }) => [target, Math.round(durationMs), told])

  return {
    forCell: (withListing, nowMs) => ({
      leavingTargets: newLeavingTargets(leavingTargets(), withListing),
      departures: newDepartures(departures(), withListing),
      pauses: newPauses(pauses(nowMs), withListing)
    }),
    forFleet: () => ({ leavingTargets: leavingTargets(), departures: departures(), pauses: [] })
  }
}

/**
 * Applies the rows of a report.
 *
 * @example
 * ```ts
 * applyTargetRows(report, { registry, targetStates, applyTarget })
 * ```
 */
export function applyTargetRows (report: peerMessages.Report, { registry, targetStates, applyTarget }: Destinations): void {
  const { leavingTargets, departures, pauses, from } = report
  for (const [target, durationMs, told] of pauses) targetStates.applyPause({ target, durationMs, told })
  for (const row of departures) targetStates.depart(peerMessages.departureOf(row), from)
  if (leavingTargets.length === 0) return
  const versionedTargets = new Map(registry.versionedTargets().map((versioned) => [versioned.id, versioned]))
  for (const leavingTarget of leavingTargets) {
    const [id, era, revision] = leavingTarget
    const target = versionedTargets.get(id)?.target
    if (target !== undefined) applyTarget({ id, era, revision, report: peerMessages.selfReportOf(leavingTarget), target: { ...target, leaving: true } }, from)
  }
}
