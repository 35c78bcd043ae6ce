/**
 * Reads JSON with comments. Repeated keys are errors, because one of the two values would be lost.
 *
 * @module
 */
import * as jsonc from 'jsonc-parser'
import * as neverthrow from 'neverthrow'
import * as problem from './problem.js'

const PARSE_SETTINGS = { allowTrailingComma: true, disallowComments: false, allowEmptyContent: false }

function showPosition (text: string, offset: number): string {
  const before = text.slice(0, offset).split('\n')
  return `line ${before.length}, column ${(before.at(-1) ?? '').length + 1}`
}

function syntaxProblem (text: string, error: jsonc.ParseError): problem.Problem {
  const found = text.slice(error.offset, error.offset + Math.max(1, error.length))
  const value = found === '' ? '(end of file)' : problem.showValue(found)
  const remedy = `correct the JSON here (${jsonc.printParseErrorCode(error.error)})`
  return { path: showPosition(text, error.offset), value, remedy }
}

function * repeatedKeys (node: jsonc.Node): Generator<problem.Problem> {
  const seen = new Set<string>()
  for (const child of node.children ?? []) {
    yield * repeatedKeys(child)
    if (node.type !== 'object') continue
    const [key, value] = child.children ?? []
    if (key === undefined || value === undefined) continue
    const name = String(key.value)
    const path = problem.showPath(jsonc.getNodePath(value))
    const shown = problem.showValue(jsonc.getNodeValue(value))
    if (seen.has(name)) yield { path, value: shown, remedy: 'this key stands twice: keep one' }
    if (name === '__proto__') yield { path, value: shown, remedy: 'unknown key: remove it' }
    seen.add(name)
  }
}

/**
 * The value of a JSON text with comments; the error lists every problem.
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
  if (root !== undefined) problems.push(...repeatedKeys(root))
  if (problems.length > 0 || root === undefined) return neverthrow.err(problems)
  return neverthrow.ok(jsonc.getNodeValue(root) as unknown)
}
