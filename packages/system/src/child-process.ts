/**
 * A program of this project, run as a process of its own.
 *
 * @module
 */
import * as childProcess from 'node:child_process'
import * as url from 'node:url'

/** How a process ended. */
export interface Exit {
  /** Exit code; undefined when a signal ended the process. */
  readonly code: number | undefined
}

/** A running process. */
export interface Child {
  readonly pid: number
  /** Lines of its standard output so far. */
  readonly lines: () => readonly string[]
  readonly errors: () => string
  readonly signal: (name: NodeJS.Signals) => void
  readonly ended: Promise<Exit>
}

/** A program by its package and the name of its compiled file. */
export interface Program {
  readonly packageName: string
  readonly file: string
}

const MAX_LINES = 10_000

function programPath (program: Program): string {
  return url.fileURLToPath(new URL(`../../../${program.packageName}/dist/src/bin/${program.file}.js`, import.meta.url))
}

/**
 * Starts a program.
 *
 * @example
 * ```ts
 * const child = startChild({ packageName: 'daemon', file: 'persimmonhatchd' }, ['--settings', file])
 * child.signal('SIGTERM')
 * ```
 */
export function startChild (program: Program, parameters: readonly string[]): Child {
  const child = childProcess.spawn(process.execPath, ['--enable-source-maps', programPath(program), ...parameters], { stdio: ['ignore', 'pipe', 'pipe'] })
  const lines: string[] = []
  let unfinished = ''
  let errors = ''
  child.stdout.setEncoding('utf8').on('data', (text: string) => {
    const parts = (unfinished + text).split('\n')
    unfinished = parts.pop() ?? ''
    lines.push(...parts)
    if (lines.length > MAX_LINES) lines.splice(0, lines.length - MAX_LINES)
  })
  child.stderr.setEncoding('utf8').on('data', (text: string) => { errors += text })
  const ended = new Promise<Exit>((resolve) => {
    child.once('close', (code) => resolve({ code: code ?? undefined }))
  })
  return {
    pid: child.pid ?? 0,
    lines: () => lines,
    errors: () => errors,
    signal: (name) => { child.kill(name) },
    ended
  }
}
