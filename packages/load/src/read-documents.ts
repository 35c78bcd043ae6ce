/**
 * Reads the service documents of a deployment.
 *
 * @module
 */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as document from '@persimmonhatch/document'

/**
 * Reads and validates every document in a folder. Throws if one is invalid.
 *
 * @example
 * ```ts
 * readDocuments('examples/atlasrenew/documents')
 * ```
 */
export function readDocuments (folder: string): readonly document.serviceDocument.ServiceDocument[] {
  const files = fs.readdirSync(folder).filter((file) => file.endsWith('.jsonc')).sort()
  return files.map((file) => {
    const parsed = document.parseServiceDocument.parseServiceDocument(fs.readFileSync(path.join(folder, file), 'utf8'))
    if (parsed.isErr()) throw parsed.error
    return parsed.value
  })
}
