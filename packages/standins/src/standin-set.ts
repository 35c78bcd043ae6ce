/**
 * Runs a set of stand-ins, described by a file, in one process.
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

const COMMON_FIELDS = { name: zod.string().min(1), port: zod.number().int().optional() }
const NON_NEGATIVE = zod.number().min(0).optional()

const KEY_VALUE_SERVICE = zod.strictObject({ kind: zod.literal('key-value-service'), ...COMMON_FIELDS, writesPerS: NON_NEGATIVE, readsPerS: NON_NEGATIVE, retainedRevisions: NON_NEGATIVE, seed: NON_NEGATIVE })

const VM_LIST_SERVICE = zod.strictObject({
  kind: zod.literal('vm-list-service'),
  ...COMMON_FIELDS,
  lagMs: NON_NEGATIVE,
  vms: zod.array(zod.object({ name: zod.string(), address: zod.string(), state: zod.enum(['live', 'leaving']) })).optional()
})

const MODEL_ENGINE = zod.strictObject({
  kind: zod.literal('model-engine'),
  ...COMMON_FIELDS,
  prefillTokensPerS: NON_NEGATIVE,
  decodeTokensPerS: NON_NEGATIVE,
  maxDecodeTokensPerSequencePerS: NON_NEGATIVE,
  maxBatch: NON_NEGATIVE,
  cacheTokens: NON_NEGATIVE,
  loadLagMs: NON_NEGATIVE,
  statesLoadAge: zod.boolean().optional(),
  cacheEventLagMs: NON_NEGATIVE,
  cacheEventLossRate: NON_NEGATIVE,
  eventIntervalMs: NON_NEGATIVE,
  crashMarker: zod.string().optional(),
  crashForMs: NON_NEGATIVE,
  checksFencing: zod.boolean().optional(),
  kvBytesPerToken: NON_NEGATIVE,
  seed: NON_NEGATIVE
})

const PLAIN_SERVICE = zod.strictObject({ kind: zod.literal('plain-service'), ...COMMON_FIELDS, serviceTimeMs: NON_NEGATIVE, crashMarker: zod.string().optional(), crashForMs: NON_NEGATIVE })

const SET = zod.strictObject({ standins: zod.array(zod.discriminatedUnion('kind', [KEY_VALUE_SERVICE, VM_LIST_SERVICE, MODEL_ENGINE, PLAIN_SERVICE])) })

/** The content of the file. */
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

/** Thrown when a file is not a valid set; the message contains the position or field. */
export class StandinSetError extends Error {
  constructor (detail: string) {
    super(`The file is not a valid set of stand-ins: ${detail}. Correct it as shown in the README of the package.`)
    this.name = 'StandinSetError'
  }
}

/**
 * Parses a set from JSON with comments.
 *
 * @example
 * ```ts
 * parseStandinSet('{ "standins": [{ "kind": "plain-service", "name": "stock-1" }] }') // ok
 * ```
 */
export function parseStandinSet (text: string): neverthrow.Result<StandinSet, StandinSetError> {
  const errors: jsoncParser.ParseError[] = []
  const json: unknown = jsoncParser.parse(text, errors, { allowTrailingComma: true })
  const [error] = errors
  if (error !== undefined) return neverthrow.err(new StandinSetError(`${jsoncParser.printParseErrorCode(error.error)} at offset ${error.offset}`))
  const parsed = SET.safeParse(json)
  return parsed.success ? neverthrow.ok(parsed.data) : neverthrow.err(new StandinSetError(zod.prettifyError(parsed.error)))
}

async function startStandin (description: Description): Promise<RunningStandin> {
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
  return await Promise.all(set.standins.map(startStandin))
}
