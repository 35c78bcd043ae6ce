/**
 * Reads the processor time and memory of another process from the proc file system (proc(5)).
 *
 * @module
 */
import * as fs from 'node:fs/promises'

/** Clock ticks in a second on Linux, `sysconf(_SC_CLK_TCK)`. */
const TICKS_PER_S = 100
/** Field indexes, counted from the first field after the process name. */
const USER_TIME_FIELD = 11
const SYSTEM_TIME_FIELD = 12
const BYTES_PER_KIB = 1_024

/**
 * Returns the processor time that a process has used, in seconds.
 *
 * @example
 * ```ts
 * const usedS = await cpuSeconds(child.pid)
 * ```
 */
export async function cpuSeconds (pid: number): Promise<number> {
  const text = await fs.readFile(`/proc/${pid}/stat`, 'utf8')
  // The process name in parentheses may contain spaces; the fields after it don't.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD])) / TICKS_PER_S
}

/**
 * Returns the resident memory of a process, in bytes.
 *
 * @example
 * ```ts
 * const bytes = await residentBytes(child.pid)
 * ```
 */
export async function residentBytes (pid: number): Promise<number> {
  const text = await fs.readFile(`/proc/${pid}/status`, 'utf8')
  return Number(/VmRSS:\s+(\d+) kB/.exec(text)?.[1]) * BYTES_PER_KIB
}
