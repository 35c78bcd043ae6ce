/**
 * Parses and validates a settings file.
 *
 * @module
 */
import * as jsonc from 'jsonc-parser'
import * as neverthrow from 'neverthrow'
import type * as z from 'zod'
import * as settings from './settings.js'

/** A problem in a settings file. */
export interface Problem {
  /** Dotted path of the key, such as `limits.bodyBytes`; empty for the whole file. */
  readonly path: string
  /** JSON text of the invalid value. */
  readonly value: string
  readonly remedy: string
}

/** The settings are invalid. The message lists each problem with its path, value and remedy. */
export class InvalidSettings extends Error {
  constructor (readonly problems: readonly Problem[]) {
    super(problems.map(formatProblem).join('\n'))
    this.name = 'InvalidSettings'
  }
}

function formatProblem (problem: Problem): string {
  const where = problem.path === '' ? 'the settings' : problem.path
  return `${where} is ${problem.value}: ${problem.remedy}.`
}

function valueAt (document: unknown, path: readonly PropertyKey[]): unknown {
  let value: unknown = document
  for (const key of path) value = (value as Readonly<Record<PropertyKey, unknown>> | undefined)?.[key]
  return value
}

function describeIssue (document: unknown, issue: z.core.$ZodIssue): readonly Problem[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      path: [...issue.path, key].join('.'),
      value: JSON.stringify(valueAt(document, [...issue.path, key])),
      remedy: 'remove this unknown key, or correct its name'
    }))
  }
  const value = valueAt(document, issue.path)
  return [{ path: issue.path.join('.'), value: value === undefined ? 'missing' : JSON.stringify(value), remedy: issue.message }]
}

function describeSyntaxError (text: string, error: jsonc.ParseError): Problem {
  const line = text.slice(0, error.offset).split('\n').length
  return { path: '', value: `malformed at line ${line}`, remedy: `correct the JSON (${jsonc.printParseErrorCode(error.error)})` }
}

/**
 * Parses and validates the text of a settings file.
 *
 * @example
 * ```ts
 * parseSettings('{ "name": "entry-1", "listne": {} }')
 * // Err(InvalidSettings): listne is {}: remove this unknown key, or correct its name.
 * ```
 */
export function parseSettings (text: string): neverthrow.Result<settings.Settings, InvalidSettings> {
  const errors: jsonc.ParseError[] = []
  const document: unknown = jsonc.parse(text, errors, { allowTrailingComma: true })
  if (errors.length > 0) return neverthrow.err(new InvalidSettings(errors.map((error) => describeSyntaxError(text, error))))
  const checked = settings.schema.safeParse(document)
  if (checked.success) return neverthrow.ok(checked.data)
  return neverthrow.err(new InvalidSettings(checked.error.issues.flatMap((issue) => describeIssue(document, issue))))
}
