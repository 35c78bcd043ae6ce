/**
 * The operator's local files.
 *
 * @module
 */
import * as fs from 'node:fs'
import * as neverthrow from 'neverthrow'
import * as failure from '../failure.js'
import type * as message from '../message.js'
import type * as ports from '../ports.js'

function wrapErrors<Value> (file: string, id: message.MessageId, operation: () => Value): neverthrow.Result<Value, failure.Failure> {
  return neverthrow.fromThrowable(operation, (error) => new failure.Failure('invalid', id, { file, detail: (error as Error).message }))()
}

/** Accesses files by path, relative to the working directory. */
export const LOCAL_FILES: ports.Files = {
  exists: (path) => fs.existsSync(path),
  read: (path) => wrapErrors(path, 'file-unreadable', () => fs.readFileSync(path, 'utf8')),
  write: (path, text) => wrapErrors(path, 'file-unwritable', () => { fs.writeFileSync(path, text) })
}
