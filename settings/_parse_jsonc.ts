/**
 * Parses JSON with comments and finds the lines of its values.
 */
import { createScanner, findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode } from 'jsonc-parser'
import type { Node, ParseError } from 'jsonc-parser'
import type { SettingsProblem } from './_problem.ts'

/** Path to a value: object keys and array indices, outermost first. */
export type KeyPath = Array<string | number>

/** The value of a parsed file, its syntax problems and the lines of its values. */
export interface ParsedFile {
  /** The parsed value; only valid when `problems` is empty. */
  value: unknown
  /** Syntax problems in the order of the text. */
  problems: SettingsProblem[]
  /** Returns the line, counted from 1, of the value at a path with its key; of the innermost existing value around it otherwise. */
  findLine (path: KeyPath): number
}

/** Deepest nesting of brackets that is parsed: the parser is recursive and would overflow the stack on hostile files. */
const maxBracketDepth = 64

/**
 * Parses JSON with comments and trailing commas.
 *
 * @param text the text of the file
 * @param file the name of the file, for the problems
 * @returns the value, the problems and the lines; no value when brackets nest deeper than 64 levels
 */
export function parseJsonc (text: string, file: string): ParsedFile {
  const findLineAt = createLineFinder(text)
  if (exceedsDepth(text)) {
    const problem = { file, line: 1, path: '', expected: `at most ${maxBracketDepth} levels of brackets` }
    return { value: undefined, problems: [problem], findLine: () => 1 }
  }
  const errors: ParseError[] = []
  const root = parseTree(text, errors, { allowTrailingComma: true })
  const problems = errors.map((err) => ({
    file, line: findLineAt(err.offset), path: '', expected: `JSON with comments (${printParseErrorCode(err.error)})`
  }))
  return {
    value: root === undefined ? undefined : getNodeValue(root),
    problems,
    findLine: (path) => findLineAt(findNearestNode(root, path)?.offset ?? 0)
  }
}

/** The closing bracket of each opening one. */
const closingBrackets = new Map([['{', '}'], ['[', ']']])

/**
 * Tells whether brackets nest deeper than `maxBracketDepth`, before the recursive parser runs. Those in strings and comments do not count,
 * nor do closing ones of another kind, behind which the parser goes on at the same level.
 */
function exceedsDepth (text: string): boolean {
  const scanner = createScanner(text, true)
  const expected: string[] = []
  for (scanner.scan(); scanner.getTokenLength() > 0; scanner.scan()) {
    const token = text.slice(scanner.getTokenOffset(), scanner.getTokenOffset() + scanner.getTokenLength())
    const closing = closingBrackets.get(token)
    if (closing !== undefined) expected.push(closing)
    else if (token === expected.at(-1)) expected.pop()
    if (expected.length > maxBracketDepth) return true
  }
  return false
}

/** Returns a function that finds the line of a character offset, counted from 1. */
function createLineFinder (text: string): (offset: number) => number {
  return (offset) => text.slice(0, offset).split('\n').length
}

/** Returns the node at a path, or the innermost existing node around it. */
function findNearestNode (root: Node | undefined, path: KeyPath): Node | undefined {
  if (root === undefined) return undefined
  for (let length = path.length; length > 0; length--) {
    const node = findNodeAtLocation(root, path.slice(0, length))
    if (node === undefined) continue
    // Report the line of the key, also when the value begins on a later line.
    return node.parent?.type === 'property' ? node.parent : node
  }
  return root
}
