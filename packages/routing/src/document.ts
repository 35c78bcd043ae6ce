/**
 * The routing document: everything that operators decide about routes, services and organisations.
 *
 * @module
 */

/** What may be repeated: an idempotent request, or a stream that its route lets resume. */
export type RequestKind = 'idempotent' | 'non-idempotent' | 'stream'

/** A service's share of a route's requests. */
export interface Share {
  readonly service: string
  readonly weight: number
}

/** Where requests of one host and path prefix go, and how they are treated. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly prefix: string
  readonly kind: RequestKind
  /** Whether a broken stream may go on at another target. */
  readonly resumable: boolean
  /** Longest time for which the caller is kept waiting for its whole answer. */
  readonly timeoutMs: number
  /** Time within which the answer, or a stream's first event, is useful in full. */
  readonly targetLatencyMs: number
  /** Most targets that one request may be sent to. */
  readonly attempts: number
  /** 0 is the most urgent. */
  readonly priority: number
  readonly shares: readonly Share[]
  /** Whether requests need no key. */
  readonly anonymous: boolean
}

/** What is known of a service's model engines. */
export interface Engine {
  /** Requests that an engine runs at once. */
  readonly slots: number
  readonly memoryTokens: number
  /** Generated tokens in one event of a stream. */
  readonly tokensPerEvent: number
}

/** A set of targets that answer the same requests. */
export interface Service {
  readonly name: string
  /** Most connections that one target takes from all callers. */
  readonly connections: number
  /** Undefined for plain services. */
  readonly engine: Engine | undefined
}

/** Tokens that an organisation may use over all daemons. */
export interface Cap {
  readonly tokensPerS: number
  readonly burst: number
}

/** Whoever holds keys and a cap. */
export interface Organisation {
  readonly name: string
  readonly keys: readonly string[]
  /** Goes before the route's priority. */
  readonly priority: number | undefined
  readonly cap: Cap | undefined
  /** Tokens that a request counts for when it does not say how many it needs. */
  readonly plainTokens: number
}

/** Bounds on what a caller may send. */
export interface Limits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** One version of the operators' wishes, whole. Versions only rise. */
export interface RoutingDocument {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  readonly organisations: readonly Organisation[]
  readonly limits: Limits
}
