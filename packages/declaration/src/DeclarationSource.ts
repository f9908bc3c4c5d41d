import { type Document, isCollection, isMap, isScalar, LineCounter, type Node, parseDocument } from 'yaml'
import type { DeclarationIssue, DeclarationProblem } from './DeclarationProblem'
import { formatPath } from './DeclarationProblem'

/** A file that contains all or some of the sections of a declaration. @public */
export interface DeclarationFile {
  /** File name to show in error messages. */
  readonly name: string
  /** YAML or JSON. Both are parsed as YAML, which is a superset of JSON. */
  readonly text: string
}

/** A parsed declaration file that can locate fields in its text. @internal */
export class DeclarationSource {
  readonly name: string
  private readonly lineCounter = new LineCounter()
  private readonly document: Document.Parsed

  /** @param file - name and text of the file */
  constructor ({ name, text }: DeclarationFile) {
    this.name = name
    this.document = parseDocument(text, { lineCounter: this.lineCounter, prettyErrors: false, uniqueKeys: true })
  }

  /** @returns syntax errors and duplicate fields, or an error if the file contains no fields */
  findSyntaxProblems (): DeclarationProblem[] {
    const { errors, warnings, contents } = this.document
    const problems = [...errors, ...warnings].map(({ message, pos }) => {
      return this.createProblem(pos[0], { path: [], message: message.replaceAll('\n', ' ') })
    })
    if (problems.length > 0 || isMap(contents)) return problems
    return [this.createProblem(0, { path: [], message: 'the file must contain the sections of a declaration' })]
  }

  /** @returns the content of the file as a plain JavaScript value */
  toValue (): Record<string, unknown> {
    return this.document.toJS() as Record<string, unknown>
  }

  /**
   * Adds the location to an error.
   *
   * @param issue - an error at a path within this file
   * @returns the error with the location of its field, or of the innermost existing parent of the field
   */
  locateIssue (issue: DeclarationIssue): DeclarationProblem {
    return this.createProblem(this.findOffset(issue), issue)
  }

  private createProblem (offset: number, { path, message }: DeclarationIssue): DeclarationProblem {
    const { line, col } = this.lineCounter.linePos(offset)
    return { file: this.name, line: Math.max(line, 1), column: Math.max(col, 1), path: formatPath(path), message }
  }

  private findOffset ({ path, atKey = false }: DeclarationIssue): number {
    let node: unknown = this.document.contents
    for (const [index, part] of path.entries()) {
      if (atKey && index === path.length - 1 && isMap(node)) {
        const pair = node.items.find(({ key }) => (isScalar(key) ? key.value : key) === part)
        return startOffset(pair?.key) ?? startOffset(node) ?? 0
      }
      const next: unknown = isCollection(node) ? node.get(part, true) : undefined
      if (startOffset(next) === undefined) break
      node = next
    }
    return startOffset(node) ?? 0
  }
}

function startOffset (node: unknown): number | undefined {
  return (node as Node | null | undefined)?.range?.[0]
}
