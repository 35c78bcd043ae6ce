/**
 * Detects what crashes the targets that run it: a request's whole content, or a segment that prompts share.
 *
 * All requests at a target fail with it, so a single crash says little. A trait is refused after several crashes
 * behind each other, each in a request that was sent after the crash before and that its target had not begun to
 * answer, while no answer to a request with the trait has begun. Crashes with a refused segment are no evidence
 * against the other segments of their prompts.
 *
 * @module
 */
import type * as crash from './crash.js'
import * as crashTable from './crash-table.js'

/** Time for which a trait is refused after its last crash, ms. Doubles with each crash after such a time. */
const REFUSAL_MS = 20_000

const MAX_REFUSAL_MS = 320_000

/** A refusal ends after this many times its duration if no trial has settled it. */
const UNSETTLED_FACTOR = 3

/** Maximum time for which one request with a refused trait is on trial, ms. */
const TRIAL_MS = 15_000

/** Ages in reports differ by their transmission; times that differ by less are about the same crash, ms. */
const AGE_TOLERANCE_MS = 1_000

/** Maximum number of refused traits. */
const MAX_REFUSED = 32

/** Maximum number of traits of which it is known when an answer last began. */
const MAX_ANSWERED = 2_000

/** A trait that is refused. */
export interface RefusedTrait {
  readonly trait: string
  readonly lastCrashMs: number
  /** Number of times that the trait was refused. */
  readonly refusals: number
}

/** Whether a request may be sent; one with a refused trait may be as the only one on trial. */
export type Verdict =
  | { readonly kind: 'admitted', readonly isOnTrial: boolean }
  | { readonly kind: 'refused', readonly trait: string, readonly retryAfterMs: number }

/** Rows of a report; times are ages in ms. */
export interface SuspectReport {
  readonly crashes?: readonly (readonly [target: string, sentAgeMs: number, ageMs: number, content: string, ...segments: readonly string[]])[]
  /** Traits whose crashes are refuted by an answer that has begun. */
  readonly answered?: readonly (readonly [trait: string, ageMs: number])[]
  readonly refused?: readonly (readonly [trait: string, ageMs: number, refusals: number])[]
}

/** Selects rows for a report. */
export interface Selection {
  readonly sources: readonly crash.Source[]
  /** Rows recorded before this time are left out, ms. */
  readonly sinceMs: number
  /** Whether refused traits are included whenever they were recorded. */
  readonly withAllRefused: boolean
  readonly maxRows: number
}

interface Refusal extends RefusedTrait {
  readonly changedMs: number
  readonly trialEndMs: number
}

interface Answer {
  readonly atMs: number
  /** Time at which the answer refuted crashes, for reports. */
  readonly refutedMs: number | undefined
  readonly source: crash.Source
}

function traitsOf ({ content, segments }: crash.Traits): readonly string[] {
  return [content, ...segments]
}

function durationMs ({ refusals }: RefusedTrait): number {
  return Math.min(MAX_REFUSAL_MS, REFUSAL_MS * 2 ** (refusals - 1))
}

/** Returns whether a refusal has ended because no trial has settled it. */
function isUnsettled (refused: RefusedTrait, nowMs: number): boolean {
  return nowMs - refused.lastCrashMs >= UNSETTLED_FACTOR * durationMs(refused)
}

/** Sets a key as the most recent one and removes the oldest beyond the maximum. */
function setBounded<Value> (map: Map<string, Value>, key: string, value: Value, max: number): void {
  map.delete(key)
  map.set(key, value)
  const oldest = map.keys().next().value
  if (map.size > max && oldest !== undefined) map.delete(oldest)
}

/**
 * Evidence about traits, and what is refused because of it. `onChange` is called when a trait becomes refused or is no
 * longer refused.
 *
 * @example
 * ```ts
 * const suspects = new Suspects(({ trait }, isRefused) => log(trait, isRefused))
 * suspects.recordCrash({ content, segments, target: 'engine-3', sentMs, atMs: nowMs }, 'own', nowMs)
 * if (suspects.admit({ content, segments }, nowMs, isArbiter).kind === 'refused') refuse()
 * ```
 */
export class Suspects {
  private readonly crashes = crashTable.createCrashTable()
  private readonly answers = new Map<string, Answer>()
  private readonly refusals = new Map<string, Refusal>()

  constructor (private readonly onChange: (trait: RefusedTrait, isRefused: boolean) => void = () => {}) {}

  recordCrash (crash: crash.Crash, source: crash.Source, nowMs: number): void {
    if (!this.crashes.isNew(crash) || this.recordAgain(crash, nowMs)) return
    this.crashes.add(crash, source, nowMs)
    const trait = this.crashes.convict(crash, this.lastAnswerMs)
    if (trait !== undefined) this.refuse({ trait, lastCrashMs: crash.atMs, refusals: 1 }, trait !== crash.content, nowMs)
  }

  /** Records that a target has begun to answer a request; `begunMs` is when. */
  recordAnswer (traits: crash.Traits, begunMs: number, nowMs: number): void {
    for (const trait of traits.segments) this.answer(trait, begunMs, 'own', nowMs)
    // Contents are seldom repeated, so only those with evidence are remembered.
    if (this.crashes.has(traits.content) || this.refusals.has(traits.content)) this.answer(traits.content, begunMs, 'own', nowMs)
  }

  /** Decides whether a request may be sent. `isArbiter` tells whether this daemon may try a refused trait. */
  admit (traits: crash.Traits, nowMs: number, isArbiter: (trait: string) => boolean): Verdict {
    const refusals = traitsOf(traits).flatMap((trait) => this.currentRefusal(trait, nowMs) ?? [])
    for (const refusal of refusals) {
      const remainingMs = refusal.lastCrashMs + durationMs(refusal) - nowMs
      if (remainingMs > 0 || refusal.trialEndMs > nowMs || !isArbiter(refusal.trait)) return { kind: 'refused', trait: refusal.trait, retryAfterMs: Math.max(0, remainingMs) }
    }
    for (const refusal of refusals) this.refusals.set(refusal.trait, { ...refusal, trialEndMs: nowMs + TRIAL_MS })
    return { kind: 'admitted', isOnTrial: refusals.length > 0 }
  }

  /** Returns the refused trait of a request that was admitted earlier, if there is one. */
  refusedTrait (traits: crash.Traits, nowMs: number): string | undefined {
    return traitsOf(traits).find((trait) => this.currentRefusal(trait, nowMs) !== undefined)
  }

  /** Returns whether a request should not be repeated, as one more crash would refuse one of its traits. */
  isDoubtful (traits: crash.Traits): boolean {
    return this.crashes.isDoubtful(traits, this.lastAnswerMs)
  }

  refused (): readonly RefusedTrait[] {
    return [...this.refusals.values()]
  }

  select ({ sources, sinceMs, withAllRefused, maxRows }: Selection, nowMs: number): SuspectReport {
    const age = (atMs: number): number => Math.max(0, Math.round(nowMs - atMs))
    const crashRows = this.crashes.select(sources, sinceMs, maxRows)
      .map(({ target, sentMs, atMs, content, segments }) => [target, age(sentMs), age(atMs), content, ...segments] as const)
    const answeredRows = [...this.answers]
      .filter(([, { refutedMs, source }]) => refutedMs !== undefined && refutedMs >= sinceMs && sources.includes(source))
      .slice(-maxRows)
      .map(([trait, { atMs }]) => [trait, age(atMs)] as const)
    const refusedRows = [...this.refusals.values()]
      .filter((refusal) => !isUnsettled(refusal, nowMs) && (withAllRefused || refusal.changedMs >= sinceMs))
      .slice(-maxRows)
      .map(({ trait, lastCrashMs, refusals }) => [trait, age(lastCrashMs), refusals] as const)
    return {
      ...(crashRows.length > 0 ? { crashes: crashRows } : {}),
      ...(answeredRows.length > 0 ? { answered: answeredRows } : {}),
      ...(refusedRows.length > 0 ? { refused: refusedRows } : {})
    }
  }

  applyReport (report: SuspectReport, source: crash.Source, nowMs: number): void {
    for (const [trait, ageMs] of report.answered ?? []) this.answer(trait, nowMs - ageMs, source, nowMs)
    for (const [trait, ageMs, refusals] of report.refused ?? []) this.adopt({ trait, lastCrashMs: nowMs - ageMs, refusals }, nowMs)
    for (const [target, sentAgeMs, ageMs, content, ...segments] of report.crashes ?? []) {
      this.recordCrash({ target, sentMs: nowMs - sentAgeMs, atMs: nowMs - ageMs, content, segments }, source, nowMs)
    }
  }

  private readonly lastAnswerMs = (trait: string): number => this.answers.get(trait)?.atMs ?? -Infinity

  private refuse (refused: RefusedTrait, isSegment: boolean, nowMs: number): void {
    const { trait } = refused
    const isNew = !this.refusals.has(trait)
    setBounded(this.refusals, trait, { ...refused, changedMs: nowMs, trialEndMs: -Infinity }, MAX_REFUSED)
    // Other requests have the other segments as well; what this one explains is no evidence against them.
    if (isSegment) this.crashes.removeWith(trait)
    if (isNew) this.onChange(refused, true)
  }

  private end (trait: string): void {
    const refusal = this.refusals.get(trait)
    if (refusal === undefined) return
    this.refusals.delete(trait)
    this.onChange(refusal, false)
  }

  /** Adopts the refusal of a peer unless an answer refutes it or it is known. */
  private adopt (refused: RefusedTrait, nowMs: number): void {
    const { trait, lastCrashMs, refusals } = refused
    const own = this.refusals.get(trait)
    const isKnown = own !== undefined && (own.refusals > refusals || (own.refusals === refusals && own.lastCrashMs + AGE_TOLERANCE_MS >= lastCrashMs))
    if (!isKnown && !isUnsettled(refused, nowMs) && this.lastAnswerMs(trait) < lastCrashMs) this.refuse(refused, true, nowMs)
  }

  /** Records a crash of a refused trait; returns whether there is one. */
  private recordAgain (crash: crash.Crash, nowMs: number): boolean {
    const refusal = traitsOf(crash).map((trait) => this.currentRefusal(trait, nowMs)).find((found) => found !== undefined)
    if (refusal === undefined) return false
    const { trait, lastCrashMs, refusals } = refusal
    if (crash.atMs <= lastCrashMs + AGE_TOLERANCE_MS) return true
    const wasOnTrial = crash.sentMs > lastCrashMs + durationMs(refusal)
    this.refuse({ trait, lastCrashMs: crash.atMs, refusals: refusals + (wasOnTrial ? 1 : 0) }, trait !== crash.content, nowMs)
    return true
  }

  private answer (trait: string, begunMs: number, source: crash.Source, nowMs: number): void {
    if (begunMs <= this.lastAnswerMs(trait)) return
    const refusal = this.refusals.get(trait)
    const refutesRefusal = refusal !== undefined && refusal.lastCrashMs < begunMs
    const refutes = this.crashes.clearBefore(trait, begunMs) || refutesRefusal
    const previous = this.answers.get(trait)
    setBounded(this.answers, trait, { atMs: begunMs, refutedMs: refutes ? nowMs : previous?.refutedMs, source: refutes ? source : previous?.source ?? source }, MAX_ANSWERED)
    if (refutesRefusal) this.end(trait)
  }

  /** Returns the refusal of a trait unless it has ended unsettled. */
  private currentRefusal (trait: string, nowMs: number): Refusal | undefined {
    const refusal = this.refusals.get(trait)
    if (refusal === undefined || !isUnsettled(refusal, nowMs)) return refusal
    this.end(trait)
    return undefined
  }
}
