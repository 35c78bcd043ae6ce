/**
 * Enforces the token caps of organisations over all daemons.
 *
 * One organisation may send many times its usual load to any set of daemons. Every daemon keeps a token
 * bucket for each organisation and deducts the tokens that it admits and those that its peers report. The
 * share of the rate that belongs to unresponsive peers is reserved for them, so that the sum over all daemons
 * stays within the cap even if all of them are isolated. In fleets of several cells each cell paces what it admits, and
 * a cap that a document lowers binds only after a time.
 *
 * @module
 */
import * as capTransition from './cap-transition.js'
import * as cellPace from './cell-pace.js'
import type * as document from '../document.js'

const MS_PER_S = 1_000

/** Share of the burst that a process starts with, because it has no record of earlier use. */
const INITIAL_LEVEL_SHARE = 0.5

/** Share of the daemons that must have been reachable once for a daemon to use all that is left of a cap. */
const MIN_REACHABLE_SHARE = 0.5

/** Default of the time until a lower cap binds, ms: the platform's time to apply a document and its window. */
export const DEFAULT_LOWERING_MS = 11_000

/** Time without a refusal by the pace after which an organisation no longer counts as paced, ms. */
const UNPACED_MS = 10_000

/** Tolerances of the caps. */
export interface Options {
  /** Tokens above the configured burst that operators tolerate because reports between daemons lag. */
  readonly toleratedTokens: number
  /** Time from the adoption of a document with a lower cap until that cap binds, ms; requests that the former cap allows are served until then. */
  readonly loweringMs?: number | undefined
}

/** A change of state of an organisation's cap, for logs and counters. */
export interface Change {
  readonly kind: 'lowered' | 'binding' | 'paced' | 'unpaced'
  readonly organisation: string
  readonly cap: document.Cap
  /** The cap that applies until the lower one binds. */
  readonly former?: document.Cap
  readonly remainingMs?: number
}

/** Who has used the tokens in a report: a daemon of the own cell, or another cell. */
export type Source = 'cell' | 'fleet'

/** The figures behind a refusal, for logs. */
export interface Figures {
  readonly organisation: string
  readonly tokens: number
  /** Tokens left in the bucket. */
  readonly levelTokens: number
  readonly capTokensPerS: number
  /** Share of the daemons that are reachable; the rest of the rate is reserved for the others. */
  readonly heardShare: number
}

/** Result of checking a request against its organisation's cap. */
export type Admission = { readonly kind: 'admitted' } | { readonly kind: 'over-cap', readonly retryAfterMs: number, readonly figures: Figures }

/** The caps of all organisations. */
export interface TokenCaps {
  /** Applies new tolerances and keeps the levels of the buckets. */
  readonly configure: (options: Options) => void
  /** Applies the caps of a document and keeps the levels of organisations that remain. */
  readonly adopt: (organisations: readonly document.Organisation[], nowMs: number, version?: number) => void
  readonly admit: (organisation: string, tokens: number, nowMs: number) => Admission
  /** Refunds tokens that an admitted request did not use. */
  readonly refund: (organisation: string, tokens: number, nowMs: number) => void
  /** Deducts tokens that a peer reports as admitted; refunds them if the number is negative. */
  readonly applyReported: (organisation: string, tokens: number, nowMs: number, source?: Source) => void
  /** Counts tokens that a peer reports as refused because of the cap, by which demand is known. */
  readonly applyReportedRefusals: (organisation: string, tokens: number, nowMs: number, source: Source) => void
  /** Applies the former caps that a peer still applies. */
  readonly applyFormerCaps: (rows: readonly capTransition.FormerCapRow[], nowMs: number) => void
  /** Returns the former caps that still apply here, for peers. */
  readonly formerCaps: (nowMs: number) => readonly capTransition.FormerCapRow[]
  /** Sets how many of the daemons are reachable, this one included. */
  readonly setReach: (reach: Reach) => void
  /** Returns the tokens admitted here since the start minus refunds, by organisation. */
  readonly used: () => ReadonlyMap<string, number>
  /** Returns the tokens refused here since the start because of the caps, by organisation; empty in a fleet of one cell. */
  readonly refused: () => ReadonlyMap<string, number>
  /** Reports the changes of state that are due to the passing of time; called several times a second. */
  readonly tick: (nowMs: number) => void
  /** Returns the levels of the buckets, by organisation. */
  readonly levels: (nowMs: number) => Readonly<Record<string, number>>
  /** Applies what the fleet had left before this process started. */
  readonly restore: (stored: StoredLevels, nowMs: number) => void
}

/** Number of daemons that are reachable, and of all that are known, this one included in both. */
export interface Reach {
  readonly live: number
  readonly members: number
  /** Number of cells, and the interval of the reports between them, ms; undefined for a single cell. */
  readonly cells?: { readonly count: number, readonly intervalMs: number } | undefined
}

/** What the fleet had left of its caps, as one daemon has stored it. */
export interface StoredLevels {
  /** Tokens, by organisation. */
  readonly levels: Readonly<Record<string, number>>
  /** Time since then in which the buckets have refilled, ms. */
  readonly ageMs: number
}

interface StoredLevel {
  readonly level: number
  readonly storedAtMs: number
}

interface Bucket {
  readonly cap: document.Cap
  readonly level: number
  /** Level at the start of the process. */
  readonly startLevel: number
  readonly refilledAtMs: number
  readonly pace: cellPace.Pace
  readonly pacedAtMs: number | undefined
}

/** Returns the bucket with the share of its rate that has been added since. */
function refill (bucket: Bucket, { capacity, tokensPerS }: { readonly capacity: number, readonly tokensPerS: number }, nowMs: number): Bucket {
  const { level, refilledAtMs } = bucket
  const refilledTokens = Math.max(0, nowMs - refilledAtMs) * tokensPerS / MS_PER_S
  return { ...bucket, level: Math.min(capacity, level + refilledTokens), refilledAtMs: nowMs }
}

/** Returns the lowest level among those stored, with what has been added since; undefined if none is stored. */
function levelOf (stored: readonly StoredLevel[], { tokensPerS }: document.Cap, nowMs: number): number | undefined {
  return stored.length === 0 ? undefined : Math.min(...stored.map(({ level, storedAtMs }) => level + Math.max(0, nowMs - storedAtMs) * tokensPerS / MS_PER_S))
}

class Caps implements TokenCaps {
  private readonly transitions = capTransition.createCapTransitions()
  /** Caps of all organisations of the document in force. */
  private documentCaps: ReadonlyMap<string, document.Cap> = new Map()
  /** Organisations whose lower cap does not bind yet. */
  private readonly lowered = new Set<string>()
  private readonly buckets = new Map<string, Bucket>()
  private readonly usedTokens = new Map<string, number>()
  private readonly refusedTokens = new Map<string, number>()
  /** What the fleet had left before this process started, by organisation. */
  private readonly stored = new Map<string, readonly StoredLevel[]>()
  private reachableShare = 1
  /** Whether most of the fleet has not been reachable since the start, so that nothing is known of what it uses. */
  private isStarting = true
  private cells: Reach['cells']

  constructor (private options: Options, private readonly onChange: (change: Change) => void) {}

  configure (options: Options): void {
    this.options = options
  }

  refund (organisation: string, tokens: number, nowMs: number): void {
    this.consume(organisation, -tokens, nowMs)
  }

  applyReported (organisation: string, tokens: number, nowMs: number, source?: Source): void {
    this.deduct(organisation, tokens, nowMs, source)
  }

  applyReportedRefusals (organisation: string, tokens: number, nowMs: number, source: Source): void {
    this.countRefused(organisation, tokens, nowMs, source)
  }

  applyFormerCaps (rows: readonly capTransition.FormerCapRow[], nowMs: number): void {
    this.transitions.learn(rows, this.loweringMs(), nowMs)
  }

  formerCaps (nowMs: number): readonly capTransition.FormerCapRow[] {
    return this.transitions.report(nowMs)
  }

  used (): ReadonlyMap<string, number> {
    return this.usedTokens
  }

  refused (): ReadonlyMap<string, number> {
    return this.refusedTokens
  }

  private capacityOf (cap: document.Cap): number {
    return cap.burst + this.options.toleratedTokens
  }

  private loweringMs (): number {
    return this.options.loweringMs ?? DEFAULT_LOWERING_MS
  }

  private paceConditions (name: string, bucket: Bucket, nowMs: number): cellPace.Conditions {
    const { tokensPerS } = this.transitions.capInForce(name, bucket.cap, nowMs)
    return { tokensPerS: tokensPerS * this.reachableShare, levelTokens: bucket.level - this.reservedTokens(bucket), cells: this.cells?.count ?? 1, intervalMs: this.cells?.intervalMs ?? 0 }
  }

  private refilled (name: string, bucket: Bucket, nowMs: number): Bucket {
    const cap = this.transitions.capInForce(name, bucket.cap, nowMs)
    const next = refill(bucket, { capacity: this.capacityOf(cap), tokensPerS: cap.tokensPerS * this.reachableShare }, nowMs)
    return { ...next, pace: cellPace.advance(next.pace, this.paceConditions(name, next, nowMs), nowMs) }
  }

  private startLevel (name: string, cap: document.Cap, nowMs: number): number {
    const level = levelOf(this.stored.get(name) ?? [], cap, nowMs) ?? cap.burst * INITIAL_LEVEL_SHARE + this.options.toleratedTokens / 2
    return Math.min(this.capacityOf(cap), level)
  }

  /** Keeps the former cap of an organisation whose cap is lowered. */
  private lower ({ organisation, version, cap }: { readonly organisation: string, readonly version: number, readonly cap: document.Cap }, nowMs: number): void {
    const former = this.documentCaps.get(organisation)
    if (former === undefined || !capTransition.isLower(cap, former)) return
    this.transitions.keep({ organisation, version, cap: former, untilMs: nowMs + this.loweringMs() })
    this.lowered.add(organisation)
    this.onChange({ kind: 'lowered', organisation, cap, former, remainingMs: Math.round(this.transitions.remainingMs(organisation, nowMs)) })
  }

  adopt (organisations: readonly document.Organisation[], nowMs: number, version = 0): void {
    const capped = new Map(organisations.flatMap((organisation) => organisation.cap === undefined ? [] : [[organisation.name, organisation.cap] as const]))
    for (const name of [...this.buckets.keys()]) if (!capped.has(name)) this.buckets.delete(name)
    for (const [name, cap] of capped) {
      const known = this.buckets.get(name)
      // The bucket is brought up to date with the former cap before the new one counts.
      const before = known === undefined ? undefined : this.refilled(name, known, nowMs)
      this.lower({ organisation: name, version, cap }, nowMs)
      const capInForce = this.transitions.capInForce(name, cap, nowMs)
      const level = before === undefined ? this.startLevel(name, capInForce, nowMs) : Math.min(before.level, this.capacityOf(capInForce))
      const started = { cap, level, startLevel: before?.startLevel ?? level, refilledAtMs: nowMs, pace: before?.pace ?? cellPace.startPace(0, nowMs), pacedAtMs: before?.pacedAtMs }
      this.buckets.set(name, before === undefined ? { ...started, pace: cellPace.startPace(Math.max(0, level) / (this.cells?.count ?? 1), nowMs) } : started)
    }
    this.documentCaps = new Map(organisations.map(({ name, cap }) => [name, cap ?? capTransition.UNCAPPED]))
  }

  /** Deducts tokens from a bucket, whose level may become negative, and counts them as demand. */
  private deduct (organisation: string, tokens: number, nowMs: number, source: Source = 'cell'): void {
    const bucket = this.buckets.get(organisation)
    if (bucket === undefined) return
    const { pace, ...current } = this.refilled(organisation, bucket, nowMs)
    const capacity = this.capacityOf(this.transitions.capInForce(organisation, bucket.cap, nowMs))
    this.buckets.set(organisation, { ...current, level: Math.min(capacity, current.level - tokens), pace: { ...this.withDemand(pace, tokens, source), level: source === 'cell' ? pace.level - tokens : pace.level } })
  }

  private withDemand (pace: cellPace.Pace, tokens: number, source: Source): cellPace.Pace {
    return source === 'cell' ? { ...pace, cellDemand: Math.max(0, pace.cellDemand + tokens) } : { ...pace, fleetDemand: Math.max(0, pace.fleetDemand + tokens) }
  }

  /** Counts tokens that were asked for and refused. */
  private countRefused (organisation: string, tokens: number, nowMs: number, source: Source): void {
    const bucket = this.buckets.get(organisation)
    if (bucket === undefined) return
    const current = this.refilled(organisation, bucket, nowMs)
    this.buckets.set(organisation, { ...current, pace: this.withDemand(current.pace, tokens, source) })
  }

  /** Deducts tokens and adds them to the totals that are reported to peers. */
  private consume (organisation: string, tokens: number, nowMs: number): void {
    this.deduct(organisation, tokens, nowMs)
    this.usedTokens.set(organisation, (this.usedTokens.get(organisation) ?? 0) + tokens)
  }

  /** Returns the tokens that are not usable: after the start, the peers that are not reachable yet use their own shares of what there was. */
  private reservedTokens (bucket: Bucket): number {
    return this.isStarting ? Math.max(0, bucket.startLevel) * (1 - this.reachableShare) : 0
  }

  /** Admits a request while the cell has tokens left, however few: if large requests had to wait until they fit, small ones would always take the tokens first. */
  private admitAtPace (organisation: string, tokens: number, bucket: Bucket, nowMs: number): Admission {
    const current = this.refilled(organisation, bucket, nowMs)
    const cap = this.transitions.capInForce(organisation, bucket.cap, nowMs)
    if (current.pace.level > 0 && tokens <= this.capacityOf(cap)) {
      this.consume(organisation, tokens, nowMs)
      return { kind: 'admitted' }
    }
    this.refusedTokens.set(organisation, (this.refusedTokens.get(organisation) ?? 0) + tokens)
    if (current.pacedAtMs === undefined) this.onChange({ kind: 'paced', organisation, cap })
    this.buckets.set(organisation, { ...current, pacedAtMs: nowMs })
    this.countRefused(organisation, tokens, nowMs, 'cell')
    return {
      kind: 'over-cap',
      retryAfterMs: (tokens - current.pace.level) / Math.max(1, cellPace.rateOf(current.pace, this.paceConditions(organisation, current, nowMs))) * MS_PER_S,
      figures: { organisation, tokens, levelTokens: Math.round(current.pace.level), capTokensPerS: cap.tokensPerS, heardShare: this.reachableShare }
    }
  }

  admit (organisation: string, tokens: number, nowMs: number): Admission {
    const bucket = this.buckets.get(organisation)
    if (bucket !== undefined && this.cells !== undefined) return this.admitAtPace(organisation, tokens, bucket, nowMs)
    const levelTokens = bucket === undefined ? Infinity : this.refilled(organisation, bucket, nowMs).level - this.reservedTokens(bucket)
    if (bucket !== undefined && tokens > levelTokens) {
      const { tokensPerS } = this.transitions.capInForce(organisation, bucket.cap, nowMs)
      return {
        kind: 'over-cap',
        retryAfterMs: (tokens - levelTokens) / Math.max(1, tokensPerS * this.reachableShare) * MS_PER_S,
        figures: { organisation, tokens, levelTokens: Math.round(levelTokens), capTokensPerS: tokensPerS, heardShare: this.reachableShare }
      }
    }
    this.consume(organisation, tokens, nowMs)
    return { kind: 'admitted' }
  }

  setReach (reach: Reach): void {
    this.reachableShare = Math.min(1, Math.max(0, reach.live / reach.members))
    if (this.reachableShare > MIN_REACHABLE_SHARE) this.isStarting = false
    this.cells = reach.cells
  }

  tick (nowMs: number): void {
    for (const organisation of this.lowered) {
      if (this.transitions.remainingMs(organisation, nowMs) > 0) continue
      this.lowered.delete(organisation)
      const cap = this.buckets.get(organisation)?.cap
      if (cap !== undefined) this.onChange({ kind: 'binding', organisation, cap })
    }
    for (const [organisation, bucket] of this.buckets) {
      if (bucket.pacedAtMs === undefined || nowMs - bucket.pacedAtMs < UNPACED_MS) continue
      this.buckets.set(organisation, { ...bucket, pacedAtMs: undefined })
      this.onChange({ kind: 'unpaced', organisation, cap: bucket.cap })
    }
  }

  levels (nowMs: number): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.buckets].map(([name, bucket]) => [name, Math.round(this.refilled(name, bucket, nowMs).level)]))
  }

  restore ({ levels: storedLevels, ageMs }: StoredLevels, nowMs: number): void {
    for (const [name, level] of Object.entries(storedLevels)) {
      this.stored.set(name, [...this.stored.get(name) ?? [], { level, storedAtMs: nowMs - Math.max(0, ageMs) }])
      const bucket = this.buckets.get(name)
      if (bucket === undefined) continue
      const current = this.refilled(name, bucket, nowMs)
      const restoredLevel = this.startLevel(name, bucket.cap, nowMs)
      this.buckets.set(name, { ...current, level: current.level + restoredLevel - current.startLevel, startLevel: restoredLevel })
    }
  }
}

/**
 * Creates token caps without organisations.
 *
 * @example
 * ```ts
 * const caps = createTokenCaps({ toleratedTokens: 50_000 })
 * caps.adopt(document.organisations, nowMs)
 * if (caps.admit('maarif', 6_800, nowMs).kind === 'admitted') dispatch()
 * ```
 */
export function createTokenCaps (initial: Options, onChange: (change: Change) => void = () => {}): TokenCaps {
  return new Caps(initial, onChange)
}
