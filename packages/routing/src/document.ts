/**
 * The routing document: what operators configure for routes, services and organisations.
 *
 * @module
 */

/** Kind of a request. An idempotent request may be retried, and so may a stream whose route is resumable. */
export type RequestKind = 'idempotent' | 'non-idempotent' | 'stream'

/** The weight of a service in a route's traffic split. */
export interface Share {
  readonly service: string
  readonly weight: number
}

/** The destination and the limits of requests with a host and a path prefix. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Starts and ends with a slash. */
  readonly prefix: string
  readonly kind: RequestKind
  /** Whether a broken stream may be resumed at another target. */
  readonly resumable: boolean
  /** Maximum time from the arrival of a request to its complete response. */
  readonly timeoutMs: number
  /** Latency target for the response, or for a stream's first event. */
  readonly targetLatencyMs: number
  /** Maximum number of targets that one request may be sent to. */
  readonly attempts: number
  /** 0 is the most urgent. */
  readonly priority: number
  readonly shares: readonly Share[]
  /** Whether requests are accepted without a key. */
  readonly anonymous: boolean
}

/** Properties of a service's model engines. */
export interface Engine {
  /** Number of requests that an engine runs concurrently. */
  readonly slots: number
  readonly memoryTokens: number
  /** Generated tokens in one event of a stream. */
  readonly tokensPerEvent: number
}

/** A set of interchangeable targets. */
export interface Service {
  readonly name: string
  /** Maximum number of connections that one target accepts from all callers. */
  readonly connections: number
  /** Undefined for plain services. */
  readonly engine: Engine | undefined
  /**
   * `adaptive`: requests of engines are placed and refused by the work ahead, and the concurrency limits of plain targets
   * are learned. Undefined is `basic`.
   */
  readonly scheduling?: 'adaptive' | 'basic' | undefined
}

/** Rate limit of an organisation over all daemons. */
export interface Cap {
  readonly tokensPerS: number
  readonly burst: number
}

/** An organisation with its keys and its cap. */
export interface Organisation {
  readonly name: string
  readonly keys: readonly string[]
  /** Takes precedence over the route's priority. */
  readonly priority: number | undefined
  readonly cap: Cap | undefined
  /** Weight when capacity is shared between organisations, from 0.01 to 100; undefined is 1. */
  readonly weight?: number | undefined
  /** Tokens charged for a request that states no token counts. */
  readonly plainTokens: number
}

/** Limits on the requests and connections of callers. */
export interface Limits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** One complete version of the operators' configuration. Versions only increase. */
export interface RoutingDocument {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  readonly organisations: readonly Organisation[]
  readonly limits: Limits
}
