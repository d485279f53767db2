/**
 * A stand-in for the platform's store: items by key, pages, watches, leases of entries and a history.
 */
import { createServer } from 'node:http'

const historyMs = 20_000
const pageItems = 500

/** Starts an empty store at a loopback address. */
export async function startStore (host) {
  const items = new Map()
  const leases = new Map()
  const watches = new Set()
  const history = []
  let revision = 100
  let oldest = revision

  function sendJson (res, status, body) {
    if (res.destroyed) return
    const text = JSON.stringify(body)
    res.writeHead(status, { 'Store-Era': '0', 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) })
    res.end(text)
  }

  function eventsAfter (prefix, after) {
    return history.filter((item) => item.revision > after && item.key.startsWith(prefix)).map(({ atMs, ...item }) => item)
  }

  function record (change) {
    history.push({ ...change, atMs: performance.now() })
    while (history.length > 0 && performance.now() - history[0].atMs > historyMs) oldest = history.shift().revision
    for (const watch of [...watches]) {
      const events = eventsAfter(watch.prefix, watch.after)
      if (events.length === 0) continue
      watches.delete(watch)
      sendJson(watch.res, 200, { events, store_revision: revision })
    }
  }

  /** Writes an item; with `leaseMs`, it is removed unless it is written again in time. */
  function put (key, value, leaseMs) {
    clearTimeout(leases.get(key))
    if (leaseMs !== undefined) leases.set(key, setTimeout(() => remove(key), leaseMs))
    const text = typeof value === 'string' ? value : JSON.stringify(value)
    revision++
    const item = { key, value: Buffer.from(text).toString('base64'), revision, created_rev: items.get(key)?.created_rev ?? revision, lease: 0 }
    items.set(key, item)
    record(item)
    return revision
  }

  function remove (key) {
    clearTimeout(leases.get(key))
    if (!items.delete(key)) return
    record({ key, revision: ++revision, deleted: true })
  }

  const server = createServer((req, res) => {
    const url = new URL(req.url, 'http://store')
    const query = url.searchParams
    const prefix = query.get('prefix') ?? ''
    if (url.pathname === '/v1/kv-range') {
      const after = query.get('after') ?? ''
      const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1)
      return sendJson(res, 200, { items: found.slice(0, pageItems), has_more: found.length > pageItems, store_revision: revision })
    }
    if (url.pathname === '/v1/kv-key') {
      const item = items.get(query.get('key') ?? '')
      return item === undefined ? sendJson(res, 404, {}) : sendJson(res, 200, { ...item, store_revision: revision })
    }
    if (url.pathname !== '/v1/kv-watch') return sendJson(res, 404, {})
    const after = Number(query.get('after'))
    if (after < oldest || after > revision) return sendJson(res, 410, {})
    const events = eventsAfter(prefix, after)
    if (events.length > 0) return sendJson(res, 200, { events, store_revision: revision })
    const watch = { prefix, after, res }
    watches.add(watch)
    const timer = setTimeout(() => { if (watches.delete(watch)) sendJson(res, 200, { events: [], store_revision: revision }) }, Number(query.get('wait_ms')))
    res.on('close', () => {
      watches.delete(watch)
      clearTimeout(timer)
    })
  })
  await new Promise((resolve) => server.listen(0, host, resolve))

  return {
    address: `${host}:${server.address().port}`,
    put,
    remove,
    async close () {
      for (const timer of leases.values()) clearTimeout(timer)
      server.closeAllConnections()
      await new Promise((resolve) => server.close(resolve))
    }
  }
}
