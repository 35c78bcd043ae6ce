/**
 * Finds the rule of a service document that applies to a request.
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

/** Decodes each sequence of percent escapes separately, so that a malformed one does not prevent decoding the others. */
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
 * Normalises a path: removes the query, percent escapes, empty and dot segments and a trailing slash, which
 * servers commonly ignore. A non-idempotent request must not evade its rule by another spelling of the path.
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
 * Returns the first rule that matches the method and path; undefined when no rule matches.
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
