/**
 * How callers and targets name what the gateway reads and writes. All names are lower case.
 *
 * @module
 */

/** Header names and their forms. */
export interface Dialect {
  /** Names one try of a caller; targets echo it. */
  readonly requestId: string
  /** Milliseconds that the caller still waits. */
  readonly remainingMs: string
  readonly lastEventId: string
  /** The caller's key; never handed to targets. */
  readonly key: string
  /** The organisation that holds the key, for targets. */
  readonly organisation: string
  /** The only target that may run the request. */
  readonly expectedTarget: string
  /** Proof that a target made the answer. */
  readonly proof: string
  /** Present on a target's answer when it has not run the request. */
  readonly notRun: string
  /** Load that a target tells: running, waiting, slots. */
  readonly load: string
  /** Prompt tokens and most answer tokens. */
  readonly tokens: string
  /** The caller's estimate of the answer's tokens. */
  readonly lengthHint: string
  /** Parts of the prompt as `id:tokens`. */
  readonly promptParts: string
  /** Headers that only the system may set. */
  readonly reserved: ReadonlySet<string>
}

/** Prompt and answer tokens of a request. */
export interface TokenUse {
  readonly prompt: number
  readonly answer: number
}

/**
 * Reads prompt and answer tokens; undefined when there are none or they can't be read.
 *
 * @example
 * ```ts
 * parseTokens('1460,80') // { prompt: 1460, answer: 80 }
 * ```
 */
export function parseTokens (text: string | undefined): TokenUse | undefined {
  const match = /^(\d{1,9}),(\d{1,9})$/.exec(text ?? '')
  return match === null ? undefined : { prompt: Number(match[1]), answer: Number(match[2]) }
}

/**
 * Reads the names of the prompt's parts, in order.
 *
 * @example
 * ```ts
 * parseParts('5c1e07a2:800,91bd3f06:410') // ['5c1e07a2', '91bd3f06']
 * ```
 */
export function parsePromptSegments (text: string | undefined): readonly string[] {
  if (text === undefined || text === '') return []
  return text.split(',').map((part) => part.slice(0, Math.max(0, part.indexOf(':'))))
}

/** Load that a target told. */
export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
}

/**
 * Reads a target's load; undefined when it can't be read.
 *
 * @example
 * ```ts
 * parseLoad('3,0,8') // { running: 3, waiting: 0, slots: 8 }
 * ```
 */
export function parseLoad (text: string | undefined): ReportedLoad | undefined {
  const match = /^(\d{1,6}),(\d{1,6}),(\d{1,6})$/.exec(text ?? '')
  return match === null ? undefined : { running: Number(match[1]), waiting: Number(match[2]), slots: Number(match[3]) }
}
