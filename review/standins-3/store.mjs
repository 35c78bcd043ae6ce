// Stand-in for the platform's store (PROTOCOL.md, "The platform's metadata store"): revisions, pages, watches, transactions and leases.
import * as http from 'node:http'

const PAGE_ITEMS = 500

/** Opens a store without items on a free port. */
export async function openStore (ip = '127.0.0.1') {
  let revision = 10
  let nextLease = 100
  const items = new Map()
  const history = []
  const leases = new Map()
  const waiting = new Set()

  function write (key, value, lease) {
    revision += 1
    const item = { key, value, revision, created: items.get(key)?.created ?? revision, lease }
    items.set(key, item)
    history.push({ key, revision, item })
    for (const check of [...waiting]) check()
  }

  function remove (key) {
    if (!items.delete(key)) return
    revision += 1
    history.push({ key, revision, item: undefined })
    for (const check of [...waiting]) check()
  }

  function range (query) {
    const prefix = query.get('prefix') ?? ''
    const after = query.get('after') ?? ''
    const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1)
    return [200, { items: found.slice(0, PAGE_ITEMS), hasMore: found.length > PAGE_ITEMS, storeRevision: revision }]
  }

  async function watch (query, response) {
    const prefix = query.get('prefix') ?? ''
    const after = Number(query.get('after'))
    const events = () => history.filter((change) => change.revision > after && change.key.startsWith(prefix))
    if (events().length === 0) {
      await new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer)
          waiting.delete(check)
          resolve()
        }
        const check = () => { if (events().length > 0) finish() }
        const timer = setTimeout(finish, Number(query.get('waitMs')))
        waiting.add(check)
        response.once('close', finish)
      })
    }
    return [200, { events: events().map(({ key, revision: at, item }) => item ?? { key, revision: at, tombstone: true }), storeRevision: revision }]
  }

  function transact ({ expectedRevision = [], writes = [], remove: removed = [] }) {
    const current = expectedRevision.map(({ key }) => items.get(key) ?? { key, revision: 0 })
    if (expectedRevision.some((expected, index) => expected.revision !== current[index].revision)) return [412, { items: current }]
    if (writes.some(({ lease }) => lease && !leases.has(lease))) return [404, {}]
    for (const { key, value, lease } of writes) write(key, value, lease ?? 0)
    for (const key of removed) remove(key)
    return [200, { revision }]
  }

  function endLease (id) {
    clearTimeout(leases.get(id)?.timer)
    leases.delete(id)
    for (const item of [...items.values()]) if (item.lease === id) remove(item.key)
  }

  function keepLease (id, ttlMs) {
    clearTimeout(leases.get(id)?.timer)
    leases.set(id, { ttlMs, timer: setTimeout(() => { endLease(id) }, ttlMs) })
    return [200, { lease: id, ttlMs }]
  }

  async function handle (method, url, body, response) {
    const [, , call, id] = url.pathname.split('/')
    switch (call) {
      case 'kv-key': {
        const item = items.get(url.searchParams.get('key'))
        return item === undefined ? [404, { storeRevision: revision }] : [200, { ...item, storeRevision: revision }]
      }
      case 'kv-range': return range(url.searchParams)
      case 'kv-watch': return await watch(url.searchParams, response)
      case 'kv-txn': return transact(JSON.parse(body))
      case 'kv-lease': {
        nextLease += 1
        return keepLease(nextLease, JSON.parse(body).ttlMs)
      }
      case 'kv-keep': {
        const lease = leases.get(Number(id))
        return lease === undefined ? [404, {}] : keepLease(Number(id), lease.ttlMs)
      }
      case 'kv-lease-end': {
        endLease(Number(id))
        return [200, {}]
      }
      default: return [400, {}]
    }
  }

  const server = http.createServer((request, response) => {
    let body = ''
    request.setEncoding('utf8').on('data', (text) => { body += text })
    request.on('end', async () => {
      const [status, value] = await handle(request.method, new URL(request.url, 'http://store'), body, response)
      response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value))
    })
  })
  server.keepAliveTimeout = 60_000
  await new Promise((resolve) => { server.listen(0, ip, resolve) })
  return {
    address: `${ip}:${server.address().port}`,
    put: (key, value) => { write(key, Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64'), 0) },
    remove,
    close: () => {
      for (const { timer } of leases.values()) clearTimeout(timer)
      server.closeAllConnections()
      server.close()
    }
  }
}
