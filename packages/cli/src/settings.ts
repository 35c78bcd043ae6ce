/**
 * Reads the tool's settings from a file of JSON with comments. Environment variables override the file, and flags override both.
 *
 * @module
 */
import * as document from '@persimmonhatch/document'
import * as neverthrow from 'neverthrow'
import * as z from 'zod'
import * as failure from './failure.js'
import type * as ports from './ports.js'

/** Settings file used if neither a flag nor the environment names one. */
export const DEFAULT_FILE = 'persimmonhatch.jsonc'

const ENVIRONMENT_PREFIX = 'PERSIMMONHATCH_'

const ENVIRONMENT_NAMES = {
  settings: 'PERSIMMONHATCH_SETTINGS',
  platform: 'PERSIMMONHATCH_PLATFORM',
  daemons: 'PERSIMMONHATCH_DAEMONS',
  operator: 'PERSIMMONHATCH_OPERATOR'
} as const

const ADDRESS = z.string().regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'use an IP number and a port, such as 10.0.0.7:7400')
const ENDPOINT = z.string().regex(/^https?:\/\/[^/\s]+$/, 'use a base URL without a path, such as http://10.0.0.9:2379')

const schema = z.strictObject({
  platform: z.strictObject({
    /** Base URLs of the key-value service, tried in order. */
    endpoints: z.array(ENDPOINT).min(1).readonly().default(['http://127.0.0.1:2379']),
    timeoutMs: z.number().int().min(1).max(60_000).default(2_000)
  }).readonly().prefault({}),
  /** Daemons to query in addition to those registered on the platform. */
  daemons: z.array(ADDRESS).readonly().default([]),
  daemonTimeoutMs: z.number().int().min(1).max(60_000).default(2_000),
  /** Operator recorded with each change; defaults to the user's name. */
  operator: z.string().min(1).max(100).optional()
}).readonly()

/** Validated settings. */
export type Settings = z.infer<typeof schema>

/** Flags that override the file and the environment. */
export interface Flags {
  readonly settings: string | undefined
  readonly platform: readonly string[] | undefined
  readonly daemons: readonly string[] | undefined
  readonly operator: string | undefined
}

type Environment = Readonly<Record<string, string | undefined>>

function invalidSettings (source: string, problems: readonly document.problem.Problem[]): failure.Failure {
  const lines = problems.map((each) => `  ${document.problem.formatProblem(each)}`)
  return new failure.Failure('invalid', 'invalid-settings', { source, problems: lines.join('\n') })
}

function splitList (text: string | undefined): readonly string[] | undefined {
  return text?.split(',').map((part) => part.trim())
}

function readEnvironment (environment: Environment): neverthrow.Result<Flags, failure.Failure> {
  const knownNames: readonly string[] = Object.values(ENVIRONMENT_NAMES)
  const unknownNames = Object.keys(environment).filter((name) => name.startsWith(ENVIRONMENT_PREFIX) && !knownNames.includes(name))
  const remedy = `unknown variable: unset it or use one of ${knownNames.join(', ')}`
  const problems = unknownNames.map((name) => ({ path: name, value: document.problem.formatValue(environment[name]), remedy }))
  if (problems.length > 0) return neverthrow.err(invalidSettings('The environment', problems))
  return neverthrow.ok({
    settings: environment[ENVIRONMENT_NAMES.settings],
    platform: splitList(environment[ENVIRONMENT_NAMES.platform]),
    daemons: splitList(environment[ENVIRONMENT_NAMES.daemons]),
    operator: environment[ENVIRONMENT_NAMES.operator]
  })
}

function checkSettings (source: string, value: unknown): neverthrow.Result<Settings, failure.Failure> {
  return document.checkSchema.checkSchema(schema, value).mapErr((problems) => invalidSettings(source, problems))
}

function readFile (files: ports.Files, name: string | undefined): neverthrow.Result<Settings, failure.Failure> {
  if (name === undefined && !files.exists(DEFAULT_FILE)) return checkSettings('The settings', {})
  const file = name ?? DEFAULT_FILE
  return files.read(file)
    .andThen((text) => document.parseJsonc.parseJsonc(text).mapErr((problems) => invalidSettings(file, problems)))
    .andThen((value) => checkSettings(file, value))
}

function applyOverrides (settings: Settings, flags: Flags, source: string): neverthrow.Result<Settings, failure.Failure> {
  return checkSettings(source, {
    ...settings,
    platform: { ...settings.platform, endpoints: flags.platform ?? settings.platform.endpoints },
    daemons: flags.daemons ?? settings.daemons,
    operator: flags.operator ?? settings.operator
  })
}

/**
 * Reads, merges and validates the settings of one run.
 *
 * @example
 * ```ts
 * const settings = readSettings(files, process.env, flags)
 * ```
 */
export function readSettings (files: ports.Files, environment: Environment, flags: Flags): neverthrow.Result<Settings, failure.Failure> {
  return neverthrow.safeTry<Settings, failure.Failure>(function * () {
    const fromEnvironment = yield * readEnvironment(environment)
    const fromFile = yield * readFile(files, flags.settings ?? fromEnvironment.settings)
    const merged = yield * applyOverrides(fromFile, fromEnvironment, 'The environment')
    return applyOverrides(merged, flags, 'The command line')
  })
}
