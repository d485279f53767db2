/**
 * The open calls of each attempt, kept so that a cancel can abort them.
 */
import { attemptKey } from '../core/types/mod.ts'
import type { AttemptRef } from '../core/types/mod.ts'

/** An open call of an attempt. */
export interface OpenCall {
  /** Aborts the call. */
  signal: AbortSignal
  /** Marks the call as answered by the backend server. */
  markAnswered (): void
  /** Removes the call from the table. */
  close (): void
}

/** Tracks open calls. */
export interface OpenCalls {
  /** Adds a call of an attempt. */
  open (ref: AttemptRef): OpenCall
  /** Returns whether a call of the attempt is still awaiting its answer. */
  isAwaitingAnswer (ref: AttemptRef): boolean
  /** Aborts all calls of an attempt. */
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

  function listCalls (ref: AttemptRef): Entry[] {
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
    isAwaitingAnswer: (ref) => listCalls(ref).some((entry) => !entry.answered),
    abort (ref) {
      for (const entry of listCalls(ref)) entry.controller.abort()
    },
    abortAll () {
      for (const entry of entries) entry.controller.abort()
    }
  }
}
