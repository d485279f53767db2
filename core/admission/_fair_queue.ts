/**
 * A deficit round robin between lanes, one for each caller.
 */
import { attemptKey } from '../types/mod.ts'
import type { AttemptRef } from '../types/mod.ts'
import type { AdmissionItem } from './_types.ts'

interface Lane {
  name: string
  items: AdmissionItem[]
  /** Tokens that the lane may still send in this round. */
  deficit: number
}

/** Holds items of one tier class. */
export interface FairQueue {
  /** Adds an item to a lane; lanes take turns. */
  push (item: AdmissionItem, lane: string): void
  /** Returns the item that is next; the answer stays the same until the queue changes. */
  peek (): AdmissionItem | undefined
  /** Takes out the item that `peek` returns. */
  shift (): AdmissionItem | undefined
  /** Takes out the newest item of the lane with most waiting items. */
  popFromLongestLane (): AdmissionItem | undefined
  remove (ref: AttemptRef): AdmissionItem | undefined
  /** Takes out every item for which the test holds. */
  removeWhere (test: (item: AdmissionItem) => boolean): AdmissionItem[]
  size (): number
  items (): AdmissionItem[]
}

/** Creates an empty queue; a round gives each lane `quantumTokens` tokens. */
export function createFairQueue (quantumTokens: number): FairQueue {
  let lanes: Lane[] = []
  let size = 0

  function push (item: AdmissionItem, name: string): void {
    const lane = lanes.find((known) => known.name === name)
    if (lane === undefined) lanes.push({ name, items: [item], deficit: quantumTokens })
    else lane.items.push(item)
    size += 1
  }

  function peek (): AdmissionItem | undefined {
    for (;;) {
      const lane = lanes[0]
      const head = lane?.items[0]
      if (lane === undefined || head === undefined) return undefined
      if (head.tokens <= lane.deficit) return head
      lane.deficit += quantumTokens
      lanes.push(lane)
      lanes.shift()
    }
  }

  function dropEmpty (): void {
    lanes = lanes.filter((lane) => lane.items.length > 0)
  }

  function shift (): AdmissionItem | undefined {
    const item = peek()
    const lane = lanes[0]
    if (item === undefined || lane === undefined) return undefined
    lane.items.shift()
    lane.deficit -= item.tokens
    size -= 1
    dropEmpty()
    return item
  }

  function popLongest (): AdmissionItem | undefined {
    let longest: Lane | undefined
    for (const lane of lanes) {
      if (longest === undefined || lane.items.length > longest.items.length) longest = lane
    }
    const item = longest?.items.pop()
    if (item !== undefined) size -= 1
    dropEmpty()
    return item
  }

  function removeWhere (test: (item: AdmissionItem) => boolean): AdmissionItem[] {
    const removed: AdmissionItem[] = []
    for (const lane of lanes) {
      removed.push(...lane.items.filter(test))
      lane.items = lane.items.filter((item) => !test(item))
    }
    size -= removed.length
    dropEmpty()
    return removed
  }

  function remove (ref: AttemptRef): AdmissionItem | undefined {
    const key = attemptKey(ref)
    return removeWhere((item) => attemptKey(item.ref) === key)[0]
  }

  return { push, peek, shift, popFromLongestLane: popLongest, remove, removeWhere, size: () => size, items: () => lanes.flatMap((lane) => lane.items) }
}
