/**
 * Placement requests of tests.
 */
import type * as routing from '@persimmonhatch/routing'

/** Returns a placement request that waits for long. */
export function placementOptions (nowMs: number): routing.poolEvent.PlacementOptions {
  return {
    organisation: '',
    organisationWeight: 1,
    priority: 0,
    arrivedMs: nowMs,
    targetLatencyMs: 10_000,
    limitMs: nowMs + 10_000,
    resubmitted: false,
    promptTokens: 0,
    outputTokens: 0,
    promptSegments: [],
    version: undefined,
    excludedTargets: new Set(),
    isRetry: false
  }
}
