/**
 * Names and formats of the headers that the gateway exchanges with callers and targets. Names are lower case.
 *
 * @module
 */

/** Names of the headers. */
export interface HeaderNames {
  /** Identifies one attempt of a caller; targets echo it. */
  readonly requestId: string
  /** Time until the deadline of the caller, ms. */
  readonly remainingMs: string
  readonly lastEventId: string
  /** In a request that resumes a stream: the request id of the attempt that brought its first event. */
  readonly resumes: string
  /** The caller's key; never forwarded to targets. */
  readonly key: string
  /** The organisation that the key belongs to, sent to targets. */
  readonly organisation: string
  /** The only target that may run the request. */
  readonly expectedTarget: string
  /** Proof that a target produced the response. */
  readonly proof: string
  /** Present in a target's response if it has not run the request. */
  readonly notRun: string
  /** Load that a target reports: running, waiting, slots, and the work factor in hundredths. */
  readonly load: string
  /** Requests per second that a target in need accepts from all senders. */
  readonly requestLimit: string
  /** Present in the responses of targets that fall over when they have to reject many requests. */
  readonly brittle: string
  /** Has the value 1 in the responses of a target that leaves. */
  readonly leaving: string
  /** Prompt tokens and maximum output tokens. */
  readonly tokens: string
  /** The caller's estimate of the output tokens. */
  readonly lengthHint: string
  /** Prompt segments as `id:tokens`. */
  readonly promptParts: string
  /** Headers that are forwarded even if the `Connection` header of a caller or a target names them. */
  readonly endToEnd: ReadonlySet<string>
  /** Headers that callers must not set. */
  readonly reserved: ReadonlySet<string>
}

const MS_PER_S = 1_000

/** Prompt and output tokens of a request. */
export interface TokenUse {
  readonly prompt: number
  readonly output: number
}

/**
 * Parses prompt and output tokens; returns undefined if they are missing or malformed.
 *
 * @example
 * ```ts
 * parseTokens('1460,80') // { prompt: 1460, answer: 80 }
 * ```
 */
export function parseTokens (text: string | undefined): TokenUse | undefined {
  const match = /^(\d{1,9}),(\d{1,9})$/.exec(text ?? '')
  return match === null ? undefined : { prompt: Number(match[1]), output: Number(match[2]) }
}

/**
 * Parses the ids of the prompt segments, in order.
 *
 * @example
 * ```ts
 * parsePromptSegments('5c1e07a2:800,91bd3f06:410') // ['5c1e07a2', '91bd3f06']
 * ```
 */
export function parsePromptSegments (text: string | undefined): readonly string[] {
  if (text === undefined || text === '') return []
  return text.split(',').map((segment) => segment.slice(0, Math.max(0, segment.indexOf(':'))))
}

/** Load that a target reports. */
export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** How long work takes there now: 1 is as usual, 2 twice as long. Undefined if the target does not report it. */
  readonly workFactor: number | undefined
}

const HUNDREDTHS = 100

/** A factor beyond these bounds is an error of the target: work neither takes no time nor a hundred times as long. */
const MIN_WORK_FACTOR = 0.05
const MAX_WORK_FACTOR = 100

function toWorkFactor (hundredths: string | undefined): number | undefined {
  const factor = Number(hundredths ?? NaN) / HUNDREDTHS
  return factor >= MIN_WORK_FACTOR && factor <= MAX_WORK_FACTOR ? factor : undefined
}

/**
 * Parses a target's load, of three figures or more; returns undefined if it is missing or malformed. The fourth figure is
 * the work factor in hundredths, further ones are ignored.
 *
 * @example
 * ```ts
 * parseLoad('3,0,8') // { running: 3, waiting: 0, slots: 8, workFactor: undefined }
 * parseLoad('3,0,8,250') // { running: 3, waiting: 0, slots: 8, workFactor: 2.5 }
 * ```
 */
export function parseLoad (text: string | undefined): ReportedLoad | undefined {
  const match = /^(\d{1,6}),(\d{1,6}),(\d{1,6})(?:,(\d{1,6}))?(?:,\d{1,15})*$/.exec(text ?? '')
  return match === null ? undefined : { running: Number(match[1]), waiting: Number(match[2]), slots: Number(match[3]), workFactor: toWorkFactor(match[4]) }
}

/**
 * Parses the time in Retry-After, ms; returns undefined if it is not a number of seconds.
 *
 * @example
 * ```ts
 * parseRetryAfterMs('4.5') // 4500
 * ```
 */
export function parseRetryAfterMs (text: string): number | undefined {
  return /^\d{1,15}(\.\d{1,9})?$/.test(text) ? Number(text) * MS_PER_S : undefined
}

/**
 * Parses the id of an event; returns undefined if it is missing or no integer.
 *
 * @example
 * ```ts
 * parseEventId('12') // 12
 * ```
 */
export function parseEventId (text: string | undefined): number | undefined {
  return text !== undefined && /^\d{1,15}$/.test(text) ? Number(text) : undefined
}

/**
 * Parses a target's limit of requests per second; returns undefined if it is missing or malformed.
 *
 * @example
 * ```ts
 * parseRequestLimit('2.8') // 2.8
 * ```
 */
export function parseRequestLimit (text: string | undefined): number | undefined {
  return text !== undefined && /^\d{1,9}(\.\d{1,9})?$/.test(text) ? Number(text) : undefined
}
