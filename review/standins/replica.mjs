/**
 * Stand-in for a replica, as PROTOCOL.md describes it. It is sound: it runs only requests that name it, echoes their ids,
 * signs its answers and keeps to its slots. A case says how long the work takes and what the answer is.
 */
import * as http from 'node:http'

const HEARTBEAT_MS = 1_200
const CONNECTION_HEADERS = { 'content-type': 'text/event-stream' }

/**
 * Starts a replica. `handle` gets each request that runs, with functions to answer it; `runs` lists them in order.
 */
export async function startReplica ({ id, service, version = 'v1', slots = 12, queue = 72, store, note, handle }) {
  const sockets = new Set()
  const runs = []
  const waiting = []
  let born = Date.now()
  let sequence = 0
  let running = 0
  let port = 0
  let server
  let heartbeat

  function report () {
    sequence += 1
    const entry = { service, address: `127.0.0.1:${port}`, zone: 'casa-a', version, slots, state: 'ready', coldRemainingMs: 0, sequence, born }
    if (sequence === 1) store.put(`servers/${id}`, JSON.stringify(entry))
  }

  const hasFreeSlot = () => running < slots

  function next () {
    while (hasFreeSlot() && waiting.length > 0) waiting.shift()()
  }

  function run (incoming, outgoing, body) {
    const attempt = incoming.headers['x-attempt-id']
    const current = { attempt, beganMs: performance.now(), path: incoming.url, method: incoming.method, headers: incoming.headers, body, made: Buffer.alloc(0), isWhole: false, isLeft: false }
    runs.push(current)
    running += 1
    let hasEnded = false
    const end = () => {
      if (hasEnded) return
      hasEnded = true
      running -= 1
      next()
    }
    outgoing.once('close', () => {
      current.isLeft = !current.isWhole
      end()
    })
    const proof = { 'x-attempt-id': attempt, 'x-server-signature': `${id}.${attempt}`, 'x-replica-load': `${running},${waiting.length},${slots}` }
    const add = (bytes) => { current.made = Buffer.concat([current.made, bytes]) }
    handle(current, {
      /** Answers with a length. */
      answer: (bytes) => {
        if (outgoing.destroyed) return
        add(bytes)
        current.isWhole = true
        outgoing.writeHead(200, { ...proof, 'content-length': bytes.length })
        outgoing.end(bytes)
        end()
      },
      /** Begins an answer without a length that ends with its channel; `type` is that of its content. */
      beginUnframed: (type) => {
        const lines = Object.entries({ ...proof, 'content-type': type, connection: 'close' }).map(([name, value]) => `${name}: ${value}\r\n`)
        outgoing.socket.write(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`)
      },
      writeUnframed: (bytes) => {
        add(bytes)
        outgoing.socket?.write(bytes)
      },
      endUnframed: () => {
        current.isWhole = true
        outgoing.socket?.end()
        end()
      },
      /** Begins a stream in chunks. */
      beginStream: () => { outgoing.writeHead(200, { ...proof, ...CONNECTION_HEADERS }) },
      write: (bytes) => {
        add(bytes)
        outgoing.write(bytes)
      },
      endStream: () => {
        current.isWhole = true
        outgoing.end()
        end()
      }
    })
  }

  function receive (incoming, outgoing) {
    const chunks = []
    incoming.on('data', (chunk) => { chunks.push(chunk) })
    incoming.on('end', () => {
      if (incoming.headers['x-expected-replica'] !== id) {
        outgoing.writeHead(421, { 'x-replica-id': id }).end()
        return
      }
      const start = () => { if (!outgoing.destroyed) run(incoming, outgoing, Buffer.concat(chunks)) }
      if (hasFreeSlot()) start()
      else if (waiting.length < queue) waiting.push(start)
      else outgoing.writeHead(503, { 'x-not-executed': '1', 'x-attempt-id': incoming.headers['x-attempt-id'] ?? '' }).end()
    })
  }

  async function open () {
    server = http.createServer({ keepAliveTimeout: 30_000 }, receive)
    server.on('connection', (socket) => {
      sockets.add(socket)
      socket.on('error', () => {})
      socket.on('close', () => { sockets.delete(socket) })
    })
    await new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, '127.0.0.1', resolve)
    })
    port = server.address().port
    heartbeat = setInterval(report, HEARTBEAT_MS)
    report()
  }

  function stop () {
    clearInterval(heartbeat)
    server.close()
    for (const socket of sockets) socket.resetAndDestroy()
  }

  await open()
  return {
    id,
    runs,
    /** Crashes: channels are reset, and new ones are refused until it starts again. */
    crash: () => {
      note(`replica ${id} crashes`)
      stop()
      waiting.length = 0
    },
    /** Starts again under the id and address that it had; it knows nothing of before. */
    startAgain: async () => {
      born = Date.now()
      sequence = 0
      running = 0
      await open()
      note(`replica ${id} is back`)
    },
    close: stop
  }
}

/** Returns an event of a stream. */
export function eventOf (number) {
  return Buffer.from(`id: ${number}\ndata: ${String(number).padStart(4, '0').repeat(12)}\n\n`)
}
