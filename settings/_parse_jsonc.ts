/**
 * Reads JSON with comments and finds the lines of its values.
 */
import { findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode } from 'jsonc-parser'
import type { Node, ParseError } from 'jsonc-parser'
import type { SettingsProblem } from './_problem.ts'

/** A path of keys and indices. */
export type KeyPath = Array<string | number>

/** A parsed file. */
export interface ParsedFile {
  value: unknown
  /** Faults of the syntax; the value is of no use when there are any. */
  problems: SettingsProblem[]
  /** Returns the line of the value at a path, or of the nearest value around it. */
  findLine (path: KeyPath): number
}

/** Deepest nesting of brackets that is parsed. */
const maxDepth = 64

/** Parses JSON with comments and trailing commas. */
export function parseJsonc (text: string, file: string): ParsedFile {
  const lineAt = createLineFinder(text)
  if (exceedsDepth(text)) {
    const problem = { file, line: 1, path: '', expected: `at most ${maxDepth} levels of brackets` }
    return { value: undefined, problems: [problem], findLine: () => 1 }
  }
  const errors: ParseError[] = []
  const root = parseTree(text, errors, { allowTrailingComma: true })
  const problems = errors.map((err) => ({
    file, line: lineAt(err.offset), path: '', expected: `JSON with comments (${printParseErrorCode(err.error)})`
  }))
  return {
    value: root === undefined ? undefined : getNodeValue(root),
    problems,
    findLine: (path) => lineAt(findNearest(root, path)?.offset ?? 0)
  }
}

/** The parser recurses, so brackets are counted first; those within strings only make the check stricter. */
function exceedsDepth (text: string): boolean {
  let depth = 0
  for (const char of text) {
    if (char === '{' || char === '[') depth += 1
    else if (char === '}' || char === ']') depth -= 1
    if (depth > maxDepth) return true
  }
  return false
}

function createLineFinder (text: string): (offset: number) => number {
  return (offset) => text.slice(0, offset).split('\n').length
}

function findNearest (root: Node | undefined, path: KeyPath): Node | undefined {
  if (root === undefined) return undefined
  for (let length = path.length; length > 0; length--) {
    const node = findNodeAtLocation(root, path.slice(0, length))
    if (node === undefined) continue
    // The property is where the operator looks, also when its value spans lines.
    return node.parent?.type === 'property' ? node.parent : node
  }
  return root
}
