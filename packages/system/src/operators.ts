/**
 * Changes service documents with the operators' tool, run as a child process.
 *
 * @module
 */
import * as fs from 'node:fs/promises'
import * as path from 'node:path'
import type * as document from '@persimmonhatch/document'
import * as childProcess from './child-process.js'
import type * as recorderModule from './recorder.js'
import type * as systemModule from './system.js'

/** Exit codes that report a change as accepted or as not accepted; the others leave it open. */
const ACCEPTED_EXIT_CODES = new Set([0, 8])
const NOT_ACCEPTED_EXIT_CODES = new Set([3, 4, 5])

/** Exit code and output of the tool. */
export interface ToolResult {
  readonly code: number | undefined
  readonly text: string
}

/** The change to apply. */
export interface Change {
  readonly document: document.serviceDocument.ServiceDocument
  readonly operator: string
  /** Revision that the change must follow; defaults to the stored one. */
  readonly expectedRevision?: number
  readonly waitS?: number
}

interface ToolOutput {
  readonly changeId?: string
  readonly error?: { readonly figures?: { readonly changeId?: string } }
}

function optionalFlag (name: string, value: number | undefined): readonly string[] {
  return value === undefined ? [] : [name, String(value)]
}

function parseChangeId (text: string): string | undefined {
  try {
    const output = JSON.parse(text) as ToolOutput
    return output.changeId ?? output.error?.figures?.changeId
  } catch {
    return undefined
  }
}

/**
 * Applies a document and records the outcome that the tool reports.
 *
 * @example
 * ```ts
 * const { code } = await applyChange(system, recorder, { document, operator: 'ana' })
 * ```
 */
export async function applyChange (system: systemModule.System, recorder: recorderModule.Recorder, change: Change): Promise<ToolResult> {
  const { service } = change.document
  const file = path.join(system.directory, `${service}-${change.operator}.jsonc`)
  await fs.writeFile(file, JSON.stringify(change.document, undefined, 2))
  const child = childProcess.startChild({ packageName: 'cli', file: 'persimmonhatch' }, [
    'apply', file, '--json', '--operator', change.operator, '--comment', 'a test',
    '--platform', `http://${system.standin('key-value').address}`,
    ...system.daemons().flatMap((daemon) => ['--daemon', daemon.address]),
    ...optionalFlag('--expect-revision', change.expectedRevision),
    ...optionalFlag('--wait', change.waitS)
  ])
  const { code } = await child.ended
  const text = [...child.lines(), child.stderr()].join('\n')
  const changeId = parseChangeId(text)
  const accepted = ACCEPTED_EXIT_CODES.has(code ?? -1)
  if (changeId !== undefined && (accepted || NOT_ACCEPTED_EXIT_CODES.has(code ?? -1))) recorder.record({ kind: 'change-reported', service, change: changeId, accepted })
  return { code, text }
}
