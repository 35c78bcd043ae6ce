/**
 * Headers as received on the wire: alternating names and values.
 *
 * @module
 */

/** Alternating names and values. */
export type RawHeaders = readonly string[]

/** Hop-by-hop headers. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade'
])

/** Whether a name as received is a name in lower case. The lengths are compared first, as a head may have thousands of lines. */
function isName (received: string | undefined, name: string): boolean {
  return received?.length === name.length && received.toLowerCase() === name
}

/** Returns the first value of a header; undefined if it is missing. */
export function findHeader (headers: RawHeaders, name: string): string | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if (isName(headers[index], name)) return headers[index + 1]
  }
  return undefined
}

/** Returns all values of a header. */
export function findAll (headers: RawHeaders, name: string): readonly string[] {
  return headers.filter((_, index) => index % 2 === 1 && isName(headers[index - 1], name))
}

/** Returns the size of all names and values with their separators, bytes. */
export function headerBytes (headers: RawHeaders): number {
  // Each field adds a colon, a space and a line end to its name and value.
  return headers.reduce((sum, text) => sum + text.length + 2, 0)
}

/** Names of headers, in lower case. */
export interface Selection {
  readonly dropped: ReadonlySet<string>
  /** Headers of the whole exchange, which a `Connection` header must not name. */
  readonly endToEnd: ReadonlySet<string>
}

/**
 * Returns the headers without hop-by-hop headers, among them those that a `Connection` header names, and without those in `dropped`.
 *
 * @example
 * ```ts
 * withoutHeaders(['Connection', 'close, own', 'Own', '1', 'Accept', 'a'], { dropped: new Set(), endToEnd: new Set(['host']) }) // ['Accept', 'a']
 * ```
 */
export function withoutHeaders (headers: RawHeaders, { dropped, endToEnd }: Selection): string[] {
  const named = new Set(findAll(headers, 'connection').flatMap((value) => value.toLowerCase().split(',').map((value) => value.trim())))
  const kept: string[] = []
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? ''
    const lower = name.toLowerCase()
    if (CONNECTION_HEADERS.has(lower) || dropped.has(lower)) continue
    if (named.has(lower) && !endToEnd.has(lower)) continue
    kept.push(name, headers[index + 1] ?? '')
  }
  return kept
}
