import { type DeclarationFile, type ParseResult, parseDeclaration } from '@lavenderturn/declaration'
import { readdir, readFile, stat } from 'node:fs/promises'
import { join } from 'node:path'

/** Matches the declaration files of a folder. */
const DECLARATION_FILE = /\.(?:ya?ml|json)$/

/**
 * Reads and parses the files of one declaration.
 *
 * @param paths - files, or folders whose `.yaml`, `.yml` and `.json` files are read
 * @returns the declaration, or the problems, including unreadable files
 * @internal
 */
export async function readDeclarationFiles (paths: readonly string[]): Promise<ParseResult> {
  const files: DeclarationFile[] = []
  for (const path of paths) {
    try {
      for (const name of await listFiles(path)) files.push({ name, text: await readFile(name, 'utf8') })
    } catch (err) {
      const { code } = err as NodeJS.ErrnoException
      if (code === undefined) throw err
      const message = `the file cannot be read (${code})`
      return { ok: false, problems: [{ file: path, line: 1, column: 1, path: '', message }] }
    }
  }
  return parseDeclaration(files)
}

async function listFiles (path: string): Promise<string[]> {
  if (!(await stat(path)).isDirectory()) return [path]
  const names = await readdir(path)
  return names.filter((name) => DECLARATION_FILE.test(name)).sort().map((name) => join(path, name))
}
