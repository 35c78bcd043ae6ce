/**
 * Stand-in for a replica as a process of its own, so that a case can stop and continue it. It runs only requests that name
 * it, and streams events in an answer without a length, which ends with its channel. Its queue of new channels is short.
 * It prints a line of JSON for each request that begins and ends.
 *
 * Arguments: id, number of events, pause between events in ms, length of the queue of new channels.
 */
import * as http from 'node:http'
import * as replica from './replica.mjs'

const [id, events, gapMs, backlog] = process.argv.slice(2)
let running = 0

function print (line) {
  process.stdout.write(`${JSON.stringify(line)}\n`)
}

const server = http.createServer((incoming, outgoing) => {
  incoming.resume()
  incoming.once('end', () => {
    const attempt = incoming.headers['x-attempt-id']
    if (incoming.headers['x-expected-replica'] !== id) {
      outgoing.writeHead(421, { 'x-replica-id': id }).end()
      return
    }
    const { socket } = incoming
    let made = 0
    running += 1
    print({ run: attempt })
    socket.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${attempt}\r\nX-Server-Signature: ${id}.${attempt}\r\nX-Replica-Load: ${running},0,12\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n`)
    const timer = setInterval(() => {
      made += 1
      socket.write(replica.eventOf(made))
      if (made < Number(events)) return
      clearInterval(timer)
      socket.end()
    }, Number(gapMs))
    socket.once('close', () => {
      clearInterval(timer)
      running -= 1
      print({ end: attempt, made })
    })
    socket.on('error', () => {})
  })
})
server.listen({ port: 0, host: '127.0.0.1', backlog: Number(backlog) }, () => { print({ port: server.address().port }) })
