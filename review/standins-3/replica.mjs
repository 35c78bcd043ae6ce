// Stand-in for a replica of a plain service (PROTOCOL.md, "Replicas"), on raw sockets, so that every byte is known. It runs `slots`
// requests at once, queues `queue` more, rejects the others as not run, and serves one request at a time on a channel.
import * as crypto from 'node:crypto'
import * as net from 'node:net'

const HEAD_END = '\r\n\r\n'

/** Calls `onRequest` for each complete request that a socket brings. */
function readRequests (socket, onRequest) {
  let received = Buffer.alloc(0)
  let head
  socket.on('data', (chunk) => {
    received = received.length === 0 ? chunk : Buffer.concat([received, chunk])
    for (;;) {
      if (head === undefined) {
        const end = received.indexOf(HEAD_END)
        if (end < 0) return
        const lines = received.subarray(0, end).toString('latin1').split('\r\n')
        received = received.subarray(end + HEAD_END.length)
        const [method, path] = lines[0].split(' ')
        const headers = new Map(lines.slice(1).map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
        head = { method, path, headers, bytes: Number(headers.get('content-length') ?? 0) }
      }
      if (received.length < head.bytes) return
      const request = { ...head, body: received.subarray(0, head.bytes) }
      received = received.subarray(head.bytes)
      head = undefined
      onRequest(request)
    }
  })
}

/**
 * Opens a replica. `runs` gets an entry for each request that it runs. One for which `crashesWith` returns true ends the replica as it
 * begins to run; it is back `backMs` later at the same address and under the same id, and `onBack` gets its new start.
 */
export async function openReplica ({ id, service, slots = 6, queue = 24, workMs = () => 40, runs, ip = '127.0.0.1', crashesWith = () => false, backMs = 2_000, onBack = () => {} }) {
  const sockets = new Set()
  const waiting = []
  let running = 0
  let proofs = 0

  function answer (socket, request, status, headers, body) {
    if (socket.destroyed) return
    const lines = [`HTTP/1.1 ${status} Status`, `X-Attempt-Id: ${request.headers.get('x-attempt-id') ?? ''}`, `X-Replica-Load: ${running},${waiting.length},${slots}`, ...headers, `Content-Length: ${body.length}`]
    socket.write(lines.join('\r\n') + HEAD_END + body)
  }

  function startNext () {
    while (running < slots && waiting.length > 0) {
      const { socket, request } = waiting.shift()
      if (!socket.destroyed) start(socket, request)
    }
  }

  function start (socket, request) {
    running += 1
    proofs += 1
    const run = { atMs: performance.now(), attempt: request.headers.get('x-attempt-id'), replica: id, method: request.method, path: request.path, bytes: request.body.length, hash: crypto.createHash('sha256').update(request.body).digest('hex').slice(0, 16), headers: request.headers.size, end: 'running' }
    runs.push(run)
    const end = (how) => {
      if (run.end !== 'running') return
      run.end = how
      running -= 1
      clearTimeout(timer)
      socket.off('close', closed)
      startNext()
    }
    const crashes = crashesWith(request)
    const closed = () => end('channel closed')
    socket.once('close', closed)
    const timer = crashes
      ? undefined
      : setTimeout(() => {
        answer(socket, request, 200, [`X-Server-Signature: ${id}.${proofs}`], `run ${run.attempt} with ${run.bytes} bytes`)
        end('answered')
      }, workMs())
    if (crashes) setTimeout(crash, workMs())
  }

  let isDown = false
  function crash () {
    if (isDown) return
    isDown = true
    waiting.length = 0
    server.close()
    for (const socket of sockets) socket.resetAndDestroy()
    const { port } = new URL(`http://${address}`)
    setTimeout(() => {
      if (isClosed) return
      isDown = false
      server.listen(Number(port), ip)
      onBack(Date.now())
    }, backMs)
  }

  let isClosed = false
  const server = net.createServer((socket) => {
    socket.setNoDelay(true)
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
    socket.on('error', () => {})
    readRequests(socket, (request) => {
      const expected = request.headers.get('x-expected-replica')
      if (expected !== undefined && expected !== id) answer(socket, request, 421, [`X-Replica-Id: ${id}`], '')
      else if (!request.headers.get('x-attempt-id')) answer(socket, request, 400, ['X-Not-Executed: 1'], '')
      else if (running < slots) start(socket, request)
      else if (waiting.length < queue) waiting.push({ socket, request })
      else answer(socket, request, 503, ['X-Not-Executed: 1'], '')
    })
  })
  await new Promise((resolve) => { server.listen(0, ip, resolve) })
  const address = `${ip}:${server.address().port}`
  return {
    entry: { service, address, zone: 'casa-a', version: 'v1', slots, state: 'ready', coldRemainingMs: 0, sequence: 1, born: Date.now() },
    close: () => {
      isClosed = true
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}
