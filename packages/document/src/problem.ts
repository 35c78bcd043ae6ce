/**
 * Problems of a document or a settings file, with their remedies.
 *
 * @module
 */

const MAX_VALUE_CHARACTERS = 80

/** A wrong or missing value. */
export interface Problem {
  /** Location, such as `targets[2].address`; `(whole file)` if the problem has no single location. */
  readonly path: string
  /** The value found, as JSON text; `(missing)` if there is none. */
  readonly value: string
  readonly remedy: string
}

/**
 * Formats a path as text.
 *
 * @example
 * ```ts
 * formatPath(['targets', 2, 'address']) // 'targets[2].address'
 * ```
 */
export function formatPath (path: readonly PropertyKey[]): string {
  if (path.length === 0) return '(whole file)'
  return path.map((key, index) => formatKey(key, index === 0)).join('')
}

function formatKey (key: PropertyKey, isFirst: boolean): string {
  if (typeof key === 'number') return `[${key}]`
  return isFirst ? String(key) : `.${String(key)}`
}

/**
 * Formats a value as JSON text, truncated to `MAX_VALUE_CHARACTERS`.
 *
 * @example
 * ```ts
 * formatValue(undefined) // '(missing)'
 * ```
 */
export function formatValue (value: unknown): string {
  if (value === undefined) return '(missing)'
  const text = JSON.stringify(value)
  return text.length <= MAX_VALUE_CHARACTERS ? text : `${text.slice(0, MAX_VALUE_CHARACTERS)}…`
}

/**
 * Formats a problem as one line for an operator.
 *
 * @example
 * ```ts
 * formatProblem({ path: 'tiers', value: '[]', remedy: 'list at least 1' })
 * // 'tiers is []: list at least 1'
 * ```
 */
export function formatProblem (problem: Problem): string {
  return `${problem.path} is ${problem.value}: ${problem.remedy}`
}
