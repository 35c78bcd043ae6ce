/**
 * Stand-in for the platform's store, as PROTOCOL.md describes it: items, pages, watches, conditional writes and leases.
 * It is sound: it answers each call at once.
 */
import * as http from 'node:http'

const MAX_ITEMS = 500

/** Starts the store on a free loopback port. */
export async function startStore () {
  const items = new Map()
  const history = []
  const leases = new Set()
  const waiting = new Set()
  let revision = 1
  let nextLease = 100

  function write (key, value, lease) {
    const item = value === undefined ? { key, revision, tombstone: true } : { key, value, revision, created: items.get(key)?.created ?? revision, lease }
    if (value === undefined) items.delete(key)
    else items.set(key, item)
    history.push(item)
  }

  function notify () {
    for (const check of [...waiting]) check()
  }

  function range (query) {
    const prefix = query.get('prefix') ?? ''
    const after = query.get('after') ?? ''
    const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1)
    return { status: 200, body: { items: found.slice(0, MAX_ITEMS), hasMore: found.length > MAX_ITEMS, storeRevision: revision } }
  }

  async function watch (query) {
    const prefix = query.get('prefix') ?? ''
    const after = Number(query.get('after'))
    const changes = () => history.filter((change) => change.revision > after && change.key.startsWith(prefix))
    if (changes().length === 0) {
      await new Promise((resolve) => {
        const end = () => {
          clearTimeout(timer)
          waiting.delete(check)
          resolve()
        }
        const check = () => { if (changes().length > 0) end() }
        const timer = setTimeout(end, Number(query.get('waitMs')))
        waiting.add(check)
      })
    }
    return { status: 200, body: { events: changes(), storeRevision: revision } }
  }

  function transact ({ expectedRevision = [], writes = [], remove = [] }) {
    const current = expectedRevision.map(({ key }) => items.get(key) ?? { key, revision: 0 })
    if (expectedRevision.some((expected, index) => expected.revision !== current[index].revision)) return { status: 412, body: { items: current } }
    if (writes.some(({ lease }) => lease > 0 && !leases.has(lease))) return { status: 404 }
    revision += 1
    for (const { key, value, lease = 0 } of writes) write(key, value, lease)
    for (const key of remove) write(key, undefined, 0)
    notify()
    return { status: 200, body: { revision } }
  }

  async function answer (method, url, body) {
    const [, , call, id] = url.pathname.split('/')
    if (call === 'kv-key') {
      const item = items.get(url.searchParams.get('key') ?? '')
      return item === undefined ? { status: 404, body: { storeRevision: revision } } : { status: 200, body: { ...item, storeRevision: revision } }
    }
    if (call === 'kv-range') return range(url.searchParams)
    if (call === 'kv-watch') return await watch(url.searchParams)
    if (call === 'kv-txn') return transact(JSON.parse(body))
    if (call === 'kv-lease') {
      nextLease += 1
      leases.add(nextLease)
      return { status: 200, body: { lease: nextLease, ttlMs: JSON.parse(body).ttlMs } }
    }
    if (call === 'kv-keep') return leases.has(Number(id)) ? { status: 200, body: { ttlMs: 600_000 } } : { status: 404 }
    if (call === 'kv-lease-end') return { status: leases.delete(Number(id)) ? 200 : 404 }
    return { status: 400 }
  }

  const server = http.createServer((incoming, response) => {
    let body = ''
    incoming.setEncoding('utf8').on('data', (text) => { body += text })
    incoming.on('end', () => {
      answer(incoming.method, new URL(incoming.url, 'http://store'), body).then((result) => {
        response.writeHead(result.status, { 'content-type': 'application/json' }).end(JSON.stringify(result.body ?? {}))
      }, (error) => { response.writeHead(500).end(String(error)) })
    })
  })
  await new Promise((resolve) => { server.listen(0, '127.0.0.1', resolve) })

  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Writes an item as the operator or a replica does; returns its revision. */
    put: (key, value) => {
      revision += 1
      write(key, Buffer.from(value).toString('base64'), 0)
      notify()
      return revision
    },
    remove: (key) => {
      revision += 1
      write(key, undefined, 0)
      notify()
    },
    close: () => {
      server.closeAllConnections()
      server.close()
    }
  }
}
