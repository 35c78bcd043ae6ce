/**
 * Checks a value against a schema and states a remedy for each problem.
 *
 * @module
 */
import * as neverthrow from 'neverthrow'
import type * as z from 'zod'
import * as problem from './problem.js'

type Issue = z.core.$ZodIssue

interface Definition {
  readonly innerType?: z.ZodType
  readonly element?: z.ZodType
  readonly shape?: Readonly<Record<string, z.ZodType>>
}

function definitionOf (schema: z.ZodType): Definition {
  let definition = schema.def as unknown as Definition
  while (definition.innerType !== undefined) definition = definition.innerType.def as unknown as Definition
  return definition
}

function definitionAt (schema: z.ZodType, path: readonly PropertyKey[]): Definition | undefined {
  let definition: Definition | undefined = definitionOf(schema)
  for (const key of path) {
    const child: z.ZodType | undefined = typeof key === 'number' ? definition.element : definition.shape?.[String(key)]
    if (child === undefined) return undefined
    definition = definitionOf(child)
  }
  return definition
}

function valueAt (value: unknown, path: readonly PropertyKey[]): unknown {
  let found = value
  for (const key of path) {
    if (typeof found !== 'object' || found === null) return undefined
    found = (found as Readonly<Record<PropertyKey, unknown>>)[key]
  }
  return found
}

function tooSmallRemedy (issue: Extract<Issue, { readonly code: 'too_small' }>): string {
  if (issue.origin === 'array') return `list at least ${issue.minimum}`
  if (issue.origin === 'string') return `write at least ${issue.minimum} characters`
  return issue.inclusive === true ? `use ${issue.minimum} or more` : `use more than ${issue.minimum}`
}

function tooBigRemedy (issue: Extract<Issue, { readonly code: 'too_big' }>): string {
  if (issue.origin === 'array') return `list at most ${issue.maximum}`
  if (issue.origin === 'string') return `write at most ${issue.maximum} characters`
  return issue.inclusive === true ? `use ${issue.maximum} or less` : `use less than ${issue.maximum}`
}

function remedyOf (issue: Issue, found: unknown): string {
  switch (issue.code) {
    case 'invalid_type':
      return found === undefined ? `add this key, of type ${issue.expected}` : `use a value of type ${issue.expected}`
    case 'too_small':
      return tooSmallRemedy(issue)
    case 'too_big':
      return tooBigRemedy(issue)
    case 'invalid_value':
      return `use one of ${issue.values.map(String).join(', ')}`
    default:
      return issue.message
  }
}

function * unknownKeys (schema: z.ZodType, value: unknown, path: readonly PropertyKey[], keys: readonly string[]): Generator<problem.Problem> {
  const knownKeys = Object.keys(definitionAt(schema, path)?.shape ?? {})
  for (const key of keys) {
    const keyPath = [...path, key]
    const remedy = `unknown key: remove it or use one of ${knownKeys.join(', ')}`
    yield { path: problem.formatPath(keyPath), value: problem.formatValue(valueAt(value, keyPath)), remedy }
  }
}

function * problemsOf (schema: z.ZodType, value: unknown, issues: readonly Issue[]): Generator<problem.Problem> {
  for (const issue of issues) {
    if (issue.code === 'unrecognized_keys') {
      yield * unknownKeys(schema, value, issue.path, issue.keys)
      continue
    }
    const found = valueAt(value, issue.path)
    yield { path: problem.formatPath(issue.path), value: problem.formatValue(found), remedy: remedyOf(issue, found) }
  }
}

/**
 * Checks a value against a schema; the error lists every problem.
 *
 * @example
 * ```ts
 * checkSchema(z.strictObject({ port: z.number() }), { prot: 1 })
 * // err([{ path: 'port', ... }, { path: 'prot', ... }])
 * ```
 */
export function checkSchema<Schema extends z.ZodType> (schema: Schema, value: unknown): neverthrow.Result<z.output<Schema>, readonly problem.Problem[]> {
  const parsed = schema.safeParse(value)
  if (parsed.success) return neverthrow.ok(parsed.data)
  return neverthrow.err([...problemsOf(schema, value, parsed.error.issues)])
}
