import type * as routing from '@persimmonhatch/routing'

export const ENGINE: routing.document.Service = { name: 'support', connections: 370, engine: { slots: 12, memoryTokens: 790_000, tokensPerEvent: 6 } }
export const PLAIN: routing.document.Service = { name: 'stock', connections: 110, engine: undefined }

export const ROUTE: routing.document.Route = {
  name: 'questions',
  host: 'shop.example',
  prefix: '/questions/',
  kind: 'stream',
  resumable: false,
  timeoutMs: 12_000,
  targetLatencyMs: 800,
  attempts: 1,
  priority: 1,
  shares: [{ service: 'support', weight: 1 }],
  anonymous: false
}

export const ORGANISATION: routing.document.Organisation = { name: 'maarif', keys: ['k-1'], priority: undefined, cap: { tokensPerS: 1_000, burst: 1_000 }, plainTokens: 200 }

export const DOCUMENT: routing.document.RoutingDocument = {
  version: 7,
  routes: [ROUTE],
  services: [ENGINE, PLAIN],
  organisations: [ORGANISATION],
  limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }
}

export function targetOf (id: string, service: string, slots: number): routing.targetRegistry.Target {
  return { id, service, address: `10.0.0.1:${8_000 + Number(id.replace(/\D/g, ''))}`, availabilityZone: 'casa-a', version: 'v1', slots, leaving: false }
}

export function requestOf (id: number, changes: Partial<routing.poolEvent.PlacementRequest> = {}): routing.poolEvent.PlacementRequest {
  return {
    id,
    priority: 0,
    arrivedMs: 0,
    organisation: '',
    organisationWeight: 1,
    targetLatencyMs: 600,
    limitMs: (changes.arrivedMs ?? 0) + 15_000,
    resubmitted: false,
    promptTokens: 1_000,
    outputTokens: 200,
    promptSegments: [],
    version: undefined,
    excludedTargets: new Set(),
    isRetry: false,
    ...changes
  }
}
