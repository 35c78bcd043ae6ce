/**
 * Runs a program of this project as a child process.
 *
 * @module
 */
import * as childProcess from 'node:child_process'
import * as url from 'node:url'

/** How a process ended. */
export interface Exit {
  /** Exit code; undefined when a signal terminated the process. */
  readonly code: number | undefined
}

/** A running process. */
export interface Child {
  readonly pid: number
  /** The latest lines of its standard output. */
  readonly lines: () => readonly string[]
  readonly stderr: () => string
  readonly signal: (name: NodeJS.Signals) => void
  readonly ended: Promise<Exit>
}

/** A program, given by its package and the name of its compiled file. */
export interface Program {
  readonly packageName: string
  readonly file: string
}

const MAX_RETAINED_LINES = 10_000

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
export function startChild (program: Program, args: readonly string[]): Child {
  const child = childProcess.spawn(process.execPath, ['--enable-source-maps', programPath(program), ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
  const lines: string[] = []
  let partialLine = ''
  let stderr = ''
  child.stdout.setEncoding('utf8').on('data', (text: string) => {
    const linesRead = (partialLine + text).split('\n')
    partialLine = linesRead.pop() ?? ''
    lines.push(...linesRead)
    if (lines.length > MAX_RETAINED_LINES) lines.splice(0, lines.length - MAX_RETAINED_LINES)
  })
  child.stderr.setEncoding('utf8').on('data', (text: string) => { stderr += text })
  const ended = new Promise<Exit>((resolve) => {
    child.once('close', (code) => resolve({ code: code ?? undefined }))
  })
  return {
    pid: child.pid ?? 0,
    lines: () => lines,
    stderr: () => stderr,
    signal: (name) => { child.kill(name) },
    ended
  }
}
