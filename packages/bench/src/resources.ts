/**
 * Measures the processor time and memory of this process.
 *
 * @module
 */

function collectGarbage (): void {
  if (globalThis.gc === undefined) throw new Error('The garbage collector is not exposed. Start node with --expose-gc.')
  globalThis.gc()
  globalThis.gc()
}

/**
 * Returns the processor time per operation, in microseconds, over all threads of this process. `run` performs `count`
 * operations.
 *
 * @example
 * ```ts
 * cpuMicrosPer(1_000, () => { for (let index = 0; index < 1_000; index++) step() })
 * ```
 */
export function cpuMicrosPer (count: number, run: () => void): number {
  const before = process.cpuUsage()
  run()
  const used = process.cpuUsage(before)
  return (used.user + used.system) / count
}

/**
 * Like `cpuMicrosPer`, for asynchronous operations.
 *
 * @example
 * ```ts
 * await cpuMicrosPerAsync(1_000, sendAll)
 * ```
 */
export async function cpuMicrosPerAsync (count: number, run: () => Promise<void>): Promise<number> {
  const before = process.cpuUsage()
  await run()
  const used = process.cpuUsage(before)
  return (used.user + used.system) / count
}

/** Returns the bytes of heap and buffers in use after a garbage collection. */
export function retainedBytes (): number {
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

/**
 * Returns the bytes retained by the result of `build`. Runs `build` once beforehand, so that compiled code isn't counted.
 *
 * @example
 * ```ts
 * heapBytesOf(() => Array.from({ length: 1_000 }, createEntry))
 * ```
 */
export function heapBytesOf (build: () => unknown): number {
  build()
  const before = retainedBytes()
  const built = build()
  const after = retainedBytes()
  return built === undefined ? 0 : after - before
}
