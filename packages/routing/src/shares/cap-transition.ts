/**
 * Keeps the caps that a document has replaced by lower ones, for the time in which callers may still rely on them.
 *
 * A lower cap binds only some time after the store has confirmed it, and requests that the former cap allows are served
 * until then. A daemon knows of the confirmation only by the moment at which it adopts the document, so daemons report
 * how much longer they apply a former cap, and all of them use the shortest time that they have heard.
 *
 * @module
 */
import type * as document from '../document.js'

/** Stands for no cap; finite, so that levels and reports need no special case. */
export const UNCAPPED: document.Cap = { tokensPerS: 2 ** 40, burst: 2 ** 40 }

/** Time for which an expired former cap is remembered, so that a delayed report does not apply it again, ms. */
const EXPIRED_RETENTION_MS = 60_000

/** Maximum number of former caps in a report. */
const MAX_REPORTED = 32

/** A cap that still applies, as daemons report it, and the version of the document that has replaced it. */
export type FormerCapRow = readonly [organisation: string, version: number, tokensPerS: number, burst: number, remainingMs: number]

interface FormerCap {
  readonly organisation: string
  /** Version of the document that has replaced the cap. */
  readonly version: number
  readonly cap: document.Cap
  readonly untilMs: number
}

/** The replaced caps of all organisations. */
export interface CapTransitions {
  /** Keeps a cap that a document has replaced until a time; if this is already known, the earlier of both times counts. */
  readonly keep: (former: FormerCap) => void
  /** Returns the cap that applies: in rate and in burst the highest of the document's cap and of the replaced ones that still apply. */
  readonly capInForce: (organisation: string, cap: document.Cap, nowMs: number) => document.Cap
  /** Returns the time until the document's cap applies alone, ms; 0 if it does. */
  readonly remainingMs: (organisation: string, nowMs: number) => number
  /** Returns the replaced caps that still apply, for peers. */
  readonly report: (nowMs: number) => readonly FormerCapRow[]
  /** Applies a peer's report; times above the maximum count as the maximum. */
  readonly learn: (rows: readonly FormerCapRow[], maxRemainingMs: number, nowMs: number) => void
}

/** Returns whether a cap is lower than another in its rate or its burst. */
export function isLower (next: document.Cap, former: document.Cap): boolean {
  return next.tokensPerS < former.tokensPerS || next.burst < former.burst
}

/**
 * Creates the state in which no cap has been replaced.
 *
 * @example
 * ```ts
 * transitions.keep({ organisation: 'maarif', version: 7, cap: formerCap, untilMs: nowMs + 11_000 })
 * transitions.capInForce('maarif', lowerCap, nowMs) // formerCap
 * ```
 */
export function createCapTransitions (): CapTransitions {
  const formerCaps = new Map<string, FormerCap>()

  function keep (former: FormerCap): void {
    const key = `${former.version}\n${former.organisation}`
    const known = formerCaps.get(key)
    formerCaps.set(key, { ...known ?? former, untilMs: Math.min(former.untilMs, known?.untilMs ?? Infinity) })
  }

  function inForce (organisation: string, nowMs: number): readonly FormerCap[] {
    return [...formerCaps.values()].filter((former) => former.organisation === organisation && former.untilMs > nowMs)
  }

  function capInForce (organisation: string, cap: document.Cap, nowMs: number): document.Cap {
    if (formerCaps.size === 0) return cap
    const caps = [cap, ...inForce(organisation, nowMs).map((former) => former.cap)]
    return { tokensPerS: Math.max(...caps.map(({ tokensPerS }) => tokensPerS)), burst: Math.max(...caps.map(({ burst }) => burst)) }
  }

  function report (nowMs: number): readonly FormerCapRow[] {
    for (const [key, { untilMs }] of formerCaps) if (nowMs - untilMs > EXPIRED_RETENTION_MS) formerCaps.delete(key)
    return [...formerCaps.values()]
      .filter(({ untilMs }) => untilMs > nowMs)
      .slice(-MAX_REPORTED)
      .map(({ organisation, version, cap, untilMs }) => [organisation, version, cap.tokensPerS, cap.burst, Math.round(untilMs - nowMs)])
  }

  return {
    keep,
    capInForce,
    remainingMs: (organisation, nowMs) => Math.max(0, ...inForce(organisation, nowMs).map(({ untilMs }) => untilMs - nowMs)),
    report,
    learn: (rows, maxRemainingMs, nowMs) => {
      for (const [organisation, version, tokensPerS, burst, remainingMs] of rows.slice(0, MAX_REPORTED)) {
        keep({ organisation, version, cap: { tokensPerS, burst }, untilMs: nowMs + Math.min(remainingMs, maxRemainingMs) })
      }
    }
  }
}
