/**
 * A stand-in for the platform's store: items by key, pages, watches, and failures that a test chooses.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** Names how the store responds. */
export enum StoreMode {
  /** Responds as the protocol demands. */
  Up = 'up',
  /** Responds with status 503. */
  Unavailable = 'busy',
  /** Responds with status 429. */
  TooManyRequests = 'many',
  /** Accepts calls and never responds. */
  Silent = 'silent',
  /** Resets connections. */
  Reset = 'reset'
}

interface Item {
  key: string
  value: string
  revision: number
}

/** What a store held at some moment. */
export interface StoreCopy {
  items: Item[]
  revision: number
  oldestRevision: number
  history: Array<Item | Deletion>
}

interface Deletion {
  key: string
  revision: number
  deleted: true
}

/** Controls a running store. */
export interface FakeStore {
  readonly address: string
  /** Writes an item, and returns the new revision of the store. */
  put (key: string, value: string): number
  /** Replaces fields of an item in all responses, as another writer's fault. */
  corrupt (key: string, fields: object): void
  /** Deletes an item, and returns the new revision of the store. */
  remove (key: string): number
  /** Changes how the store responds, and closes the connections of waiting watches. */
  setMode (mode: StoreMode): void
  /** Deletes the history, so that watches from an earlier revision, also waiting ones, get status 410. */
  compact (): void
  /** Returns a copy of what the store holds. */
  copy (): StoreCopy
  /** Goes back to a copy and begins the next era. Watches that wait go on waiting, unless `setMode` closed them. */
  restore (copy: StoreCopy): void
  /** Sets the text of the header that names the era in the next responses, all by default: undefined for the true one, null for no header. */
  setEraText (text: string | null | undefined, responses?: number): void
  /** Lists the paths of the calls so far, with their queries. */
  listCalls (): string[]
  close (): Promise<void>
}

/** Highest number of items on one page; small, so that tests read several pages. */
const maxPageItems = 2

/** Starts an empty store on a free port of the loopback address. */
export async function startStore (): Promise<FakeStore> {
  const items = new Map<string, Item>()
  let history: Array<Item | Deletion> = []
  let oldestRevision = 0
  let revision = 10
  let era = 1
  let eraText: string | null | undefined
  let eraTextResponses = Infinity
  let mode = StoreMode.Up
  const waitingWatches = new Set<{ prefix: string, after: number, res: ServerResponse }>()
  const calls: string[] = []
  const corruptions = new Map<string, object>()

  function sendJson (res: ServerResponse, status: number, body: unknown): void {
    const text = JSON.stringify(body)
    const eraHeader = eraTextResponses-- <= 0 || eraText === undefined ? { 'Store-Era': String(era) } : eraText === null ? {} : { 'Store-Era': eraText }
    res.writeHead(status, { ...eraHeader, 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) })
    res.end(text)
  }

  function encodeItem (item: Item): object {
    const value = Buffer.from(item.value).toString('base64')
    return { key: item.key, value, revision: item.revision, created_rev: item.revision, lease: 0, ...corruptions.get(item.key) }
  }

  function listEventsAfter (prefix: string, after: number): object[] {
    return history.filter((item) => item.revision > after && item.key.startsWith(prefix))
      .map((item) => 'value' in item ? encodeItem(item) : item)
  }

  function notifyWatches (): void {
    for (const watch of [...waitingWatches]) {
      const events = listEventsAfter(watch.prefix, watch.after)
      if (events.length === 0) continue
      waitingWatches.delete(watch)
      sendJson(watch.res, 200, { events, store_revision: revision })
    }
  }

  function sendRange (query: URLSearchParams, res: ServerResponse): void {
    const after = query.get('after') ?? ''
    const found = [...items.values()].filter((item) => item.key.startsWith(query.get('prefix') ?? '') && item.key > after)
    found.sort((a, b) => a.key < b.key ? -1 : 1)
    const page = found.slice(0, maxPageItems).map(encodeItem)
    sendJson(res, 200, { items: page, has_more: found.length > maxPageItems, store_revision: revision })
  }

  function watch (query: URLSearchParams, res: ServerResponse): void {
    const prefix = query.get('prefix') ?? ''
    const after = Number(query.get('after'))
    if (after < oldestRevision || after > revision) return sendJson(res, 410, {})
    const events = listEventsAfter(prefix, after)
    if (events.length > 0) return sendJson(res, 200, { events, store_revision: revision })
    const waiting = { prefix, after, res }
    waitingWatches.add(waiting)
    const timer = setTimeout(() => {
      if (waitingWatches.delete(waiting)) sendJson(res, 200, { events: [], store_revision: revision })
    }, Number(query.get('wait_ms')))
    res.on('close', () => {
      waitingWatches.delete(waiting)
      clearTimeout(timer)
    })
  }

  const failures: { readonly [K in StoreMode]?: (req: IncomingMessage, res: ServerResponse) => void } = {
    [StoreMode.Unavailable]: (_req, res) => sendJson(res, 503, {}),
    [StoreMode.TooManyRequests]: (_req, res) => sendJson(res, 429, {}),
    [StoreMode.Silent]: () => {},
    [StoreMode.Reset]: (req) => { req.socket.resetAndDestroy() }
  }

  const server = createServer((req, res) => {
    calls.push(req.url ?? '')
    const fail = failures[mode]
    if (fail !== undefined) return fail(req, res)
    const url = new URL(req.url ?? '/', 'http://store')
    if (url.pathname === '/v1/kv-range') sendRange(url.searchParams, res)
    else if (url.pathname === '/v1/kv-watch') watch(url.searchParams, res)
    else sendJson(res, 404, {})
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    put (key, value) {
      const item = { key, value, revision: ++revision }
      items.set(key, item)
      history.push(item)
      if (mode === StoreMode.Up) notifyWatches()
      return revision
    },
    corrupt (key, fields) { corruptions.set(key, fields) },
    remove (key) {
      items.delete(key)
      history.push({ key, revision: ++revision, deleted: true })
      if (mode === StoreMode.Up) notifyWatches()
      return revision
    },
    setMode (next) {
      mode = next
      for (const watch of waitingWatches) watch.res.socket?.destroy()
      waitingWatches.clear()
    },
    compact () {
      history = []
      oldestRevision = revision + 1
      for (const watch of waitingWatches) sendJson(watch.res, 410, {})
      waitingWatches.clear()
    },
    copy: () => ({ items: [...items.values()], revision, oldestRevision, history: [...history] }),
    restore (copy) {
      items.clear()
      for (const item of copy.items) items.set(item.key, item)
      history = [...copy.history]
      revision = copy.revision
      oldestRevision = copy.oldestRevision
      era++
    },
    setEraText (text, responses = Infinity) {
      eraText = text
      eraTextResponses = responses
    },
    listCalls: () => calls,
    async close () {
      server.closeAllConnections()
      await new Promise((resolve) => server.close(resolve))
    }
  }
}
