// The link between the daemons and one replica, as a proxy. While it is cut, new channels are refused, and what open channels carry is
// held up. As with TCP, the sender tries again after 0.2 s, and then after twice the time before, so held bytes arrive some time after
// the cut has healed; they are lost if their sender resets the channel (DEPLOY.md, "Network").
import * as net from 'node:net'

const FIRST_RETRY_MS = 200

/** Returns the time of the first retry after `untilMs` of bytes that were sent at `sentMs`. */
function retryMs (sentMs, untilMs) {
  let atMs = sentMs
  for (let waitMs = FIRST_RETRY_MS; atMs < untilMs; waitMs *= 2) atMs += waitMs
  return atMs
}

/** Opens a link to an address. */
export async function openLink (targetAddress, ip = '127.0.0.1') {
  const [targetHost, targetPort] = targetAddress.split(':')
  const pairs = new Set()
  let isCut = false

  /** Passes on what `from` sends to `to`, in order, while the link isn't cut. */
  function passOn (from, to) {
    let held = []
    let heldSinceMs
    let timer
    const deliver = () => {
      timer = undefined
      for (const step of held) step()
      held = []
      heldSinceMs = undefined
    }
    const take = (step) => {
      if (!isCut && held.length === 0) {
        step()
        return
      }
      heldSinceMs ??= performance.now()
      held.push(step)
    }
    from.on('data', (bytes) => { take(() => { to.write(bytes) }) })
    from.on('end', () => { take(() => { to.end() }) })
    from.on('error', () => {
      // The sender has reset the channel: what was held up is lost.
      clearTimeout(timer)
      held = []
      to.resetAndDestroy()
    })
    return { heal: () => { if (held.length > 0) timer = setTimeout(deliver, retryMs(heldSinceMs, performance.now()) - performance.now()) } }
  }

  const server = net.createServer({ allowHalfOpen: true, noDelay: true }, (near) => {
    const far = net.connect({ host: targetHost, port: Number(targetPort), noDelay: true, allowHalfOpen: true })
    const pair = { near, far, directions: [passOn(near, far), passOn(far, near)] }
    pairs.add(pair)
    near.once('close', () => { pairs.delete(pair) })
  })
  await new Promise((resolve) => { server.listen(0, ip, resolve) })
  const { port } = server.address()
  return {
    address: `${ip}:${port}`,
    cut: () => {
      isCut = true
      server.close()
    },
    heal: () => {
      isCut = false
      server.listen(port, ip)
      for (const { directions } of pairs) for (const { heal } of directions) heal()
    },
    close: () => {
      server.close()
      for (const { near, far } of pairs) {
        near.destroy()
        far.destroy()
      }
    }
  }
}
