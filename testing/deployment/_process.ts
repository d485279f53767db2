/**
 * Starts a process of a deployment, collects its output and sends it signals.
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import type { Timer } from '../../timer/mod.ts'

/** A process that can be signalled and started again. */
export interface ManagedProcess {
  name: string
  /** Returns the process id; 0 when the process could not be spawned. */
  pid (): number
  /** Returns the last 20000 lines of standard output and standard error since the first start. */
  readLines (): string[]
  signal (signal: NodeJS.Signals): void
  isRunning (): boolean
  /** Resolves with the exit code, or with the name of the signal that ended the process. */
  waitForExit (): Promise<string>
  /** Starts the process again after its exit. */
  restart (): void
  /** Returns whether a line since the last start contains a text. */
  hasLine (text: string): boolean
  /** Waits for a line since the last start that begins with a text; rejects after `timeoutMs` or when the process exits first. */
  waitForLine (prefix: string, timeoutMs: number): Promise<string>
}

/** Older lines are discarded, so that a long run does not fill the memory. */
const maxLines = 20_000
const pollMs = 10
const children = new Set<ChildProcess>()

// Kills the processes of a deployment when the process that started them exits.
process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL')
})

/** Starts a process with the Node.js executable of this process; `args` are the script and its arguments. */
export function startProcess (name: string, args: string[], timer: Timer): ManagedProcess {
  const lines: string[] = []
  let child: ChildProcess
  let firstLineOfRun = 0
  let exited: Promise<string>
  let running = false

  function collectLines (stream: NodeJS.ReadableStream | null): void {
    let partialLine = ''
    stream?.on('data', (chunk: Buffer) => {
      const parts = (partialLine + chunk.toString()).split('\n')
      partialLine = parts.pop() ?? ''
      lines.push(...parts)
      if (lines.length > maxLines) firstLineOfRun -= lines.splice(0, lines.length - maxLines).length
    })
  }

  function start (): void {
    firstLineOfRun = lines.length
    running = true
    const started = spawn(process.execPath, args, { stdio: ['pipe', 'pipe', 'pipe'] })
    child = started
    children.add(started)
    started.stdin?.on('error', () => {})
    collectLines(started.stdout)
    collectLines(started.stderr)
    exited = new Promise((resolve) => {
      started.on('exit', (code, signal) => {
        children.delete(started)
        running = false
        resolve(signal ?? String(code))
      })
    })
  }

  async function waitForLine (prefix: string, timeoutMs: number): Promise<string> {
    const deadlineMs = timer.now() + timeoutMs
    for (;;) {
      const found = lines.slice(Math.max(0, firstLineOfRun)).find((line) => line.startsWith(prefix))
      if (found !== undefined) return found
      if (!running || timer.now() > deadlineMs) {
        throw new Error(`process "${name}" wrote no line that begins with "${prefix}"; its last lines: ${lines.slice(-5).join(' | ')}`)
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
    waitForExit: () => exited,
    restart: start,
    hasLine: (text) => lines.slice(Math.max(0, firstLineOfRun)).some((line) => line.includes(text)),
    waitForLine
  }
}
