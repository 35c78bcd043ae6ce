/**
 * Measures what one request experiences at one target, for the comparison of versions.
 *
 * @module
 */
import type * as rollout from '@persimmonhatch/rollout'
import type * as routing from '@persimmonhatch/routing'
import type * as servicePools from './service-pools.js'

/** Minimum number of events from which the interval between them is a sample. */
const MIN_EVENTS = 4

/**
 * The measures of one dispatch.
 *
 * @example
 * ```ts
 * const measures = new AttemptMeasures(route)
 * measures.begin(nowMs)
 * measures.recordEvent(nowMs)
 * for (const sample of measures.end({ kind: 'ended', outcome: 'answered' }, limitMs, nowMs)) record(sample)
 * ```
 */
export class AttemptMeasures {
  private sentMs: number | undefined
  private firstEventMs = 0
  private lastEventMs = 0
  private events = 0

  constructor (private readonly route: Pick<routing.document.Route, 'name' | 'kind'>) {}

  /** Begins when a request has been sent to a target. */
  begin (nowMs: number): void {
    this.sentMs = nowMs
    this.events = 0
  }

  /** Records the arrival of a part of the response. */
  recordEvent (nowMs: number): void {
    if (this.events === 0) this.firstEventMs = nowMs
    this.lastEventMs = nowMs
    this.events += 1
  }

  /** Returns the samples of a dispatch that has ended; none if nothing was sent, or its end says nothing about the target. */
  end (event: servicePools.PlacementEvent, limitMs: number, nowMs: number): readonly rollout.outcomes.Sample[] {
    const { sentMs } = this
    this.sentMs = undefined
    if (sentMs === undefined) return []
    const kind = `${this.route.name} ${this.route.kind}`
    const isStream = this.route.kind === 'stream'
    const answeredMs = (isStream && this.events > 0 ? this.firstEventMs : nowMs) - sentMs
    if (event.kind === 'left') return [{ kind, elapsedMs: nowMs >= limitMs ? undefined : answeredMs }]
    if (event.kind !== 'ended') return []
    if (event.outcome === 'failed') return [{ kind, elapsedMs: undefined }]
    if (event.outcome !== 'answered') return []
    const intervalMs = (this.lastEventMs - this.firstEventMs) / (this.events - 1)
    const intervals = isStream && this.events >= MIN_EVENTS ? [{ kind: `${kind} interval`, elapsedMs: intervalMs }] : []
    return [{ kind, elapsedMs: answeredMs }, ...intervals]
  }
}
