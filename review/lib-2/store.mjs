/**
 * A stand-in for the platform's store, as a reader sees it: items by prefix in pages, and watches.
 */
import { createServer } from 'node:http'

const maxPageItems = 500

/** Starts an empty store at an address. `cutWatchMs` returns the time after which a waiting watch is cut; undefined for none. */
export async function startStore ({ ip, record, cutWatchMs = () => undefined }) {
  const items = new Map()
  const history = []
  const waiting = new Set()
  let revision = 100

  function encode ({ key, value, revision: at, createdRev }) {
    return { key, value: Buffer.from(value).toString('base64'), revision: at, created_rev: createdRev, lease: 0 }
  }

  function sendJson (res, status, body) {
    const text = JSON.stringify(body)
    res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text), 'Store-Era': '1' })
    res.end(text)
  }

  function eventsAfter (prefix, after) {
    return history.filter((item) => item.revision > after && item.key.startsWith(prefix))
      .map((item) => item.deleted ? { key: item.key, revision: item.revision, deleted: true } : encode(item))
  }

  function notify () {
    for (const watch of [...waiting]) {
      const events = eventsAfter(watch.prefix, watch.after)
      if (events.length > 0) watch.finish(events)
    }
  }

  function serveRange (query, res) {
    const prefix = query.get('prefix') ?? ''
    const after = query.get('after') ?? ''
    const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1)
    sendJson(res, 200, { items: found.slice(0, maxPageItems).map(encode), has_more: found.length > maxPageItems, store_revision: revision })
  }

  function serveWatch (query, req, res) {
    const prefix = query.get('prefix') ?? ''
    const after = Number(query.get('after'))
    const events = eventsAfter(prefix, after)
    if (events.length > 0) return sendJson(res, 200, { events, store_revision: revision })
    const watch = { prefix, after, finish: () => {} }
    const timeout = setTimeout(() => watch.finish([]), Number(query.get('wait_ms')))
    const cutMs = cutWatchMs()
    const cut = cutMs === undefined ? undefined : setTimeout(() => req.socket.destroy(), cutMs)
    watch.finish = (found) => {
      waiting.delete(watch)
      clearTimeout(timeout)
      clearTimeout(cut)
      sendJson(res, 200, { events: found, store_revision: revision })
    }
    waiting.add(watch)
    res.on('close', () => {
      waiting.delete(watch)
      clearTimeout(timeout)
      clearTimeout(cut)
    })
  }

  const server = createServer((req, res) => {
    const url = new URL(req.url, 'http://store')
    if (url.pathname === '/v1/kv-range') serveRange(url.searchParams, res)
    else if (url.pathname === '/v1/kv-watch') serveWatch(url.searchParams, req, res)
    else sendJson(res, 404, {})
  })
  await new Promise((resolve) => { server.listen(0, ip, resolve) })

  return {
    address: `${ip}:${server.address().port}`,
    put (key, value) {
      revision++
      const item = { key, value, revision, createdRev: items.get(key)?.createdRev ?? revision }
      items.set(key, item)
      history.push(item)
      record.add(`store: revision ${revision}, ${key} is written${key.startsWith('servers/') ? `: ${value}` : ''}`)
      notify()
    },
    remove (key) {
      if (!items.delete(key)) return
      revision++
      history.push({ key, revision, deleted: true })
      record.add(`store: revision ${revision}, ${key} is removed`)
      notify()
    },
    close () {
      server.closeAllConnections()
      server.close()
    }
  }
}
