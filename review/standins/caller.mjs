/**
 * Stand-in for a requester: sends one request on a channel of its own and reads the answer as HTTP/1.1.
 */
import * as http from 'node:http'

/**
 * Sends a request. The result says how the exchange ended: `complete` is true only if the answer reached its end as the
 * protocol marks it (its length, or the last chunk).
 */
export function call ({ daemon, method = 'POST', path, id, headers = {}, body, remainingMs = 15_000, agent = false, onHead = () => {} }) {
  return new Promise((resolve) => {
    const sentMs = performance.now()
    const result = { id, daemon: daemon.name, status: 0, headers: {}, body: Buffer.alloc(0), complete: false, error: undefined, isKept: false, sentMs, endedMs: 0 }
    const end = () => {
      result.endedMs = performance.now()
      resolve(result)
    }
    const request = http.request({
      host: daemon.ip,
      port: daemon.frontPort,
      method,
      path,
      agent,
      headers: { host: 'shop.example', 'x-attempt-id': id, 'x-deadline-remaining': String(remainingMs), ...headers, ...(body === undefined ? {} : { 'content-length': String(Buffer.byteLength(body)) }) }
    }, (response) => {
      result.isKept = request.reusedSocket
      result.status = response.statusCode
      result.headers = response.headers
      const chunks = []
      response.on('data', (chunk) => { chunks.push(chunk) })
      response.on('error', (error) => { result.error = error.message })
      response.on('close', () => {
        result.body = Buffer.concat(chunks)
        result.complete = response.complete
        end()
      })
      onHead(response)
    })
    request.on('error', (error) => {
      if (result.status !== 0) return
      result.error = error.message
      result.isKept = request.reusedSocket
      end()
    })
    request.end(body)
  })
}
