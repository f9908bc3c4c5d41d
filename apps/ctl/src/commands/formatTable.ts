const COLUMN_SEPARATOR = '  '

/**
 * @param rows - heading and rows, all with the same number of cells
 * @returns one line per row, with aligned columns
 * @internal
 */
export function formatTable (rows: ReadonlyArray<readonly string[]>): string[] {
  const widths = rows[0]!.map((_, column) => Math.max(...rows.map((row) => row[column]!.length)))
  return rows.map((row) => row.map((cell, column) => cell.padEnd(widths[column]!)).join(COLUMN_SEPARATOR).trimEnd())
}
