/**
 * One process of a deployment: its output, its signals and its end.
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import type { Timer } from '../../timer/mod.ts'

/** A process that can be killed, frozen and started again. */
export interface ManagedProcess {
  name: string
  pid (): number
  /** Lines of standard output and standard error since the first start. */
  readLines (): string[]
  signal (signal: NodeJS.Signals): void
  isRunning (): boolean
  /** Resolves with the exit code, or the name of the signal that ended the process. */
  waitForExit (): Promise<string>
  /** Starts the process again after it ended. */
  restart (): void
  /** Tells whether a line since the last start contains a text. */
  hasLine (text: string): boolean
  /** Waits for a line that begins with a text; rejects when the process ends before or the time in ms is over. */
  waitForLine (prefix: string, timeoutMs: number): Promise<string>
}

const maxLines = 20_000
const pollMs = 10
const children = new Set<ChildProcess>()

// No process of a deployment outlives the one that started it.
process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL')
})

/** Starts a process of this program's Node. */
export function startProcess (name: string, args: string[], timer: Timer): ManagedProcess {
  const lines: string[] = []
  let child: ChildProcess
  let firstLine = 0
  let end: Promise<string>
  let running = false

  function collect (stream: NodeJS.ReadableStream | null): void {
    let rest = ''
    stream?.on('data', (chunk: Buffer) => {
      const parts = (rest + chunk.toString()).split('\n')
      rest = parts.pop() ?? ''
      lines.push(...parts)
      if (lines.length > maxLines) firstLine -= lines.splice(0, lines.length - maxLines).length
    })
  }

  function start (): void {
    firstLine = lines.length
    running = true
    const started = spawn(process.execPath, args, { stdio: ['pipe', 'pipe', 'pipe'] })
    child = started
    children.add(started)
    started.stdin?.on('error', () => {})
    collect(started.stdout)
    collect(started.stderr)
    end = new Promise((resolve) => {
      started.on('exit', (code, signal) => {
        children.delete(started)
        running = false
        resolve(signal ?? String(code))
      })
    })
  }

  async function waitForLine (prefix: string, timeoutMs: number): Promise<string> {
    const endMs = timer.now() + timeoutMs
    for (;;) {
      const found = lines.slice(Math.max(0, firstLine)).find((line) => line.startsWith(prefix))
      if (found !== undefined) return found
      if (!running || timer.now() > endMs) {
        throw new Error(`process "${name}" wrote no line "${prefix}": ${lines.slice(-5).join(' | ')}`)
      }
      await new Promise<void>((resolve) => timer.after(pollMs, resolve))
    }
  }

  start()
  return {
    name,
    pid: () => child.pid ?? 0,
    readLines: () => lines,
    signal: (signal) => { child.kill(signal) },
    isRunning: () => running,
    waitForExit: () => end,
    restart: start,
    hasLine: (text) => lines.slice(Math.max(0, firstLine)).some((line) => line.includes(text)),
    waitForLine
  }
}
