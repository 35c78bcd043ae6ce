/**
 * The process of the store and the replicas, apart from that of the requesters, so that neither waits for the other.
 * It takes orders from the script, and reports what the replicas run.
 */
import * as standins from './standins.mjs'

const store = await standins.openStore()
const replicas = new Map()

const nowMs = () => performance.timeOrigin + performance.now()
const record = (event, details) => { process.send?.({ atMs: nowMs(), event, details }) }

const WORK = {
  plain: ({ workMs }) => standins.plainWork(workMs),
  exports: ({ workMs, prefix, bytes }) => standins.exportWork({ workMs, prefix, bytes }),
  stream: ({ events, ...times }) => standins.streamWork({ ...times, events: () => events })
}

const ORDERS = {
  put: ({ key, value }) => { store.put(key, value) },
  remove: ({ key }) => { store.remove(key) },
  storeDown: ({ isDown }) => { store.setDown(() => isDown) },
  replica: async ({ work, ...options }) => {
    replicas.set(options.id, await standins.openReplica({ ...options, host: '127.0.0.1', store, record, run: WORK[work.kind](work) }))
  },
  closeReplica: ({ id }) => { replicas.get(id).close() }
}

process.on('message', ({ number, order, ...values }) => {
  Promise.resolve(ORDERS[order](values)).then(() => { process.send({ done: number }) }, (error) => { process.send({ done: number, error: String(error) }) })
})
process.on('disconnect', () => { process.exit(0) })
process.send({ storeAddress: store.address })
