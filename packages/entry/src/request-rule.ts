/**
 * Which rule of a service document a request falls under.
 *
 * @module
 */
import type * as document from '@persimmonhatch/document'

const ESCAPES = /(?:%[0-9a-f]{2})+/gi

function decodeEscapes (escapes: string): string {
  try {
    return decodeURIComponent(escapes)
  } catch {
    return escapes
  }
}

/** Decodes each run of escapes by itself, so that a malformed one leaves the others readable. */
function decode (path: string): string {
  return path.replace(ESCAPES, decodeEscapes)
}

function removeDotSegments (segments: readonly string[]): readonly string[] {
  const kept: string[] = []
  for (const segment of segments) {
    if (segment === '' || segment === '.') continue
    if (segment === '..') kept.pop()
    else kept.push(segment)
  }
  return kept
}

/**
 * One spelling for all paths that servers commonly treat alike: without query, escapes, empty and dot
 * segments or a trailing slash. A non-idempotent request must not escape its rule by another spelling.
 *
 * @example
 * ```ts
 * normalisePath('//units/./%72eserve/?now=1') // '/units/reserve'
 * ```
 */
export function normalisePath (path: string): string {
  const [withoutQuery = ''] = path.split(/[?#]/, 1)
  return `/${removeDotSegments(decode(withoutQuery).split('/')).join('/')}`
}

function matchesPath (pattern: string, path: string): boolean {
  if (!pattern.endsWith('*')) return normalisePath(pattern) === path
  const prefix = pattern.slice(0, -1)
  return path.startsWith(prefix) || `${path}/` === prefix
}

/**
 * The first rule that matches the method and path; undefined when the document has none for it.
 *
 * @example
 * ```ts
 * findRule(stock.requests, 'POST', '/reserve?unit=7')?.nonIdempotent // true
 * ```
 */
export function findRule (
  rules: readonly document.serviceDocument.RequestRule[],
  method: string,
  path: string
): document.serviceDocument.RequestRule | undefined {
  const normalised = normalisePath(path)
  return rules.find((rule) => rule.method === method.toUpperCase() && matchesPath(rule.path, normalised))
}
