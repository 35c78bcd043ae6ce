/**
 * Text tables.
 *
 * @module
 */

const GAP = '  '

/**
 * Formats rows as aligned columns.
 *
 * @example
 * ```ts
 * formatTable(['name', 'count'], [['a', '1']]) // 'name  count\na     1'
 * ```
 */
export function formatTable (header: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const all = [header, ...rows]
  const widths = header.map((_, column) => Math.max(...all.map((row) => row[column]?.length ?? 0)))
  return all.map((row) => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(GAP).trimEnd()).join('\n')
}
