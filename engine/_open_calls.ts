/**
 * The open calls of each attempt, so that a cancel can close them.
 */
import { attemptKey } from '../core/types/mod.ts'
import type { AttemptRef } from '../core/types/mod.ts'

/** An open call of an attempt. */
export interface OpenCall {
  signal: AbortSignal
  /** Marks that the backend server answered. */
  markAnswered (): void
  close (): void
}

/** Tracks open calls. */
export interface OpenCalls {
  open (ref: AttemptRef): OpenCall
  /** Tells whether a call of the attempt still waits for its answer. */
  isAwaitingAnswer (ref: AttemptRef): boolean
  /** Closes the calls of an attempt. */
  abort (ref: AttemptRef): void
  abortAll (): void
}

interface Entry {
  key: string
  controller: AbortController
  answered: boolean
}

/** Creates an empty table of open calls. */
export function createOpenCalls (): OpenCalls {
  const entries = new Set<Entry>()

  function of (ref: AttemptRef): Entry[] {
    const key = attemptKey(ref)
    return [...entries].filter((entry) => entry.key === key)
  }

  return {
    open (ref) {
      const entry = { key: attemptKey(ref), controller: new AbortController(), answered: false }
      entries.add(entry)
      return {
        signal: entry.controller.signal,
        markAnswered: () => { entry.answered = true },
        close: () => { entries.delete(entry) }
      }
    },
    isAwaitingAnswer: (ref) => of(ref).some((entry) => !entry.answered),
    abort (ref) {
      for (const entry of of(ref)) entry.controller.abort()
    },
    abortAll () {
      for (const entry of entries) entry.controller.abort()
    }
  }
}
