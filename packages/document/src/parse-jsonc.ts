/**
 * Parses JSON with comments. Duplicate keys are errors, because one of the two values would be lost.
 *
 * @module
 */
import * as jsonc from 'jsonc-parser'
import * as neverthrow from 'neverthrow'
import * as problem from './problem.js'

const PARSE_SETTINGS = { allowTrailingComma: true, disallowComments: false, allowEmptyContent: false }

function formatPosition (text: string, offset: number): string {
  const linesBefore = text.slice(0, offset).split('\n')
  return `line ${linesBefore.length}, column ${(linesBefore.at(-1) ?? '').length + 1}`
}

function syntaxProblem (text: string, error: jsonc.ParseError): problem.Problem {
  const found = text.slice(error.offset, error.offset + Math.max(1, error.length))
  const value = found === '' ? '(end of file)' : problem.formatValue(found)
  const remedy = `correct the JSON here (${jsonc.printParseErrorCode(error.error)})`
  return { path: formatPosition(text, error.offset), value, remedy }
}

function * duplicateKeys (node: jsonc.Node): Generator<problem.Problem> {
  const seenNames = new Set<string>()
  for (const child of node.children ?? []) {
    yield * duplicateKeys(child)
    if (node.type !== 'object') continue
    const [key, value] = child.children ?? []
    if (key === undefined || value === undefined) continue
    const name = String(key.value)
    const path = problem.formatPath(jsonc.getNodePath(value))
    const formattedValue = problem.formatValue(jsonc.getNodeValue(value))
    if (seenNames.has(name)) yield { path, value: formattedValue, remedy: 'duplicate key: keep one' }
    if (name === '__proto__') yield { path, value: formattedValue, remedy: 'unknown key: remove it' }
    seenNames.add(name)
  }
}

/**
 * Parses a JSON text with comments; the error lists every problem.
 *
 * @example
 * ```ts
 * parseJsonc('{ "a": 1, // one\n }') // ok({ a: 1 })
 * ```
 */
export function parseJsonc (text: string): neverthrow.Result<unknown, readonly problem.Problem[]> {
  const errors: jsonc.ParseError[] = []
  const root = jsonc.parseTree(text, errors, PARSE_SETTINGS)
  const problems = errors.map((error) => syntaxProblem(text, error))
  if (root !== undefined) problems.push(...duplicateKeys(root))
  if (problems.length > 0 || root === undefined) return neverthrow.err(problems)
  return neverthrow.ok(jsonc.getNodeValue(root) as unknown)
}
