/**
 * One thing that is wrong with a document or a settings file, and how to put it right.
 *
 * @module
 */

const MAX_VALUE_CHARACTERS = 80

/** A wrong or missing value. */
export interface Problem {
  /** Where it is, such as `targets[2].address`; `(whole file)` when it has no single place. */
  readonly path: string
  /** The value found, as JSON text; `(missing)` when there is none. */
  readonly value: string
  readonly remedy: string
}

/**
 * A path as text.
 *
 * @example
 * ```ts
 * showPath(['targets', 2, 'address']) // 'targets[2].address'
 * ```
 */
export function showPath (path: readonly PropertyKey[]): string {
  if (path.length === 0) return '(whole file)'
  return path.map((key, index) => showKey(key, index === 0)).join('')
}

function showKey (key: PropertyKey, first: boolean): string {
  if (typeof key === 'number') return `[${key}]`
  return first ? String(key) : `.${String(key)}`
}

/**
 * A value as JSON text, shortened to one line.
 *
 * @example
 * ```ts
 * showValue(undefined) // '(missing)'
 * ```
 */
export function showValue (value: unknown): string {
  if (value === undefined) return '(missing)'
  const text = JSON.stringify(value)
  return text.length <= MAX_VALUE_CHARACTERS ? text : `${text.slice(0, MAX_VALUE_CHARACTERS)}…`
}

/**
 * One line for a reader.
 *
 * @example
 * ```ts
 * describeProblem({ path: 'tiers', value: '[]', remedy: 'list at least 1' })
 * // 'tiers is []: list at least 1'
 * ```
 */
export function describeProblem (problem: Problem): string {
  return `${problem.path} is ${problem.value}: ${problem.remedy}`
}
