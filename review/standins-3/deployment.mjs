// A small deployment: daemons, a store, and the replicas of the plain service of SYSTEM.md's first sheet (4 replicas, 6 slots, 110
// channels each). Writes the record.
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as fleetModule from './fleet.mjs'
import * as linkModule from './link.mjs'
import * as replica from './replica.mjs'
import * as storeModule from './store.mjs'

export const HOST = 'shop.example'
export const LIMITS = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }

/** The desired state: reservations, which may run once at most, and look-ups. */
export function desiredState (version, more = {}) {
  return {
    version,
    routes: [
      { name: 'unit-reserve', host: HOST, prefix: '/reserve/', kind: 'non_idempotent', timeoutMs: 15_000, targetLatencyMs: 121, priority: 2, service: 'counter-api', maxAttempts: 1, allowAnonymous: false, stickySessions: false, resumeStreams: false },
      { name: 'stock-check', host: HOST, prefix: '/check/', kind: 'idempotent', timeoutMs: 1_500, targetLatencyMs: 121, priority: 2, service: 'counter-api', maxAttempts: 2, allowAnonymous: false, stickySessions: false, resumeStreams: false }
    ],
    services: [{ name: 'counter-api', healthPath: '/health', connectionLimit: 110, protocol: 'h1', tls: false }],
    limits: LIMITS,
    tenants: [{ name: 'hule930', apiKeys: ['i9n73hh2b9wu3fexd9dn'], priority: 1, unit: 'token_count', plainTokens: 200, ratePerS: 191_272, burst: 191_272 }],
    ...more
  }
}

/** Starts the deployment; `directory` is the folder of the case. With `hasLinks`, the daemons reach each replica over a link that can be cut. */
export async function startDeployment ({ directory, daemons, replicas = 4, workMs = () => 15 + Math.random() * 15, hasLinks = false, crashesWith }) {
  const lines = []
  const startMs = performance.now()
  const note = (line) => { lines.push(`${((performance.now() - startMs) / 1_000).toFixed(2)} ${line}`) }
  const runs = []
  const store = await storeModule.openStore()
  store.put('op/config', desiredState(7))
  const opened = await Promise.all(Array.from({ length: replicas }, (_, index) => replica.openReplica({ id: `i-${index + 1}`, service: 'counter-api', workMs, runs, crashesWith, onBack: (born) => { store.put(`servers/i-${index + 1}`, { ...entries[index], born }) } })))
  const links = await Promise.all(opened.map(({ entry }) => hasLinks ? linkModule.openLink(entry.address) : undefined))
  const entries = opened.map(({ entry }, index) => ({ ...entry, address: links[index]?.address ?? entry.address }))
  for (const [index, entry] of entries.entries()) store.put(`servers/i-${index + 1}`, entry)
  const fleet = await fleetModule.startFleet({ count: daemons, store, note })
  return {
    fleet,
    store,
    links,
    entries,
    runs,
    note,
    /** Ends everything, writes the record and exits. */
    finish: async (status) => {
      await fleet.close()
      for (const link of links) link?.close()
      for (const { close } of opened) close()
      store.close()
      fs.writeFileSync(path.join(directory, 'record.txt'), lines.join('\n') + '\n')
      process.exit(status)
    }
  }
}

/** The headers of a request that concern the deployment. */
export const headersOf = (attempt, remainingMs) => [['Host', HOST], ['X-Attempt-Id', attempt], ['X-Deadline-Remaining', String(remainingMs)], ['X-Api-Key', 'i9n73hh2b9wu3fexd9dn']]
