/**
 * Stands in for the platform's store: items by key, pages and watches, and the ways in which it fails.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** Names how the store behaves. */
export enum StoreMode {
  Up = 'up',
  /** Answers 503. */
  Unavailable = 'busy',
  /** Answers 429. */
  TooManyRequests = 'many',
  /** Accepts calls and never answers. */
  Silent = 'silent',
  /** Resets connections. */
  Reset = 'reset'
}

interface Item {
  key: string
  value: string
  revision: number
}

/** A store that tests control. */
export interface FakeStore {
  readonly address: string
  put (key: string, value: string): number
  remove (key: string): number
  setMode (mode: StoreMode): void
  /** Forgets the history and cuts the watches. */
  compact (): void
  /** Paths of the calls so far. */
  listCalls (): string[]
  close (): Promise<void>
}

/** Items on one page; small, so that tests cross pages. */
const pageItems = 2

/** Starts a store on the loopback address. */
export async function startStore (): Promise<FakeStore> {
  const items = new Map<string, Item>()
  let history: Array<Item | { key: string, revision: number, deleted: true }> = []
  let oldest = 0
  let revision = 10
  let mode = StoreMode.Up
  const waiting = new Set<{ prefix: string, after: number, res: ServerResponse }>()
  const calls: string[] = []

  function send (res: ServerResponse, status: number, body: unknown): void {
    const text = JSON.stringify(body)
    res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) })
    res.end(text)
  }

  function encode (item: Item): object {
    const value = Buffer.from(item.value).toString('base64')
    return { key: item.key, value, revision: item.revision, created_rev: item.revision, lease: 0 }
  }

  function eventsAfter (prefix: string, after: number): object[] {
    return history.filter((item) => item.revision > after && item.key.startsWith(prefix))
      .map((item) => 'value' in item ? encode(item) : item)
  }

  function changed (): void {
    for (const watch of [...waiting]) {
      const events = eventsAfter(watch.prefix, watch.after)
      if (events.length === 0) continue
      waiting.delete(watch)
      send(watch.res, 200, { events, store_revision: revision })
    }
  }

  function range (query: URLSearchParams, res: ServerResponse): void {
    const after = query.get('after') ?? ''
    const found = [...items.values()].filter((item) => item.key.startsWith(query.get('prefix') ?? '') && item.key > after)
    found.sort((a, b) => a.key < b.key ? -1 : 1)
    const page = found.slice(0, pageItems).map(encode)
    send(res, 200, { items: page, has_more: found.length > pageItems, store_revision: revision })
  }

  function watch (query: URLSearchParams, res: ServerResponse): void {
    const prefix = query.get('prefix') ?? ''
    const after = Number(query.get('after'))
    if (after < oldest) return send(res, 410, {})
    const events = eventsAfter(prefix, after)
    if (events.length > 0) return send(res, 200, { events, store_revision: revision })
    const entry = { prefix, after, res }
    waiting.add(entry)
    const timer = setTimeout(() => {
      if (waiting.delete(entry)) send(res, 200, { events: [], store_revision: revision })
    }, Number(query.get('wait_ms')))
    res.on('close', () => {
      waiting.delete(entry)
      clearTimeout(timer)
    })
  }

  const failures: { readonly [K in StoreMode]?: (req: IncomingMessage, res: ServerResponse) => void } = {
    [StoreMode.Unavailable]: (_req, res) => send(res, 503, {}),
    [StoreMode.TooManyRequests]: (_req, res) => send(res, 429, {}),
    [StoreMode.Silent]: () => {},
    [StoreMode.Reset]: (req) => { req.socket.resetAndDestroy() }
  }

  const server = createServer((req, res) => {
    calls.push(req.url ?? '')
    const fail = failures[mode]
    if (fail !== undefined) return fail(req, res)
    const url = new URL(req.url ?? '/', 'http://store')
    if (url.pathname === '/v1/kv-range') range(url.searchParams, res)
    else if (url.pathname === '/v1/kv-watch') watch(url.searchParams, res)
    else send(res, 404, {})
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    put (key, value) {
      const item = { key, value, revision: ++revision }
      items.set(key, item)
      history.push(item)
      if (mode === StoreMode.Up) changed()
      return revision
    },
    remove (key) {
      items.delete(key)
      history.push({ key, revision: ++revision, deleted: true })
      if (mode === StoreMode.Up) changed()
      return revision
    },
    setMode (next) {
      mode = next
      for (const entry of waiting) entry.res.socket?.destroy()
      waiting.clear()
    },
    compact () {
      history = []
      oldest = revision + 1
      for (const entry of waiting) send(entry.res, 410, {})
      waiting.clear()
    },
    listCalls: () => calls,
    async close () {
      server.closeAllConnections()
      await new Promise((resolve) => server.close(resolve))
    }
  }
}
