/**
 * A requester as PROTOCOL.md describes it: it asks a daemon for addresses, keeps the answer for its time to live (some keep it
 * three times as long), picks one of the addresses at random for each new channel, keeps its channel for many requests, and
 * leaves a channel whose address is missing from a new answer.
 */
import * as http from 'node:http'
import * as net from 'node:net'
import * as standins from './standins.mjs'

const RESOLUTION_LIMIT_MS = 1_000
const CONNECT_LIMIT_MS = 1_000
const MAX_TTL_S = 5

/** Share of the limit up to which requesters use idle channels again. */
const IDLE_SHARE = 0.8

function askDirectory (ip, port, zone) {
  return new Promise((resolve) => {
    const request = http.get({ host: ip, port, path: `/api/resolution?name=${standins.HOST}&region=casa&zone=${zone}`, agent: false, timeout: RESOLUTION_LIMIT_MS }, (response) => {
      let body = ''
      response.setEncoding('utf8').on('data', (text) => { body += text })
      response.on('end', () => {
        try {
          const { addresses, ttlS } = JSON.parse(body)
          resolve(Array.isArray(addresses) && addresses.length > 0 ? { addresses, ttlS } : undefined)
        } catch {
          resolve(undefined)
        }
      })
      response.on('error', () => { resolve(undefined) })
    })
    request.on('timeout', () => { request.destroy() })
    request.on('error', () => { resolve(undefined) })
  })
}

/**
 * A channel over a link that delays each direction. One request at a time; `send` settles with its end.
 *
 * The daemon sees a new channel when the last packet of the handshake arrives, after three delays, and the first request
 * right behind it: so the socket is opened then, and the first request is written without a further delay.
 */
class Channel {
  constructor (address, delayMs) {
    const [host, port] = address.split(':')
    this.address = address
    this.delayMs = delayMs
    this.received = Buffer.alloc(0)
    this.isClosed = false
    this.isFresh = true
    this.usedMs = performance.now()
    this.socket = new net.Socket({ allowHalfOpen: true })
    this.socket.setNoDelay(true)
    this.connected = new Promise((resolve) => {
      const timer = setTimeout(() => { resolve(false) }, CONNECT_LIMIT_MS)
      this.socket.once('connect', () => {
        clearTimeout(timer)
        resolve(true)
      })
      this.socket.once('error', () => {
        clearTimeout(timer)
        resolve(false)
      })
    })
    setTimeout(() => { if (!this.isClosed) this.socket.connect({ host, port: Number(port) }) }, 3 * delayMs)
    this.socket.on('data', (chunk) => { this.later(() => { this.take(chunk) }) })
    this.socket.on('end', () => { this.later(() => { this.end('closed') }) })
    this.socket.on('error', () => { this.later(() => { this.end('reset') }) })
    this.socket.on('close', () => { this.later(() => { this.end('closed') }) })
  }

  /** Delivers what has arrived after the delay of the link. */
  later (step) {
    setTimeout(step, this.delayMs)
  }

  take (chunk) {
    this.received = Buffer.concat([this.received, chunk])
    if (this.settle === undefined) return
    const answer = standins.parseAnswer(this.received)
    if (!answer.isWhole) return
    this.received = Buffer.alloc(0)
    this.usedMs = performance.now()
    const { settle } = this
    this.settle = undefined
    if (answer.closes) this.close()
    settle({ how: 'answered', ...answer })
  }

  end (how) {
    if (this.isClosed) return
    this.close()
    const { settle } = this
    this.settle = undefined
    settle?.({ how, ...standins.parseAnswer(this.received) })
  }

  send (text) {
    return new Promise((resolve) => {
      this.settle = resolve
      this.usedMs = performance.now()
      const write = () => { if (!this.socket.destroyed) this.socket.write(text) }
      if (this.isFresh) write()
      else setTimeout(write, this.delayMs)
      this.isFresh = false
    })
  }

  /** Closes the requester's end, which the daemon sees after the delay. */
  close () {
    if (this.isClosed) return
    this.isClosed = true
    setTimeout(() => { this.socket.destroy() }, this.delayMs)
  }
}

export class Requester {
  /** `machines` are those with a directory, the nearest first. */
  constructor ({ machines, zone, patience, delayMs, idleLimitMs }) {
    Object.assign(this, { machines, zone, patience, delayMs, idleLimitMs })
    this.addresses = []
    this.validUntilMs = -Infinity
    this.failed = new Set()
  }

  /** Asks up to three daemons, and keeps the old answer if it gets no new one. */
  async refresh () {
    if (performance.now() < this.validUntilMs) return
    for (const { ip } of this.machines.slice(0, 3)) {
      const answer = await askDirectory(ip, standins.DIRECTORY_PORT, this.zone)
      if (answer === undefined) continue
      this.addresses = answer.addresses
      this.validUntilMs = performance.now() + Math.min(answer.ttlS, MAX_TTL_S) * 1_000 * this.patience
      this.failed.clear()
      return
    }
  }

  isUsable (channel) {
    return channel !== undefined && !channel.isClosed && this.addresses.includes(channel.address) && performance.now() - channel.usedMs < IDLE_SHARE * this.idleLimitMs
  }

  /** Returns a channel for the next request: the kept one, or a new one. */
  async channelFor () {
    await this.refresh()
    if (this.isUsable(this.channel)) return this.channel
    this.channel?.close()
    this.channel = undefined
    for (let attempt = 0; attempt < 3; attempt += 1) {
      const candidates = this.addresses.filter((address) => !this.failed.has(address))
      if (candidates.length === 0) return undefined
      const address = candidates[Math.floor(Math.random() * candidates.length)]
      const channel = new Channel(address, this.delayMs)
      if (await channel.connected) {
        this.channel = channel
        return channel
      }
      channel.close()
      this.failed.add(address)
    }
    return undefined
  }

  close () {
    this.channel?.close()
  }
}
