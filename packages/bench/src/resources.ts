/**
 * Processor time and memory of this process.
 *
 * @module
 */

function collectGarbage (): void {
  if (globalThis.gc === undefined) throw new Error('The garbage collector is out of reach: start node with --expose-gc.')
  globalThis.gc()
  globalThis.gc()
}

/**
 * Processor time of all threads of this process for one of `count` operations, microseconds.
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
 * Like `cpuMicrosPer`, for operations that take turns with others.
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

/** Bytes that the program holds after a garbage collection: heap and buffers. */
export function heldBytes (): number {
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

/**
 * Bytes that stay held by what `build` gives. It is built once before, so that compiled code is not counted.
 *
 * @example
 * ```ts
 * heapBytesOf(() => Array.from({ length: 1_000 }, createEntry))
 * ```
 */
export function heapBytesOf (build: () => unknown): number {
  build()
  const before = heldBytes()
  const built = build()
  const after = heldBytes()
  return built === undefined ? 0 : after - before
}
