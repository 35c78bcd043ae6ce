/**
 * Counters, gauges and latency histograms, served as text.
 *
 * @module
 */

/** Upper bounds of the histograms' buckets, ms. */
const BUCKETS_MS = [5, 10, 25, 50, 100, 200, 400, 600, 800, 1_200, 2_000, 4_000, 8_000, 16_000] as const

/** Labels of a series. */
export type Labels = Readonly<Record<string, string>>

/** The metrics of one process. */
export interface Metrics {
  readonly count: (name: string, labels?: Labels, value?: number) => void
  readonly gauge: (name: string, value: number) => void
  readonly observe: (name: string, milliseconds: number, labels?: Labels) => void
  /** Returns all series in the text exposition format. */
  readonly text: () => string
}

interface Histogram {
  readonly name: string
  readonly labels: Labels
  readonly counts: readonly number[]
  readonly sum: number
}

function seriesOf (name: string, labels: Labels, extra = ''): string {
  const pairs = [...Object.entries(labels).map(([key, value]) => `${key}="${value.replace(/["\\\n]/g, '_')}"`), ...(extra === '' ? [] : [extra])]
  return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`
}

/**
 * Creates an empty set of metrics.
 *
 * @example
 * ```ts
 * const metrics = createMetrics()
 * metrics.count('requests_total', { outcome: 'answered' })
 * ```
 */
export function createMetrics (): Metrics {
  const counters = new Map<string, number>()
  const gauges = new Map<string, number>()
  const histograms = new Map<string, Histogram>()

  function observe (name: string, milliseconds: number, labels: Labels = {}): void {
    const series = seriesOf(name, labels)
    const existing = histograms.get(series) ?? { name, labels, counts: BUCKETS_MS.map(() => 0).concat(0), sum: 0 }
    const bucket = BUCKETS_MS.findIndex((bound) => milliseconds <= bound)
    const index = bucket < 0 ? BUCKETS_MS.length : bucket
    histograms.set(series, { ...existing, counts: existing.counts.with(index, (existing.counts[index] ?? 0) + 1), sum: existing.sum + milliseconds })
  }

  function * histogramLines (): Generator<string, void> {
    for (const { name, labels, counts, sum } of histograms.values()) {
      let total = 0
      for (const [index, count] of counts.entries()) {
        total += count
        yield `${seriesOf(`${name}_bucket`, labels, `le="${BUCKETS_MS[index] ?? '+Inf'}"`)} ${total}`
      }
      yield `${seriesOf(`${name}_sum`, labels)} ${Math.round(sum)}`
      yield `${seriesOf(`${name}_count`, labels)} ${total}`
    }
  }

  return {
    count: (name, labels = {}, value = 1) => {
      const series = seriesOf(name, labels)
      counters.set(series, (counters.get(series) ?? 0) + value)
    },
    gauge: (name, value) => { gauges.set(name, value) },
    observe,
    text: () => [...[...counters, ...gauges].map(([series, value]) => `${series} ${value}`), ...histogramLines()].join('\n') + '\n'
  }
}
