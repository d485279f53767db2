/**
 * A queue with deficit round robin between lanes, one for each caller.
 */
import { attemptKey } from '../types/mod.ts'
import type { AttemptRef } from '../types/mod.ts'
import type { AdmissionItem } from './_types.ts'

interface Lane {
  name: string
  items: AdmissionItem[]
  /** Tokens that the lane may still send in the current round. */
  deficit: number
}

/** Holds the waiting items of one tier class. */
export interface FairQueue {
  /** Appends an item to a lane. */
  push (item: AdmissionItem, lane: string): void
  /** Returns the next item; the result stays the same until the queue changes. */
  peek (): AdmissionItem | undefined
  /** Removes and returns the item that `peek` returns. */
  shift (): AdmissionItem | undefined
  /** Removes and returns the newest item of the lane with the most waiting items. */
  popFromLongestLane (): AdmissionItem | undefined
  /** Removes and returns the item of an attempt; undefined when it is not waiting. */
  remove (ref: AttemptRef): AdmissionItem | undefined
  /** Removes and returns all items for which the predicate is true. */
  removeWhere (predicate: (item: AdmissionItem) => boolean): AdmissionItem[]
  /** Returns the number of waiting items. */
  size (): number
  /** Returns all waiting items, lane by lane. */
  items (): AdmissionItem[]
}

/** Creates an empty queue that grants each lane `quantumTokens` tokens in each round. */
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

  function removeEmptyLanes (): void {
    lanes = lanes.filter((lane) => lane.items.length > 0)
  }

  function shift (): AdmissionItem | undefined {
    const item = peek()
    const lane = lanes[0]
    if (item === undefined || lane === undefined) return undefined
    lane.items.shift()
    lane.deficit -= item.tokens
    size -= 1
    removeEmptyLanes()
    return item
  }

  function popFromLongestLane (): AdmissionItem | undefined {
    let longest: Lane | undefined
    for (const lane of lanes) {
      if (longest === undefined || lane.items.length > longest.items.length) longest = lane
    }
    const item = longest?.items.pop()
    if (item !== undefined) size -= 1
    removeEmptyLanes()
    return item
  }

  function removeWhere (predicate: (item: AdmissionItem) => boolean): AdmissionItem[] {
    const removed: AdmissionItem[] = []
    for (const lane of lanes) {
      removed.push(...lane.items.filter(predicate))
      lane.items = lane.items.filter((item) => !predicate(item))
    }
    size -= removed.length
    removeEmptyLanes()
    return removed
  }

  function remove (ref: AttemptRef): AdmissionItem | undefined {
    const key = attemptKey(ref)
    return removeWhere((item) => attemptKey(item.ref) === key)[0]
  }

  return { push, peek, shift, popFromLongestLane, remove, removeWhere, size: () => size, items: () => lanes.flatMap((lane) => lane.items) }
}
