/**
 * Reads the bodies of requests.
 *
 * @module
 */
import type * as http from 'node:http'
import type * as bodyBudget from './body-budget.js'

/** Time for which the reading of a body may be paused before the request is refused, ms; callers give up at about that time. */
const MAX_PAUSE_MS = 1_000

/** Limits and callbacks of a body; one of the callbacks is called, and the rest of the body is discarded. */
export interface Options {
  readonly limitBytes: number
  readonly budget: bodyBudget.BodyBudget
  /** Gets undefined for a request without a body. */
  readonly done: (body: Buffer | undefined) => void
  /** Called if the body is too large, or there was no room for it for too long. */
  readonly refuse: (reason: 'body-too-large' | 'no-room') => void
}

/**
 * Reads a body and holds it until the response has been sent.
 *
 * @example
 * ```ts
 * readBody(incoming, outgoing, { limitBytes: 4_194_304, budget, done, refuse })
 * ```
 */
export function readBody (incoming: http.IncomingMessage, outgoing: http.ServerResponse, options: Options): void {
  const chunks: Buffer[] = []
  let bytes = 0
  let isOver = false
  let pauseTimer: NodeJS.Timeout | undefined

  /** Gives the body up. The rest is read, since closing a connection with unread bytes resets it, and the caller may lose the response. */
  function giveUp (reason: 'body-too-large' | 'no-room'): void {
    if (isOver) return
    isOver = true
    chunks.length = 0
    account.end()
    incoming.resume()
    options.refuse(reason)
  }

  const account = options.budget.open({
    pause: () => {
      if (isOver) return
      incoming.pause()
      pauseTimer ??= setTimeout(() => { giveUp('no-room') }, MAX_PAUSE_MS)
    },
    resume: () => {
      clearTimeout(pauseTimer)
      pauseTimer = undefined
      incoming.resume()
    }
  })
  outgoing.once('close', () => {
    clearTimeout(pauseTimer)
    account.end()
  })
  incoming.on('data', (chunk: Buffer) => {
    if (isOver) return
    bytes += chunk.length
    if (bytes > options.limitBytes) {
      giveUp('body-too-large')
      return
    }
    chunks.push(chunk)
    account.count(chunk.length)
  })
  incoming.on('end', () => {
    if (isOver) return
    clearTimeout(pauseTimer)
    account.complete()
    // Only an empty body needs its header to be told from none.
    const hasBody = bytes > 0 || incoming.headers['content-length'] !== undefined || incoming.headers['transfer-encoding'] !== undefined
    const body = hasBody ? Buffer.concat(chunks) : undefined
    chunks.length = 0
    options.done(body)
  })
}
