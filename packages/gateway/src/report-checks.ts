/**
 * Checks of values that other processes send, so that nothing malformed enters the state of this one.
 *
 * @module
 */
import * as endpoint from './endpoint.js'

/** Returns whether a value is as expected. */
export type Check = (value: unknown) => boolean

/** Numbers beyond this are errors: no count, age or time reaches it, and sums of such numbers stay exact. */
const MAX_NUMBER = 2 ** 50

const MAX_TEXT_LENGTH = 65_536

/** A text of bounded length. */
export const isText: Check = (value) => typeof value === 'string' && value.length <= MAX_TEXT_LENGTH

export const isFlag: Check = (value) => typeof value === 'boolean'

/** A number of bounded size. */
export const isNumber: Check = (value) => typeof value === 'number' && Math.abs(value) <= MAX_NUMBER

/** A number that is not negative. */
export const isAmount: Check = (value) => isNumber(value) && Number(value) >= 0

export const isEndpoint: Check = endpoint.isEndpoint

/** A start of a target in ms, base 36. */
export const isStart: Check = (value) => typeof value === 'string' && /^[0-9a-z]{1,10}$/.test(value)

/**
 * Returns a check of either kind.
 *
 * @example
 * ```ts
 * either(isNumber, isNull)(null) // true
 * ```
 */
export function either (first: Check, second: Check): Check {
  return (value) => first(value) || second(value)
}

export const isNull: Check = (value) => value === null

/**
 * Returns a check of lists whose items pass a check.
 *
 * @example
 * ```ts
 * listOf(isText)(['i-1']) // true
 * ```
 */
export function listOf (item: Check): Check {
  return (value) => Array.isArray(value) && value.every(item)
}

/**
 * Returns a check of rows: the first cells pass one check each, and any others the check for the rest.
 *
 * @example
 * ```ts
 * rowOf([isText, isNumber])(['i-1', 4]) // true
 * ```
 */
export function rowOf (cells: readonly Check[], rest?: Check): Check {
  return (value) => Array.isArray(value) && value.length >= cells.length && (rest !== undefined || value.length === cells.length) &&
    value.every((cell, index) => (cells[index] ?? rest)?.(cell) === true)
}

/**
 * Returns a check of maps whose values pass a check.
 *
 * @example
 * ```ts
 * mapOf(isNumber)({ maarif: 52_000 }) // true
 * ```
 */
export function mapOf (entry: Check): Check {
  return (value) => typeof value === 'object' && value !== null && !Array.isArray(value) && Object.entries(value).every(([name, item]) => isText(name) && entry(item))
}

/**
 * Returns a check of objects whose named fields pass one check each; other fields are not checked.
 *
 * @example
 * ```ts
 * fieldsOf({ from: isEndpoint })({ from: '10.1.0.25:7600' }) // true
 * ```
 */
export function fieldsOf (fields: Readonly<Record<string, Check>>): Check {
  return (value) => typeof value === 'object' && value !== null && !Array.isArray(value) &&
    Object.entries(fields).every(([name, check]) => check((value as Readonly<Record<string, unknown>>)[name]))
}

/**
 * Returns a check that also accepts a missing value.
 *
 * @example
 * ```ts
 * optional(isText)(undefined) // true
 * ```
 */
export function optional (check: Check): Check {
  return (value) => value === undefined || check(value)
}
