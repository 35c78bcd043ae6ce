/**
 * Operators who change service documents with the operators' tool, run as a process.
 *
 * @module
 */
import * as fs from 'node:fs/promises'
import * as path from 'node:path'
import type * as document from '@persimmonhatch/document'
import * as childProcess from './child-process.js'
import type * as recorderModule from './recorder.js'
import type * as systemModule from './system.js'

/** Exit codes of the tool that tell an operator that the change took effect, or that it did not. */
const ACCEPTED = new Set([0, 8])
const NOT_ACCEPTED = new Set([3, 4, 5])

/** What the tool said. */
export interface Report {
  readonly code: number | undefined
  readonly text: string
}

/** What to apply. */
export interface Change {
  readonly document: document.serviceDocument.ServiceDocument
  readonly operator: string
  /** Revision that the change must follow; the stored one when left out. */
  readonly expectedRevision?: number
  readonly waitS?: number
}

interface Told {
  readonly changeId?: string
  readonly error?: { readonly figures?: { readonly changeId?: string } }
}

function flag (name: string, value: number | undefined): readonly string[] {
  return value === undefined ? [] : [name, String(value)]
}

function changeIdOf (text: string): string | undefined {
  try {
    const told = JSON.parse(text) as Told
    return told.changeId ?? told.error?.figures?.changeId
  } catch {
    return undefined
  }
}

/**
 * Applies a document and records what the operator was told.
 *
 * @example
 * ```ts
 * const { code } = await applyChange(system, recorder, { document, operator: 'ana' })
 * ```
 */
export async function applyChange (system: systemModule.System, recorder: recorderModule.Recorder, change: Change): Promise<Report> {
  const { service } = change.document
  const file = path.join(system.directory, `${service}-${change.operator}.jsonc`)
  await fs.writeFile(file, JSON.stringify(change.document, undefined, 2))
  const child = childProcess.startChild({ packageName: 'cli', file: 'persimmonhatch' }, [
    'apply', file, '--json', '--operator', change.operator, '--comment', 'a test',
    '--platform', `http://${system.standin('key-value').address}`,
    ...system.daemons().flatMap((daemon) => ['--daemon', daemon.address]),
    ...flag('--expect-revision', change.expectedRevision),
    ...flag('--wait', change.waitS)
  ])
  const { code } = await child.ended
  const text = [...child.lines(), child.errors()].join('\n')
  const changeId = changeIdOf(text)
  const accepted = ACCEPTED.has(code ?? -1)
  if (changeId !== undefined && (accepted || NOT_ACCEPTED.has(code ?? -1))) recorder.record({ kind: 'change-reported', service, change: changeId, accepted })
  return { code, text }
}
