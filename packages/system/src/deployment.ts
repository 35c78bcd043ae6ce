/**
 * Reads the example deployments.
 *
 * @module
 */
import * as fs from 'node:fs/promises'
import * as path from 'node:path'
import * as url from 'node:url'
import * as document from '@persimmonhatch/document'
import * as neverthrow from 'neverthrow'

/** Name and availability zone of one daemon. */
export interface DaemonLocation {
  readonly name: string
  readonly availabilityZone: string
}

/** A deployment: daemons and service documents. */
export interface Deployment {
  readonly name: string
  readonly region: string
  readonly daemons: readonly DaemonLocation[]
  readonly documents: readonly document.serviceDocument.ServiceDocument[]
}

const EXAMPLES = url.fileURLToPath(new URL('../../../../examples/', import.meta.url))

async function readDocument (file: string): Promise<document.serviceDocument.ServiceDocument> {
  return document.parseServiceDocument.parseServiceDocument(await fs.readFile(file, 'utf8'))._unsafeUnwrap()
}

/**
 * Reads an example deployment.
 *
 * @example
 * ```ts
 * const deployment = await readDeployment('atlasrenew')
 * ```
 */
export async function readDeployment (example: 'atlasrenew' | 'lanaustro'): Promise<Deployment> {
  const directory = path.join(EXAMPLES, example)
  const text = await fs.readFile(path.join(directory, 'deployment.jsonc'), 'utf8')
  const parsed = document.parseJsonc.parseJsonc(text).mapErr(() => new Error(`${directory}/deployment.jsonc is malformed: correct its JSON.`))
  const { name, region, daemons } = neverthrow.ok(parsed._unsafeUnwrap()).value as Omit<Deployment, 'documents'>
  const files = (await fs.readdir(path.join(directory, 'documents'))).sort()
  const documents = await Promise.all(files.map((file) => readDocument(path.join(directory, 'documents', file))))
  return { name, region, daemons, documents }
}

/**
 * Returns the documents with the addresses of their targets replaced.
 *
 * @example
 * ```ts
 * withTargetAddresses(deployment.documents, new Map([['engine-1', '127.0.0.1:40001']]))
 * ```
 */
export function withTargetAddresses (documents: Deployment['documents'], addresses: ReadonlyMap<string, string>): Deployment['documents'] {
  return documents.map((serviceDocument) => ({
    ...serviceDocument,
    targets: serviceDocument.targets.map((target) => ({ ...target, address: addresses.get(target.name) ?? target.address }))
  }))
}
