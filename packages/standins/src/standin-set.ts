/**
 * A set of stand-ins in one process, as a file describes it.
 *
 * @module
 */
import * as jsoncParser from 'jsonc-parser'
import * as neverthrow from 'neverthrow'
import * as zod from 'zod'
import * as keyValueService from './key-value-service.js'
import * as modelEngine from './model-engine.js'
import * as plainService from './plain-service.js'
import * as vmListService from './vm-list-service.js'

const NAME = { name: zod.string().min(1), port: zod.number().int().optional() }
const NUMBER = zod.number().min(0).optional()

const KEY_VALUE = zod.strictObject({ kind: zod.literal('key-value-service'), ...NAME, writesPerS: NUMBER, readsPerS: NUMBER, retainedRevisions: NUMBER, seed: NUMBER })

const VM_LIST = zod.strictObject({
  kind: zod.literal('vm-list-service'),
  ...NAME,
  lagMs: NUMBER,
  vms: zod.array(zod.object({ name: zod.string(), address: zod.string(), state: zod.enum(['live', 'leaving']) })).optional()
})

const ENGINE = zod.strictObject({
  kind: zod.literal('model-engine'),
  ...NAME,
  prefillTokensPerS: NUMBER,
  decodeTokensPerS: NUMBER,
  maxDecodeTokensPerSequencePerS: NUMBER,
  maxBatch: NUMBER,
  cacheTokens: NUMBER,
  loadLagMs: NUMBER,
  statesLoadAge: zod.boolean().optional(),
  cacheEventLagMs: NUMBER,
  cacheEventLossRate: NUMBER,
  eventIntervalMs: NUMBER,
  crashMarker: zod.string().optional(),
  crashForMs: NUMBER,
  checksFencing: zod.boolean().optional(),
  kvBytesPerToken: NUMBER,
  seed: NUMBER
})

const PLAIN = zod.strictObject({ kind: zod.literal('plain-service'), ...NAME, serviceTimeMs: NUMBER, crashMarker: zod.string().optional(), crashForMs: NUMBER })

const SET = zod.strictObject({ standins: zod.array(zod.discriminatedUnion('kind', [KEY_VALUE, VM_LIST, ENGINE, PLAIN])) })

/** What the file describes. */
export type StandinSet = zod.infer<typeof SET>

type Description = StandinSet['standins'][number]

/** A running stand-in of a set. */
export interface RunningStandin {
  readonly name: string
  readonly kind: Description['kind']
  readonly address: string
  readonly controlAddress: string
  readonly close: () => Promise<void>
}

/** A file that describes no set; its message names the place. */
export class StandinSetError extends Error {
  constructor (detail: string) {
    super(`The file describes no set of stand-ins: ${detail}. Correct it as the package's README shows.`)
    this.name = 'StandinSetError'
  }
}

/**
 * Reads a set from JSON with comments.
 *
 * @example
 * ```ts
 * readStandinSet('{ "standins": [{ "kind": "plain-service", "name": "stock-1" }] }') // ok
 * ```
 */
export function readStandinSet (text: string): neverthrow.Result<StandinSet, StandinSetError> {
  const errors: jsoncParser.ParseError[] = []
  const json: unknown = jsoncParser.parse(text, errors, { allowTrailingComma: true })
  const [error] = errors
  if (error !== undefined) return neverthrow.err(new StandinSetError(`${jsoncParser.printParseErrorCode(error.error)} at offset ${error.offset}`))
  const parsed = SET.safeParse(json)
  return parsed.success ? neverthrow.ok(parsed.data) : neverthrow.err(new StandinSetError(zod.prettifyError(parsed.error)))
}

async function startOne (description: Description): Promise<RunningStandin> {
  const { name, kind } = description
  switch (description.kind) {
    case 'key-value-service': return { name, kind, ...await keyValueService.startKeyValueService(description) }
    case 'vm-list-service': return { name, kind, ...await vmListService.startVmListService(description) }
    case 'model-engine': return { name, kind, ...await modelEngine.startModelEngine(description) }
    case 'plain-service': return { name, kind, ...await plainService.startPlainService(description) }
  }
}

/**
 * Starts every stand-in of a set.
 *
 * @example
 * ```ts
 * const running = await startStandinSet({ standins: [{ kind: 'plain-service', name: 'stock-1' }] })
 * ```
 */
export async function startStandinSet (set: StandinSet): Promise<readonly RunningStandin[]> {
  return await Promise.all(set.standins.map(startOne))
}
