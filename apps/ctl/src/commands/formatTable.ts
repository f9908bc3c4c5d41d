/** Spaces between two columns. */
const GAP = '  '

/**
 * @param rows - the heading and the rows, all of the same length
 * @returns one line a row, with columns of even width
 * @internal
 */
export function formatTable (rows: ReadonlyArray<readonly string[]>): string[] {
  const widths = rows[0]!.map((_, column) => Math.max(...rows.map((row) => row[column]!.length)))
  return rows.map((row) => row.map((cell, column) => cell.padEnd(widths[column]!)).join(GAP).trimEnd())
}
