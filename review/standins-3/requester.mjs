// Requester (PROTOCOL.md, "Requests"): one channel, one request at a time.
import * as net from 'node:net'

/** A channel to a daemon. Requests may follow each other on it while `isOpen`. */
export class Channel {
  isOpen = true
  #received = Buffer.alloc(0)
  #pending
  #error

  constructor (host, port) {
    this.socket = net.connect({ host, port, noDelay: true })
    this.socket.on('data', (chunk) => {
      this.#received = Buffer.concat([this.#received, chunk])
      this.#read()
    })
    this.socket.on('error', (error) => { this.#error = error.code })
    this.socket.on('end', () => { this.#finish('channel ended') })
    this.socket.on('close', () => { this.#finish(this.#error ?? 'channel closed') })
  }

  /** Sends a request and returns its answer. `send` writes the body; `headers` has the header of its framing. */
  request ({ method, path, headers, send = () => {}, timeoutMs }) {
    return new Promise((resolve) => {
      this.#pending = { resolve, answer: { status: 0, headers: new Map(), body: '' }, hasHead: false, timer: setTimeout(() => { this.close(); this.#finish('gave up') }, timeoutMs) }
      this.socket.write(`${method} ${path} HTTP/1.1\r\n${headers.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`)
      send(this.socket)
      if (!this.isOpen) this.#finish('channel closed')
    })
  }

  close () {
    this.isOpen = false
    this.socket.destroy()
  }

  #read () {
    const pending = this.#pending
    if (pending === undefined) return
    const { answer } = pending
    if (!pending.hasHead) {
      const end = this.#received.indexOf('\r\n\r\n')
      if (end < 0) return
      const [first, ...lines] = this.#received.subarray(0, end).toString('latin1').split('\r\n')
      this.#received = this.#received.subarray(end + 4)
      answer.status = Number(first.split(' ')[1])
      answer.headers = new Map(lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
      pending.hasHead = true
    }
    const bytes = Number(answer.headers.get('content-length') ?? 0)
    if (this.#received.length < bytes) return
    answer.body = this.#received.subarray(0, bytes).toString('latin1')
    this.#received = this.#received.subarray(bytes)
    if (answer.headers.get('connection') === 'close') this.close()
    this.#finish('complete')
  }

  #finish (end) {
    const pending = this.#pending
    if (end !== 'complete') this.isOpen = false
    if (pending === undefined) return
    this.#pending = undefined
    clearTimeout(pending.timer)
    pending.resolve({ ...pending.answer, end, atMs: performance.now() })
  }
}
