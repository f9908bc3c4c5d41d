import { type Document, isCollection, isMap, isScalar, LineCounter, type Node, parseDocument } from 'yaml'
import type { DeclarationIssue, DeclarationProblem } from './DeclarationProblem'
import { formatPath } from './DeclarationProblem'

/** The text of one file of a declaration. @public */
export interface DeclarationFile {
  /** As it is to stand in messages. */
  readonly name: string
  /** YAML or JSON; every JSON text is YAML too. */
  readonly text: string
}

/** One parsed file, which finds the place of a field. @internal */
export class DeclarationSource {
  readonly name: string
  private readonly lines = new LineCounter()
  private readonly document: Document.Parsed

  /** @param file - name and text */
  constructor ({ name, text }: DeclarationFile) {
    this.name = name
    this.document = parseDocument(text, { lineCounter: this.lines, prettyErrors: false, uniqueKeys: true })
  }

  /** @returns faults of the text itself: broken syntax, a field that stands twice, no fields at all */
  findSyntaxProblems (): DeclarationProblem[] {
    const { errors, warnings, contents } = this.document
    const problems = [...errors, ...warnings].map(({ message, pos }) => {
      return this.placeAt(pos[0], { path: [], message: message.replaceAll('\n', ' ') })
    })
    if (problems.length > 0 || isMap(contents)) return problems
    return [this.placeAt(0, { path: [], message: 'the file must hold the sections of a declaration' })]
  }

  /** @returns the plain value of the file */
  toValue (): Record<string, unknown> {
    return this.document.toJS() as Record<string, unknown>
  }

  /**
   * @param issue - a fault at a path within this file
   * @returns the fault with the place of its field, or of the innermost part that exists
   */
  place (issue: DeclarationIssue): DeclarationProblem {
    return this.placeAt(this.findOffset(issue), issue)
  }

  private placeAt (offset: number, { path, message }: DeclarationIssue): DeclarationProblem {
    const { line, col } = this.lines.linePos(offset)
    return { file: this.name, line: Math.max(line, 1), column: Math.max(col, 1), path: formatPath(path), message }
  }

  private findOffset ({ path, atKey = false }: DeclarationIssue): number {
    let node: unknown = this.document.contents
    for (const [at, part] of path.entries()) {
      if (atKey && at === path.length - 1 && isMap(node)) {
        const pair = node.items.find(({ key }) => (isScalar(key) ? key.value : key) === part)
        return startOf(pair?.key) ?? startOf(node) ?? 0
      }
      const next: unknown = isCollection(node) ? node.get(part, true) : undefined
      if (startOf(next) === undefined) break
      node = next
    }
    return startOf(node) ?? 0
  }
}

function startOf (node: unknown): number | undefined {
  return (node as Node | null | undefined)?.range?.[0]
}
