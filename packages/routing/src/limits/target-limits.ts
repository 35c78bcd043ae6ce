/**
 * Limits of requests per second that targets in need name in their responses.
 *
 * Every daemon sees only the responses that pass through it, and no clock is common to daemons and targets. A
 * change of a limit is therefore numbered: a response replaces a statement only if its request was sent after the
 * daemon had learned that statement. Of concurrent statements the lower limit applies.
 *
 * @module
 */

/** What a daemon has learned from a response of a target. */
export interface LimitStatement {
  readonly target: string
  /** Start of the target to which the statement applies, Unix ms; 0 if it is unknown. */
  readonly startedMs: number
  /** Rises with each change of the limit that a daemon sees. */
  readonly revision: number
  /** Undefined if the target names no limit any more. */
  readonly requestsPerS: number | undefined
}

/** Where a statement was learned: from a response, or from a report of a peer in the own cell or in another one. */
export type Source = 'own' | 'cell' | 'fleet'

/** Selects statements for a report. */
export interface Selection {
  /** Statements that were learned since this time from one of the sources are selected first. */
  readonly sinceMs: number
  readonly sources: readonly Source[]
  /** Whether the other statements are added, in turn. */
  readonly withOthers: boolean
  readonly maxRows: number
}

/** A response that names a limit or none. */
export interface ObservedResponse {
  readonly target: string
  readonly requestsPerS: number | undefined
  /** The statement that was known when the request was sent. */
  readonly known: LimitStatement | undefined
}

/** The limits of all targets. */
export interface TargetLimits {
  /** Records the limit that a response names; returns whether the limit has changed. */
  readonly observe: (response: ObservedResponse, nowMs: number) => boolean
  /** Applies a statement of a peer unless a later one is known; returns whether the limit has changed. */
  readonly apply: (statement: LimitStatement, source: Source, nowMs: number) => boolean
  /** Returns the latest statement about the current start of a target. */
  readonly statementOf: (target: string) => LimitStatement | undefined
  readonly limitOf: (target: string) => number | undefined
  readonly limitedCount: () => number
  readonly select: (selection: Selection) => readonly LimitStatement[]
  /** Forgets the statements about targets that have long been missing in the set. */
  readonly retain: (targets: ReadonlySet<string>, nowMs: number) => void
}

/** Time after which the limit of a target without an entry is forgotten, ms: entries lapse while the store is unavailable, and come back. */
const ABSENT_RETENTION_MS = 60_000

interface LearnedStatement {
  readonly statement: LimitStatement
  readonly source: Source
  readonly learnedMs: number
}

function limitIn ({ requestsPerS = Infinity }: LimitStatement): number {
  return requestsPerS
}

/** Returns whether a statement replaces another about the same target; all daemons decide alike, in any order of arrival. */
function isLater (next: LimitStatement, held: LimitStatement): boolean {
  const order = next.startedMs - held.startedMs || next.revision - held.revision || limitIn(held) - limitIn(next)
  return order > 0
}

/**
 * Creates the limits; no target has one. `startOf` returns the start of a target as it registered it, or 0.
 *
 * @example
 * ```ts
 * const known = limits.statementOf('i-1') // when the request is sent
 * limits.observe({ target: 'i-1', requestsPerS: 2.8, known }, nowMs) // when its response arrives
 * ```
 */
export function createTargetLimits (startOf: (target: string) => number): TargetLimits {
  const learned = new Map<string, LearnedStatement>()
  const absentSinceMs = new Map<string, number>()
  /** Position of the next of the other statements that is selected. */
  let nextOther = 0

  function statementOf (target: string): LimitStatement | undefined {
    const statement = learned.get(target)?.statement
    return statement === undefined || statement.startedMs < startOf(target) ? undefined : statement
  }

  const limitOf = (target: string): number | undefined => statementOf(target)?.requestsPerS

  function learn (statement: LimitStatement, source: Source, nowMs: number): boolean {
    const previous = limitOf(statement.target)
    learned.set(statement.target, { statement, source, learnedMs: nowMs })
    return previous !== limitOf(statement.target)
  }

  function observe ({ target, requestsPerS, known }: ObservedResponse, nowMs: number): boolean {
    const current = statementOf(target)
    if (current?.requestsPerS === requestsPerS) return false
    const isConcurrent = current !== undefined && (known === undefined || isLater(current, known))
    if (isConcurrent && (requestsPerS ?? Infinity) > limitIn(current)) return false
    return learn({ target, startedMs: Math.max(startOf(target), current?.startedMs ?? 0), revision: 1 + (current?.revision ?? 0), requestsPerS }, 'own', nowMs)
  }

  function apply (statement: LimitStatement, source: Source, nowMs: number): boolean {
    const held = learned.get(statement.target)?.statement
    return (held === undefined || isLater(statement, held)) && learn(statement, source, nowMs)
  }

  function select ({ sinceMs, sources, withOthers, maxRows }: Selection): readonly LimitStatement[] {
    const statements = [...learned.values()]
    const isRecent = ({ source, learnedMs }: LearnedStatement): boolean => learnedMs >= sinceMs && sources.includes(source)
    const recent = statements.filter(isRecent).slice(0, maxRows)
    const others = withOthers ? statements.filter((each) => !isRecent(each)) : []
    const first = others.length === 0 ? 0 : nextOther % others.length
    const added = [...others.slice(first), ...others.slice(0, first)].slice(0, maxRows - recent.length)
    nextOther = first + added.length
    return [...recent, ...added].map(({ statement }) => statement)
  }

  function retain (targets: ReadonlySet<string>, nowMs: number): void {
    for (const target of learned.keys()) {
      const sinceMs = absentSinceMs.get(target) ?? nowMs
      if (targets.has(target)) {
        absentSinceMs.delete(target)
      } else if (nowMs - sinceMs > ABSENT_RETENTION_MS) {
        absentSinceMs.delete(target)
        learned.delete(target)
      } else {
        absentSinceMs.set(target, sinceMs)
      }
    }
  }

  const limitedCount = (): number => [...learned.keys()].filter((target) => limitOf(target) !== undefined).length

  return { observe, apply, statementOf, limitOf, limitedCount, select, retain }
}
