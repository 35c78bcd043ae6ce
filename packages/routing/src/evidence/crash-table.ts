/**
 * Recent crashes of targets, by the traits of the requests that they had not begun to answer.
 *
 * @module
 */
import type * as crash from './crash.js'

/** Number of crashes behind each other after which a trait is refused. */
const CRASHES_TO_REFUSE = 3

/** Minimum number of different targets among the crashes of a segment; a single one may be at fault itself. */
const MIN_TARGETS = 2

/** Minimum number of different contents among the crashes of a segment; with one, the content itself is refused. */
const MIN_CONTENTS = 2

/** Time for which a crash is evidence, ms. */
const CRASH_RETENTION_MS = 60_000

/** Two reports of a request at a target within this time are about the same crash, ms. */
const SAME_CRASH_MS = 1_000

/** Maximum number of crashes in the table. */
const MAX_CRASHES = 512

/** Maximum number of crashes that are evidence against one trait. */
const MAX_CRASHES_OF_TRAIT = 64

interface RecordedCrash extends crash.Crash {
  readonly source: crash.Source
  readonly recordedMs: number
}

/** The crashes. */
export interface CrashTable {
  /** Returns whether a crash is not known yet, and makes it known. */
  readonly isNew: (crash: crash.Crash) => boolean
  /** Adds a crash as evidence. */
  readonly add: (crash: crash.Crash, source: crash.Source, nowMs: number) => void
  readonly has: (trait: string) => boolean
  /** Removes the crashes with a trait. */
  readonly removeWith: (trait: string) => void
  /** Clears a trait of the crashes before a time; returns whether there was one. */
  readonly clearBefore: (trait: string, beforeMs: number) => boolean
  /** Returns the trait of a crash that is to be refused, if there is one. */
  readonly convict: (crash: crash.Crash, lastAnswerMs: (trait: string) => number) => string | undefined
  /** Returns whether a trait has all but one of the crashes after which it is refused. */
  readonly isDoubtful: (traits: crash.Traits, lastAnswerMs: (trait: string) => number) => boolean
  /** Returns the crashes that sources have reported since a time; those with the most crashes of a trait come first. */
  readonly select: (sources: readonly crash.Source[], sinceMs: number, maxCrashes: number) => readonly crash.Crash[]
}

interface Evidence {
  readonly crashes: number
  readonly targets: number
  readonly contents: number
}

/** Counts the recent crashes behind each other: each in a request that was sent after the crash before. */
function evidenceOf (allCrashes: readonly crash.Crash[]): Evidence {
  const latestMs = Math.max(...allCrashes.map(({ atMs }) => atMs))
  const crashes = allCrashes.filter(({ atMs }) => latestMs - atMs < CRASH_RETENTION_MS)
  let counted = 0
  let lastMs = -Infinity
  for (const { sentMs, atMs } of [...crashes].sort((a, b) => a.atMs - b.atMs)) {
    if (sentMs <= lastMs) continue
    counted += 1
    lastMs = atMs
  }
  return { crashes: counted, targets: new Set(crashes.map(({ target }) => target)).size, contents: new Set(crashes.map(({ content }) => content)).size }
}

function isSegmentConvicted ({ crashes, targets, contents }: Evidence): boolean {
  return crashes >= CRASHES_TO_REFUSE && targets >= MIN_TARGETS && contents >= MIN_CONTENTS
}

/** Crashes in the order in which they were recorded, and by the traits that no answer has cleared. */
class CrashIndex {
  private readonly recorded = new Set<RecordedCrash>()
  private readonly byTrait = new Map<string, Set<RecordedCrash>>()

  crashes (): readonly RecordedCrash[] {
    return [...this.recorded]
  }

  add (crash: RecordedCrash): void {
    this.recorded.add(crash)
    for (const trait of [crash.content, ...crash.segments]) {
      const crashes = this.byTrait.get(trait) ?? new Set()
      this.byTrait.set(trait, crashes.add(crash))
      const [oldestOfTrait] = crashes
      if (oldestOfTrait !== undefined && crashes.size > MAX_CRASHES_OF_TRAIT) crashes.delete(oldestOfTrait)
    }
    const [oldest] = this.recorded
    if (oldest !== undefined && (this.recorded.size > MAX_CRASHES || crash.recordedMs - oldest.recordedMs > CRASH_RETENTION_MS)) this.remove(oldest)
  }

  remove (crash: RecordedCrash): void {
    this.recorded.delete(crash)
    for (const trait of [crash.content, ...crash.segments]) this.clear(trait, crash)
  }

  /** Clears a trait of a crash. */
  clear (trait: string, crash: RecordedCrash): void {
    const crashes = this.byTrait.get(trait)
    crashes?.delete(crash)
    if (crashes?.size === 0) this.byTrait.delete(trait)
  }

  crashesOf (trait: string): readonly RecordedCrash[] {
    return [...this.byTrait.get(trait) ?? []]
  }

  countOf (trait: string): number {
    return this.byTrait.get(trait)?.size ?? 0
  }
}

/**
 * Creates an empty table.
 *
 * @example
 * ```ts
 * const table = createCrashTable()
 * if (table.isNew(crash)) table.add(crash, 'own', nowMs)
 * const trait = table.convict(crash, lastAnswerMs)
 * ```
 */
export function createCrashTable (): CrashTable {
  const index = new CrashIndex()
  /** Times of the crashes by content and target. */
  const known = new Map<string, number>()

  function isNew (crash: crash.Crash): boolean {
    const key = `${crash.content} ${crash.target}`
    const knownMs = known.get(key)
    if (knownMs !== undefined && Math.abs(knownMs - crash.atMs) < SAME_CRASH_MS) return false
    known.delete(key)
    known.set(key, crash.atMs)
    const [oldestKey] = known.keys()
    if (known.size > MAX_CRASHES && oldestKey !== undefined) known.delete(oldestKey)
    return true
  }

  function clearBefore (trait: string, beforeMs: number): boolean {
    const cleared = index.crashesOf(trait).filter(({ atMs }) => atMs < beforeMs)
    for (const crash of cleared) index.clear(trait, crash)
    return cleared.length > 0
  }

  function evidence (trait: string, lastAnswerMs: (trait: string) => number): Evidence {
    const answeredMs = lastAnswerMs(trait)
    return evidenceOf(index.crashesOf(trait).filter(({ atMs }) => atMs > answeredMs))
  }

  function convict ({ content, segments }: crash.Crash, lastAnswerMs: (trait: string) => number): string | undefined {
    // The segment whose last answer is the oldest is the most suspicious, then the most specific one. A segment that
    // stands beside several tainted ones reaches the number of crashes before each of them does.
    const decisive = segments
      .filter((trait) => index.countOf(trait) >= CRASHES_TO_REFUSE - 1)
      .map((trait, position) => ({ trait, position, answeredMs: lastAnswerMs(trait), evidence: evidence(trait, lastAnswerMs) }))
      .sort((a, b) => (a.answeredMs === b.answeredMs ? b.position - a.position : a.answeredMs - b.answeredMs))
      .find((segment) => segment.evidence.crashes === CRASHES_TO_REFUSE - 1 || isSegmentConvicted(segment.evidence))
    if (decisive !== undefined && isSegmentConvicted(decisive.evidence)) return decisive.trait
    return evidence(content, lastAnswerMs).crashes >= CRASHES_TO_REFUSE ? content : undefined
  }

  function select (sources: readonly crash.Source[], sinceMs: number, maxCrashes: number): readonly crash.Crash[] {
    return index.crashes()
      .filter(({ recordedMs, source }) => recordedMs >= sinceMs && sources.includes(source))
      .map((crash) => ({ crash, weight: Math.max(index.countOf(crash.content), ...crash.segments.map((segment) => index.countOf(segment))) }))
      .sort((a, b) => b.weight - a.weight || b.crash.recordedMs - a.crash.recordedMs)
      .slice(0, maxCrashes)
      .map(({ crash }) => crash)
  }

  return {
    isNew,
    add: (crash, source, nowMs) => { index.add({ ...crash, source, recordedMs: nowMs }) },
    has: (trait) => index.countOf(trait) > 0,
    removeWith: (trait) => { for (const crash of index.crashesOf(trait)) index.remove(crash) },
    clearBefore,
    convict,
    isDoubtful: ({ content, segments }, lastAnswerMs) => [content, ...segments].some((trait) => evidence(trait, lastAnswerMs).crashes >= CRASHES_TO_REFUSE - 1),
    select
  }
}
