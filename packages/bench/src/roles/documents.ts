/**
 * Measures the cost of adopting service documents and of aggregating service levels into burn records.
 *
 * @module
 */
import * as document from '@persimmonhatch/document'
import * as resources from '../resources.js'
import type * as series from '../series.js'
import * as workload from '../workload.js'

const ROLE = 'configuration follower'
const ADOPTIONS = 20
const TARGETS = 30
const TYPICAL_ORGANISATIONS = 300
const ORGANISATIONS = 310
const SERVICES = 20
const TIERS = 4

function createStoredText (service: string, revision: number, organisations: number): string {
  const content = workload.createDocumentText({ service, targets: TARGETS, organisations })
  const change = { id: `change-${service}-${revision}`, operator: 'bench', atMs: revision, comment: '' }
  return JSON.stringify({ format: 1, service, revision, content, change, recent: [{ ...change, revision, contentHash: 'a'.repeat(64) }] })
}

function adoptAll (adoption: document.adoption.Adoption, copies: readonly document.adoption.Copy[]): void {
  for (const copy of copies) {
    for (const event of adoption.handle(copy)) if (event.kind !== 'adopted') throw new Error(`the copy was ${event.kind}`)
  }
}

function createCopy (service: string, revision: number, organisations: number): document.adoption.Copy {
  return { service, text: createStoredText(service, revision, organisations), source: 'platform' }
}

function cpuPerChange (organisations: number): number {
  const adoption = document.adoption.createAdoption()
  const copies = Array.from({ length: ADOPTIONS * 2 }, (_, index) => createCopy('listings', index + 1, organisations))
  adoptAll(adoption, copies.slice(0, ADOPTIONS))
  return resources.cpuMicrosPer(ADOPTIONS, () => {
    for (const copy of copies.slice(ADOPTIONS)) {
      adoptAll(adoption, [copy])
      adoption.resolution()
    }
  })
}

function cpuPerResolution (services: number): number {
  const adoption = document.adoption.createAdoption()
  adoptAll(adoption, Array.from({ length: services }, (_, index) => createCopy(`service-${index}`, 1, TYPICAL_ORGANISATIONS)))
  return resources.cpuMicrosPer(ADOPTIONS, () => { for (let index = 0; index < ADOPTIONS; index++) adoption.resolution() })
}

function heapOfDocuments (services: number): number {
  return resources.heapBytesOf(() => {
    const adoption = document.adoption.createAdoption()
    adoptAll(adoption, Array.from({ length: services }, (_, index) => createCopy(`service-${index}`, 1, TYPICAL_ORGANISATIONS)))
    return adoption
  })
}

function createCounter (count: number): document.burnCounter.BurnCounter {
  const counter = document.burnCounter.createBurnCounter({ availabilityZone: 'region-1-1', incarnation: workload.incarnationOf(1) })
  for (let minute = 0; minute < document.burnRecord.WINDOW_MINUTES; minute++) {
    for (let index = 0; index < count; index++) {
      counter.count({ service: `service-${index % 20}`, tier: 'listing', organisation: workload.organisationOf(Math.floor(index / 20)), counts: ['total', 'firstToken'] }, minute * 60_000)
    }
  }
  return counter
}

function recordBytes (count: number): number {
  const records = createCounter(count).records(document.burnRecord.WINDOW_MINUTES * 60_000 - 1)
  return Math.max(...records.map((record) => document.burnRecord.writeRecord(record).length))
}

/**
 * Returns the bytes of a burn record after `requests` requests in one window. Organisations follow a Zipf
 * distribution; services and tiers are uniformly distributed.
 */
function recordBytesOfRequests (requests: number): number {
  const random = workload.seededRandom(17)
  const counter = document.burnCounter.createBurnCounter({ availabilityZone: 'region-1-1', incarnation: workload.incarnationOf(1) })
  const windowEndMs = document.burnRecord.WINDOW_MINUTES * 60_000 - 1
  for (let index = 0; index < requests; index++) {
    // The inverse of the continuous Zipf distribution with exponent 1 over 1 to 310.
    const organisation = Math.floor(ORGANISATIONS ** random())
    const observation = { service: `service-${Math.floor(random() * SERVICES)}`, tier: `tier-${Math.floor(random() * TIERS)}`, organisation: workload.organisationOf(organisation), counts: ['total' as const] }
    counter.count(observation, Math.floor(index / requests * windowEndMs))
  }
  return Math.max(...counter.records(windowEndMs).map((record) => document.burnRecord.writeRecord(record).length))
}

function cpuPerCount (count: number): number {
  const counter = createCounter(count)
  return resources.cpuMicrosPer(count, () => {
    for (let index = 0; index < count; index++) {
      counter.count({ service: `service-${index % 20}`, tier: 'listing', organisation: workload.organisationOf(Math.floor(index / 20)), counts: ['total'] }, 599_000)
    }
  })
}

/** Measurements of documents and burn records. */
export const PLANS: readonly series.Plan[] = [
  { role: ROLE, quantity: 'CPU per change: read, check, resolve; 30 targets', unit: 'us', sizeOf: 'organisations', sizes: [75, 150, 300, 600], sample: cpuPerChange },
  { role: ROLE, quantity: 'bytes of a stored document; 30 targets', unit: 'bytes', sizeOf: 'organisations', sizes: [75, 150, 300, 600], repeats: 1, sample: (organisations) => createStoredText('listings', 1, organisations).length },
  { role: ROLE, quantity: 'CPU to resolve all documents', unit: 'us', sizeOf: 'services', sizes: [5, 10, 20, 40], sample: cpuPerResolution },
  { role: ROLE, quantity: 'heap of the documents, 300 organisations and 30 targets each', unit: 'bytes', sizeOf: 'services', sizes: [5, 10, 20, 40], sample: heapOfDocuments },
  { role: 'burn roll-up', quantity: 'bytes of a record of ten minutes', unit: 'bytes', sizeOf: 'series', sizes: [100, 400, 1_600, 3_200], repeats: 1, sample: recordBytes },
  { role: 'burn roll-up', quantity: 'bytes of a record of ten minutes, Zipf mix of 310 organisations, 20 services, 4 tiers', unit: 'bytes', sizeOf: 'requests in the window', sizes: [1_250, 2_500, 5_000, 10_000], repeats: 1, sample: recordBytesOfRequests },
  { role: 'burn roll-up', quantity: 'CPU per counted request', unit: 'us', sizeOf: 'series', sizes: [100, 400, 1_600, 3_200], sample: cpuPerCount }
]
